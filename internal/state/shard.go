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
	Machines             []*Machine // by id
	Usage                TeamUsage  // of their tasks
	PendingRegistrations []grouprecord.Machine
	QuarantinedGroups    map[string]cluster.ModRevision // group records that make no sense, being repaired

	AwaitingFirstAcknowledgementCount int          // machines taken over that have not acknowledged this claim's token
	LastAcknowledgedAt                cluster.Time // when the last one did
}

// ShardJobs is an owned shard's jobs and their order.
type ShardJobs struct {
	Jobs               []*Job        // by id
	DeferredJobRecords []messages.KV // jobs heard of while the shard was being loaded
	QueueOrder         []*Job        // as they are served, as of queueOrderAt; nil: to be worked out
	QueueOrderAt       cluster.Time
	GuaranteedJobs     map[*Job]bool // those within their team's guaranteed quota, as of then
	NextPreemptionAt   cluster.Time
	NextOfferAt        cluster.Time // of idle machines to other shards
	AvoidSpot          bool         // a job of it would lose much on spot machines
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

// NextAttempt numbers a start. A number is never given twice: an attempt that a
// worker still remembers would not be started again.
func (s *Shard) NextAttempt() cluster.Attempt {
	if s.AttemptCount == cluster.MaxAttemptCount && s.LastStoredRevision > s.AttemptBase {
		s.AttemptBase, s.AttemptCount = s.LastStoredRevision, 0
	}
	s.AttemptCount++
	s.PlannedStarts++
	return cluster.NewAttempt(uint64(s.AttemptBase), s.AttemptCount)
}
