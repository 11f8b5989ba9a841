// Package state holds what a controller knows in memory of the shards: their
// machines, machine groups, jobs, assignments and provisioning requests, and the
// sums kept over them. Its methods keep these consistent with each other; it
// decides nothing, sends nothing and has no clock.
//
// Invariants: an assignment is listed by its machine and by its job, or by neither;
// a task is assigned at most once in its job's view, however many machines list it;
// usage sums are those of the live assignments; a final status once known never
// changes.
package state

import (
	"strconv"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
)

// Shard is a set of teams with their jobs, and some machines, with one owner at a
// time. What it holds is known only while this controller owns it.
type Shard struct {
	ShardOwnership
	AttemptNumbers
	ShardInventory
	ShardJobs
	ShardProvisioning
}

// NewShard makes a shard of which nothing is known.
func NewShard(id cluster.ShardID, preferredOwner cluster.NodeID) *Shard {
	return &Shard{
		ShardOwnership:    ShardOwnership{ID: id, PreferredOwner: preferredOwner},
		ShardInventory:    ShardInventory{Usage: TeamUsage{}},
		ShardProvisioning: ShardProvisioning{OutOfCapacityCount: map[ProvisioningOption]int{}},
	}
}

// ShardOwnership is who owns a shard, as far as this controller knows.
type ShardOwnership struct {
	ID             cluster.ShardID
	PreferredOwner cluster.NodeID
	Owner          cluster.NodeID
	Term           cluster.Term
	ModRevision    cluster.ModRevision // of parts/<n> as last seen; the claim's while owned
	RecordRead     bool                // from the store, at least once

	Owned         bool // by this controller
	Ready         bool // its checkpoint has been read
	Acquiring     bool
	ClaimRevision cluster.Revision
	ConfirmedAt   cluster.Time // when the last exchange with the store began that showed the claim in force

	CorruptRecordCount int          // how often its records made no sense
	AcquireNotBefore   cluster.Time // not acquired again before
	FailbackOffered    bool         // its owner is willing to hand it back to us
	OwnershipChangedAt cluster.Time
	OwnerChanges       []cluster.Time // when it changed owners, the last minute's
}

// AttemptNumbers number the starts of a shard's tasks.
type AttemptNumbers struct {
	AttemptCount uint64 // starts numbered under attemptBase
	// AttemptBase is a store change of this owner's that no other numbers starts by:
	// its claim, or a later one once the claim's numbers are used up.
	AttemptBase        cluster.Revision
	LastStoredRevision cluster.Revision // change of the last transaction of the shard under the claim
	PlannedStarts      uint64           // starts numbered since the claim
	StoredTransactions uint64           // transactions of the shard that were stored
}

// ShardInventory is an owned shard's machines.
type ShardInventory struct {
	Machines    []*Machine // by id
	Usage       TeamUsage  // of their tasks
	ToRegister  []grouprecord.Machine
	Quarantined map[string]cluster.ModRevision // group records that make no sense, being repaired

	AwaitingFirstAcknowledgementCount int          // machines taken over that have not acknowledged this claim's token
	LastAcknowledgedAt                cluster.Time // when the last one did
}

// ShardJobs is an owned shard's jobs and their order.
type ShardJobs struct {
	Jobs             []*Job        // by id
	EarlyJobs        []messages.KV // jobs heard of while the shard was being loaded
	QueueOrder       []*Job        // as they are served, as of queueOrderAt; nil: to be worked out
	QueueOrderAt     cluster.Time
	GuaranteedJobs   map[*Job]bool // those within their team's guaranteed quota, as of then
	NextPreemptionAt cluster.Time
	NextOfferAt      cluster.Time // of idle machines to other shards
	AvoidSpot        bool         // a job of it would lose much on spot machines
}

// ShardProvisioning is what an owned shard asks the cloud for.
type ShardProvisioning struct {
	ProvisioningRequests map[string]*ProvisioningRequest
	OutOfCapacityUntil   map[ProvisioningOption]cluster.Time
	OutOfCapacityCount   map[ProvisioningOption]int // in a row
	LastScaleOutAt       cluster.Time
}

// ProvisioningOption is something that the cloud may have.
type ProvisioningOption struct {
	Type, Zone string
	Spot       bool
}

// ProvisioningRequest is a recorded request; it is repeated under its name until its
// answer is known.
type ProvisioningRequest struct {
	Name          string
	Option        ProvisioningOption
	Count         int
	ModRevision   cluster.ModRevision
	Answered      bool
	GrantedCount  int // machines of an answer that is not recorded yet
	Attempts      int
	GroupID       string // that its machines go into, when this claim has made it
	CreateInDoubt bool   // a late copy of its creation may yet be carried out
}

// Key is where the claim of the shard is stored.
func (p *Shard) Key() string { return "parts/" + strconv.Itoa(int(p.ID)) }

// IsOwnedUnder tells whether the part is still held under a claim.
func (p *Shard) IsOwnedUnder(claim cluster.Revision) bool { return p.Owned && p.ClaimRevision == claim }

// RecordOwnerChange notes that the part has a new holder.
func (p *Shard) RecordOwnerChange(now cluster.Time) {
	p.OwnershipChangedAt = now
	keep := p.OwnerChanges[:0]
	for _, t := range p.OwnerChanges {
		if now-t < 60*cluster.Second {
			keep = append(keep, t)
		}
	}
	p.OwnerChanges = append(keep, now)
}

// IsBackoffOver damps quarrels: nodes that each believe the other to be lost would
// else claim a part from one another several times a second. Every change of
// hands within a minute doubles the pause before the next.
func (p *Shard) IsBackoffOver(now cluster.Time) bool {
	n := 0
	for _, t := range p.OwnerChanges {
		if now-t < 60*cluster.Second {
			n++
		}
	}
	if n <= 1 {
		return now-p.OwnershipChangedAt > 2*cluster.Second || n == 0
	}
	return now-p.OwnershipChangedAt > min(cluster.Second<<n, 30*cluster.Second)
}

// NextAttempt numbers a start. A number is never given twice: an attempt that a
// worker still remembers would not be started again.
func (p *Shard) NextAttempt() cluster.Attempt {
	if p.AttemptCount == cluster.MaxAttemptCount && p.LastStoredRevision > p.AttemptBase {
		p.AttemptBase, p.AttemptCount = p.LastStoredRevision, 0
	}
	p.AttemptCount++
	p.PlannedStarts++
	return cluster.NewAttempt(uint64(p.AttemptBase), p.AttemptCount)
}
