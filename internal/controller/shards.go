package controller

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"stairrelay/internal/state"

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
		for _, p := range c.state.Shards {
			p.RecordRead = true
		}
		for _, kv := range r.Items {
			c.applyShardRecord(kv)
		}
		c.shardsRevision = r.Revision
		for _, p := range c.state.Shards {
			c.considerAcquire(p)
		}
		c.watchShards()
	})
}

func (c *Controller) watchShards() {
	c.writeQueue.Watch("parts/", &c.shardsRevision, second/10, c.applyShardRecord, c.loadShards)
}

func (c *Controller) applyShardRecord(kv messages.KV) {
	n, err := strconv.Atoi(strings.TrimPrefix(kv.Key, "parts/"))
	if err != nil || n < 0 || n >= len(c.state.Shards) || kv.Value == nil {
		return
	}
	p := c.state.Shards[n]
	if kv.ModRevision > p.ModRevision {
		c.members.RecordWrite(writequeue.InstanceOf(writequeue.WriteIDOf(kv.Value)))
	}
	var rec shardRecord
	if json.Unmarshal(kv.Value, &rec) != nil || rec.Owner == "" {
		c.loop.Log(messages.LogError, "unreadable record", "key", kv.Key)
		return
	}
	c.members.RecordUpgraded(rec.Upgraded...)
	if kv.ModRevision <= p.ModRevision {
		return
	}
	if p.Owned && writequeue.InstanceOf(rec.WriteID) != c.config.InstanceID {
		c.handleDeposed(p.ID)
	}
	if p.Acquiring && writequeue.InstanceOf(rec.WriteID) == c.config.InstanceID {
		return // our own claim, seen before its answer
	}
	p.ModRevision, p.Owner, p.Term, p.FailbackOffered = kv.ModRevision, rec.Owner, rec.Term, false
	p.RecordOwnerChange(c.loop.Now())
}

func (c *Controller) rereadShard(p *state.Shard) {
	begun := c.loop.Now()
	c.writeQueue.ReadKey(p.Key(), func(r messages.GetReply) {
		if r.Outcome == messages.OK {
			c.applyShardRecord(r.KV)
			c.recordConfirmation(p, r.KV.ModRevision, begun)
		}
	})
}

// considerAcquire decides whether this node should claim a part. Nothing here
// is needed for safety: a wrong claim costs a pause, never a rule.
func (c *Controller) considerAcquire(p *state.Shard) {
	if p.Owned || p.Acquiring || c.loop.Now() < p.AcquireNotBefore || !p.RecordRead || c.writeQueue.IsUnavailableFor(second) {
		return
	}
	self := c.config.Self
	switch {
	case p.Owner == "" && p.PreferredOwner == self:
	case p.Owner == self: // from an earlier life of this node
	case p.PreferredOwner == self && p.FailbackOffered && p.IsBackoffOver(c.loop.Now()):
	case p.Owner == "":
		if !c.members.IsFailed(p.PreferredOwner) || !c.isSuccessor(p.PreferredOwner) {
			return
		}
	default:
		if !p.IsBackoffOver(c.loop.Now()) || !c.members.IsFailed(p.Owner) || !c.isSuccessor(p.Owner) {
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

func (c *Controller) acquireShard(p *state.Shard) {
	p.Acquiring = true
	prev, term := p.Owner, p.Term+1
	c.writeQueue.Enqueue(writequeue.Acquire, &writequeue.Write{
		ShardID: p.ID, Keys: []string{p.Key()},
		Build: func(nonce string) ([]messages.TxnOp, []cluster.ModRevision) {
			v, _ := json.Marshal(shardRecord{Owner: c.config.Self, Term: term, WriteID: nonce, Upgraded: c.members.UpgradedNodes()})
			return []messages.TxnOp{{Key: p.Key(), Value: v}}, []cluster.ModRevision{p.ModRevision}
		},
		OnApplied: func(e cluster.Revision) {
			p.Acquiring = false
			if cluster.ModRevision(e) < p.ModRevision {
				return // overtaken already
			}
			p.Owned, p.Ready, p.FailbackOffered = true, false, false
			p.Owner, p.Term, p.ModRevision, p.ClaimRevision, p.OwnershipChangedAt = c.config.Self, term, cluster.ModRevision(e), e, c.loop.Now()
			p.RecordOwnerChange(c.loop.Now())
			p.AttemptCount, p.AttemptBase, p.LastStoredRevision = 0, e, e
			p.ProvisioningRequests = map[string]*state.ProvisioningRequest{}
			p.OutOfCapacityUntil, p.OutOfCapacityCount = map[state.ProvisioningOption]cluster.Time{}, map[state.ProvisioningOption]int{}
			c.loop.Log(messages.LogInfo, "claimed part", "part", int(p.ID), "term", uint64(term), "from", string(prev))
			c.loadShard(p)
		},
		OnConflict: func() {
			p.Acquiring = false
			c.rereadShard(p)
		},
	})
}

// handleDeposed is called when another claim of the part is known: all that this node
// believed of the part is worth nothing from now on.
func (c *Controller) handleDeposed(id cluster.ShardID) {
	p := c.state.Shards[id]
	if !p.Owned {
		return
	}
	c.loop.Log(messages.LogInfo, "lost part", "part", int(id), "term", uint64(p.Term))
	p.Quarantined, p.EarlyJobs = nil, nil
	p.Owned, p.Ready, p.OwnershipChangedAt = false, false, c.loop.Now()
	c.ownedShardChanges++
	for _, m := range p.Machines {
		c.dropMachine(m)
	}
	for _, j := range p.Jobs {
		c.jobs.Records.Abandon(j)
	}
	for _, gid := range slices.Sorted(maps.Keys(c.state.Groups)) {
		if c.state.Groups[gid].ShardID == id {
			delete(c.state.Groups, gid)
		}
	}
	for _, fn := range c.ownershipChecks[p.ID].waiting {
		fn(false)
	}
	c.ownershipChecks[p.ID].waiting = nil
	c.writeQueue.DropShard(id)
	c.rereadShard(p)
}

// giveUpCorruptShard gives up a part whose records were changed in a way that this process
// can't account for: nothing is guessed, it is claimed again after a pause and
// read anew. Meanwhile every controller answers from the store. The pauses are
// bounded, so that no job goes unanswered or its part unserved for long.
func (c *Controller) giveUpCorruptShard(p *state.Shard, key, why string) {
	c.loop.Log(messages.LogError, "impossible record", "key", key, "why", why)
	p.AcquireNotBefore = c.loop.Now() + min(2*second<<min(p.CorruptRecordCount, 4), 20*second)
	p.CorruptRecordCount++
	c.handleDeposed(p.ID)
}

// handleForeignWrite follows a record that another writer changed. Mostly the part has a
// new holder of whom this one has not heard; only if it still is ours does the
// record make no sense.
func (c *Controller) handleForeignWrite(p *state.Shard, key, why string) {
	claim := p.ClaimRevision
	c.writeQueue.ReadKey(p.Key(), func(r messages.GetReply) {
		if !p.IsOwnedUnder(claim) {
			return
		}
		if r.Outcome != messages.OK {
			c.loop.After(second/2, func() { c.handleForeignWrite(p, key, why) })
			return
		}
		c.applyShardRecord(r.KV)
		if p.IsOwnedUnder(claim) {
			c.giveUpCorruptShard(p, key, why)
		}
	})
}
