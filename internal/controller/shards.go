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
)

type shardRecord struct {
	Owner   cluster.NodeID `json:"holder"`
	Term    cluster.Term   `json:"term"`
	WriteID string         `json:"w"`
	// Upgraded lists the controllers known to run a release that understands
	// jobs that await others. Absent in releases before pipelines.
	Upgraded []cluster.NodeID `json:"up,omitempty"`
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
	c.versionRegistry.recordUpgraded(rec.Upgraded...)
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
		if !c.isFailed(p.preferredOwner) || !c.isSuccessor(p.preferredOwner) {
			return
		}
	default:
		if !p.isBackoffOver(c.loop.Now()) || !c.isFailed(p.owner) || !c.isSuccessor(p.owner) {
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
		if !c.isFailed(id) {
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
			v, _ := json.Marshal(shardRecord{Owner: c.config.Self, Term: term, WriteID: nonce, Upgraded: c.versionRegistry.upgradedNodes()})
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
