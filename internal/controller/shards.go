package controller

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
)

// shard is a set of teams and some machines with one owner at a time.
type shard struct {
	id             cluster.ShardID
	preferredOwner cluster.NodeID
	owner          cluster.NodeID
	term           cluster.Term
	modRevision    cluster.ModRevision // of parts/<n> as last seen; the claim's mark while held
	recordRead     bool                // read from the store at least once

	owned              bool
	ready              bool // the checkpoint has been read
	acquiring          bool
	corruptRecordCount int                            // how often its records made no sense
	acquireNotBefore   cluster.Time                   // not claimed again before
	quarantined        map[string]cluster.ModRevision // group records that make no sense, being cleared
	earlyJobs          []messages.KV                  // jobs heard of while it was being read
	failbackOffered    bool                           // the holder is willing to hand it back to us
	ownershipChangedAt cluster.Time
	ownerChanges       []cluster.Time // when it changed hands, the last minute's
	claimRevision      cluster.Revision
	confirmedAt        cluster.Time // when the last exchange with the store began that showed the claim in force
	attemptCount       uint64       // starts numbered under attemptBase
	// attemptBase is a store change of this holder's that no other numbers starts
	// by: its claim, or a later one once the claim's numbers are used up.
	attemptBase                  cluster.Revision
	lastStoredRevision           cluster.Revision // change of the last transaction of the part under the claim
	plannedStarts                uint64           // starts numbered since the claim
	provisioningRequests         map[string]*provisioningRequest
	machines                     []*machine // held here, by id
	usage                        teamUsage  // of their tasks
	jobs                         []*job
	queueOrder                   []*job        // js as they are served, as of orderAt; nil: to be worked out
	guaranteedJobs               map[*job]bool // those within their team's guarantee, as of then
	queueOrderAt                 cluster.Time
	toRegister                   []grouprecord.Machine
	nextOfferAt                  cluster.Time
	nextPreemptionAt             cluster.Time
	awaitingFirstAcknowledgement int          // machines taken over that have not acknowledged this claim's token
	lastAcknowledgedAt           cluster.Time // when the last one did
	avoidSpot                    bool         // a job of it would lose much on spot machines
	outOfCapacityUntil           map[provisioningOption]cluster.Time
	outOfCapacityCount           map[provisioningOption]int // in a row
	lastScaleOutAt               cluster.Time

	ownershipChecks    ownershipChecks
	progress           shardProgress
	storedTransactions uint64 // transactions of the part that were stored
}

type shardRecord struct {
	Owner   cluster.NodeID `json:"holder"`
	Term    cluster.Term   `json:"term"`
	WriteID string         `json:"w"`
	// Upgraded lists the controllers known to run a release that understands
	// jobs that await others. Absent in releases before pipelines.
	Upgraded []cluster.NodeID `json:"up,omitempty"`
}

func (p *shard) key() string { return "parts/" + strconv.Itoa(int(p.id)) }

// isOwnedUnder tells whether the part is still held under a claim.
func (p *shard) isOwnedUnder(claim cluster.Revision) bool { return p.owned && p.claimRevision == claim }

// recordOwnerChange notes that the part has a new holder.
func (p *shard) recordOwnerChange(now cluster.Time) {
	p.ownershipChangedAt = now
	keep := p.ownerChanges[:0]
	for _, t := range p.ownerChanges {
		if now-t < 60*second {
			keep = append(keep, t)
		}
	}
	p.ownerChanges = append(keep, now)
}

// isBackoffOver damps quarrels: nodes that each believe the other to be lost would
// else claim a part from one another several times a second. Every change of
// hands within a minute doubles the pause before the next.
func (p *shard) isBackoffOver(now cluster.Time) bool {
	n := 0
	for _, t := range p.ownerChanges {
		if now-t < 60*second {
			n++
		}
	}
	if n <= 1 {
		return now-p.ownershipChangedAt > 2*second || n == 0
	}
	return now-p.ownershipChangedAt > min(second<<n, 30*second)
}

// nextAttempt numbers a start. A number is never given twice: an attempt that a
// worker still remembers would not be started again.
func (p *shard) nextAttempt() cluster.Attempt {
	if p.attemptCount == cluster.MaxAttemptCount && p.lastStoredRevision > p.attemptBase {
		p.attemptBase, p.attemptCount = p.lastStoredRevision, 0
	}
	p.attemptCount++
	p.plannedStarts++
	return cluster.NewAttempt(uint64(p.attemptBase), p.attemptCount)
}

