package controller

import (
	"strconv"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
)

// shard is a set of teams with their jobs, and some machines, with one owner at a
// time. What it holds is known only while this controller owns it.
type shard struct {
	shardOwnership
	attemptNumbers
	shardInventory
	shardJobs
	shardProvisioning
	progress shardProgress
}

// newShard makes a shard of which nothing is known.
func newShard(id cluster.ShardID, preferredOwner cluster.NodeID) *shard {
	return &shard{
		shardOwnership:    shardOwnership{id: id, preferredOwner: preferredOwner},
		shardInventory:    shardInventory{usage: teamUsage{}},
		shardProvisioning: shardProvisioning{outOfCapacityCount: map[provisioningOption]int{}},
	}
}

// shardOwnership is who owns a shard, as far as this controller knows.
type shardOwnership struct {
	id             cluster.ShardID
	preferredOwner cluster.NodeID
	owner          cluster.NodeID
	term           cluster.Term
	modRevision    cluster.ModRevision // of parts/<n> as last seen; the claim's while owned
	recordRead     bool                // from the store, at least once

	owned           bool // by this controller
	ready           bool // its checkpoint has been read
	acquiring       bool
	claimRevision   cluster.Revision
	confirmedAt     cluster.Time // when the last exchange with the store began that showed the claim in force
	ownershipChecks ownershipChecks

	corruptRecordCount int          // how often its records made no sense
	acquireNotBefore   cluster.Time // not acquired again before
	failbackOffered    bool         // its owner is willing to hand it back to us
	ownershipChangedAt cluster.Time
	ownerChanges       []cluster.Time // when it changed owners, the last minute's
}

// attemptNumbers number the starts of a shard's tasks.
type attemptNumbers struct {
	attemptCount uint64 // starts numbered under attemptBase
	// attemptBase is a store change of this owner's that no other numbers starts by:
	// its claim, or a later one once the claim's numbers are used up.
	attemptBase        cluster.Revision
	lastStoredRevision cluster.Revision // change of the last transaction of the shard under the claim
	plannedStarts      uint64           // starts numbered since the claim
	storedTransactions uint64           // transactions of the shard that were stored
}

// shardInventory is an owned shard's machines.
type shardInventory struct {
	machines    []*machine // by id
	usage       teamUsage  // of their tasks
	toRegister  []grouprecord.Machine
	quarantined map[string]cluster.ModRevision // group records that make no sense, being repaired

	awaitingFirstAcknowledgementCount int          // machines taken over that have not acknowledged this claim's token
	lastAcknowledgedAt                cluster.Time // when the last one did
}

// shardJobs is an owned shard's jobs and their order.
type shardJobs struct {
	jobs             []*job        // by id
	earlyJobs        []messages.KV // jobs heard of while the shard was being loaded
	queueOrder       []*job        // as they are served, as of queueOrderAt; nil: to be worked out
	queueOrderAt     cluster.Time
	guaranteedJobs   map[*job]bool // those within their team's guaranteed quota, as of then
	nextPreemptionAt cluster.Time
	nextOfferAt      cluster.Time // of idle machines to other shards
	avoidSpot        bool         // a job of it would lose much on spot machines
}

// shardProvisioning is what an owned shard asks the cloud for.
type shardProvisioning struct {
	provisioningRequests map[string]*provisioningRequest
	outOfCapacityUntil   map[provisioningOption]cluster.Time
	outOfCapacityCount   map[provisioningOption]int // in a row
	lastScaleOutAt       cluster.Time
}

// provisioningOption is something that the cloud may have.
type provisioningOption struct {
	Type, Zone string
	Spot       bool
}

// provisioningRequest is a recorded request; it is repeated under its name until its
// answer is known.
type provisioningRequest struct {
	name          string
	option        provisioningOption
	count         int
	modRevision   cluster.ModRevision
	answered      bool
	grantedCount  int // machines of an answer that is not recorded yet
	attempts      int
	groupID       string // that its machines go into, when this claim has made it
	createInDoubt bool   // a late copy of its creation may yet be carried out
}

// key is where the claim of the shard is stored.
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