// loadShards reads who holds what and then follows the changes.
func (c *Controller) loadShards() {
	c.writeQueue.ListPrefix("parts/", func(r messages.ListReply) {
		if r.Outcome != messages.OK {
			c.loop.After(second/2, c.loadShards)
			return
		}
		for _, p := range c.shards {
			p.recordRead = true
		}
		for _, kv := range r.Items {
			c.applyShardRecord(kv)
		}
		c.shardsRevision = r.Revision
		for _, p := range c.shards {
			c.considerAcquire(p)
		}
		c.watchShards()
	})
}

func (c *Controller) watchShards() {
	c.watchPrefix("parts/", &c.shardsRevision, second/10, c.applyShardRecord, c.loadShards)
}

// watchPrefix watches the keys with a prefix from a revision on, at a pace that
// gathers changes; reload is called when the revision is too old.
func (c *Controller) watchPrefix(prefix string, since *cluster.Revision, pace cluster.Time, learn func(messages.KV), reload func()) {
	c.loop.Emit(messages.StoreWatch{Call: eventloop.Call(c.loop, func(r messages.WatchReply) {
		again := func() { c.watchPrefix(prefix, since, pace, learn, reload) }
		switch r.Outcome {
		case messages.OK:
			for _, kv := range r.Items {
				learn(kv)
			}
			*since = max(*since, r.Revision)
			c.loop.After(pace, again)
		case messages.Compacted:
			c.loop.Log(messages.LogInfo, "changes missed, reading all keys again", "prefix", prefix, "since", uint64(*since))
			c.loop.After(pace, reload)
		default:
			c.loop.After(second, again)
		}
	}), Prefix: prefix, SinceRevision: *since, Timeout: 20 * second})
}

func (c *Controller) applyShardRecord(kv messages.KV) {
	n, err := strconv.Atoi(strings.TrimPrefix(kv.Key, "parts/"))
	if err != nil || n < 0 || n >= len(c.shards) || kv.Value == nil {
		return
	}
	p := c.shards[n]
	if kv.ModRevision > p.modRevision {
		c.recordPeerWrite(kv)
	}
	var rec shardRecord
	if json.Unmarshal(kv.Value, &rec) != nil || rec.Owner == "" {
		c.loop.Log(messages.LogError, "unreadable record", "key", kv.Key)
		return
	}
	c.members.RecordUpgraded(rec.Upgraded...)
	if kv.ModRevision <= p.modRevision {
		return
	}
	if p.owned && writeIDInstance(rec.WriteID) != c.config.InstanceID {
		c.handleDeposed(p.id)
	}
	if p.acquiring && writeIDInstance(rec.WriteID) == c.config.InstanceID {
		return // our own claim, seen before its answer
	}
	p.modRevision, p.owner, p.term, p.failbackOffered = kv.ModRevision, rec.Owner, rec.Term, false
	p.recordOwnerChange(c.loop.Now())
}

func writeIDInstance(w string) string {
	if i := strings.LastIndexByte(w, '-'); i > 0 {
		return w[:i]
	}
	return w
}

func (c *Controller) rereadShard(p *shard) {
	begun := c.loop.Now()
	c.writeQueue.ReadKey(p.key(), func(r messages.GetReply) {
		if r.Outcome == messages.OK {
			c.applyShardRecord(r.KV)
			c.recordConfirmation(p, r.KV.ModRevision, begun)
		}
	})
}

// considerAcquire decides whether this node should claim a part. Nothing here
// is needed for safety: a wrong claim costs a pause, never a rule.
func (c *Controller) considerAcquire(p *shard) {
	if p.owned || p.acquiring || c.loop.Now() < p.acquireNotBefore || !p.recordRead || c.writeQueue.IsUnavailableFor(second) {
		return
	}
	self := c.config.Self
	switch {
	case p.owner == "" && p.preferredOwner == self:
	case p.owner == self: // from an earlier life of this node
	case p.preferredOwner == self && p.failbackOffered && p.isBackoffOver(c.loop.Now()):
	case p.owner == "":
		if !c.members.IsFailed(p.preferredOwner) || !c.isSuccessor(p.preferredOwner) {
			return
		}
	default:
		if !p.isBackoffOver(c.loop.Now()) || !c.members.IsFailed(p.owner) || !c.isSuccessor(p.owner) {
			return
		}
	}
	c.acquireShard(p)
}

// isSuccessor tells whether this node is the first after the lost one that could serve.
func (c *Controller) isSuccessor(lost cluster.NodeID) bool {
	n := len(c.config.Nodes)
	at := 0
	for i, id := range c.config.Nodes {
		if id == lost {
			at = i
		}
	}
	for k := 1; k < n; k++ {
		id := c.config.Nodes[(at+k)%n]
		if id == c.config.Self {
			return true
		}
		if !c.members.IsFailed(id) {
			return false
		}
	}
	return false
}

func (c *Controller) acquireShard(p *shard) {
	p.acquiring = true
	prev, term := p.owner, p.term+1
	c.writeQueue.Enqueue(writequeue.Acquire, &writequeue.Write{
		ShardID: p.id, Keys: []string{p.key()},
		Build: func(nonce string) ([]messages.TxnOp, []cluster.ModRevision) {
			v, _ := json.Marshal(shardRecord{Owner: c.config.Self, Term: term, WriteID: nonce, Upgraded: c.members.UpgradedNodes()})
			return []messages.TxnOp{{Key: p.key(), Value: v}}, []cluster.ModRevision{p.modRevision}
		},
		OnApplied: func(e cluster.Revision) {
			p.acquiring = false
			if cluster.ModRevision(e) < p.modRevision {
				return // overtaken already
			}
			p.owned, p.ready, p.failbackOffered = true, false, false
			p.owner, p.term, p.modRevision, p.claimRevision, p.ownershipChangedAt = c.config.Self, term, cluster.ModRevision(e), e, c.loop.Now()
			p.recordOwnerChange(c.loop.Now())
			p.attemptCount, p.attemptBase, p.lastStoredRevision = 0, e, e
			p.provisioningRequests = map[string]*provisioningRequest{}
			p.outOfCapacityUntil, p.outOfCapacityCount = map[provisioningOption]cluster.Time{}, map[provisioningOption]int{}
			c.loop.Log(messages.LogInfo, "claimed part", "part", int(p.id), "term", uint64(term), "from", string(prev))
			c.loadShard(p)
		},
		OnConflict: func() {
			p.acquiring = false
			c.rereadShard(p)
		},
	})
}

// handleDeposed is called when another claim of the part is known: all that this node
// believed of the part is worth nothing from now on.
func (c *Controller) handleDeposed(id cluster.ShardID) {
	p := c.shards[id]
	if !p.owned {
		return
	}
	c.loop.Log(messages.LogInfo, "lost part", "part", int(id), "term", uint64(p.term))
	p.quarantined, p.earlyJobs = nil, nil
	p.owned, p.ready, p.ownershipChangedAt = false, false, c.loop.Now()
	c.ownedShardChanges++
	for _, m := range p.machines {
		c.dropMachine(m)
	}
	for _, j := range p.jobs {
		c.abandonJob(j)
	}
	for _, gid := range slices.Sorted(maps.Keys(c.machineGroups)) {
		if c.machineGroups[gid].shardID == id {
			delete(c.machineGroups, gid)
		}
	}
	for _, fn := range p.ownershipChecks.waiting {
		fn(false)
	}
	p.ownershipChecks.waiting = nil
	c.writeQueue.DropShard(id)
	c.rereadShard(p)
}

// giveUpCorruptShard gives up a part whose records were changed in a way that this process
// can't account for: nothing is guessed, it is claimed again after a pause and
// read anew. Meanwhile every controller answers from the store. The pauses are
// bounded, so that no job goes unanswered or its part unserved for long.
func (c *Controller) giveUpCorruptShard(p *shard, key, why string) {
	c.loop.Log(messages.LogError, "impossible record", "key", key, "why", why)
	p.acquireNotBefore = c.loop.Now() + min(2*second<<min(p.corruptRecordCount, 4), 20*second)
	p.corruptRecordCount++
	c.handleDeposed(p.id)
}

// handleForeignWrite follows a record that another writer changed. Mostly the part has a
// new holder of whom this one has not heard; only if it still is ours does the
// record make no sense.
func (c *Controller) handleForeignWrite(p *shard, key, why string) {
	claim := p.claimRevision
	c.writeQueue.ReadKey(p.key(), func(r messages.GetReply) {
		if !p.isOwnedUnder(claim) {
			return
		}
		if r.Outcome != messages.OK {
			c.loop.After(second/2, func() { c.handleForeignWrite(p, key, why) })
			return
		}
		c.applyShardRecord(r.KV)
		if p.isOwnedUnder(claim) {
			c.giveUpCorruptShard(p, key, why)
		}
	})
}
