// Package state holds what a controller knows of the shards: their machines, machine
// groups, jobs, assignments and provisioning requests, and the resource usage derived
// from them. Its methods keep these consistent with each other. The package makes no
// scheduling decisions, performs no I/O and has no clock.
//
// Invariants: an assignment is listed by both its machine and its job, or by neither; a
// job assigns a task to at most one machine, even if several machines list it; usage is
// the sum over the live assignments; a final status never changes once it is known.
package state

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
)

// Shard is a partition of the cluster: a set of teams with their jobs, and some machines.
// It has one owner at a time. Its contents are known only while this controller owns it.
type Shard struct {
	ShardOwnership
	AttemptNumbers
	ShardInventory
	ShardJobs
	ShardProvisioning
}

// NewShard returns a shard without a known owner or contents.
func NewShard(id cluster.ShardID, preferredOwner cluster.NodeID) *Shard {
	return &Shard{
		ShardOwnership:    ShardOwnership{ID: id, PreferredOwner: preferredOwner},
		ShardInventory:    ShardInventory{Usage: TeamUsage{}},
		ShardProvisioning: ShardProvisioning{OutOfCapacityCount: map[ProvisioningOption]int{}},
	}
}

// AttemptNumbers holds the state from which the attempts of a shard's tasks are numbered.
type AttemptNumbers struct {
	AttemptCount uint64 // number of attempts with the current AttemptBase
	// AttemptBase is a store revision that no other owner uses as a base. It is the
	// revision of the owner's claim or, once AttemptCount has reached its maximum, that of
	// a later transaction of the same owner.
	AttemptBase        cluster.Revision
	LastStoredRevision cluster.Revision // latest revision of the claim and of the shard's stored transactions under it
	TotalAttemptCount  uint64           // number of attempts with any AttemptBase; never reset
	StoredTransactions uint64           // number of transactions of the shard that were stored; never reset
}

// ShardInventory holds the machines of an owned shard.
type ShardInventory struct {
	Machines             []*Machine                     // sorted by ID
	Usage                TeamUsage                      // resources used by the live tasks on the machines
	PendingRegistrations []grouprecord.Machine          // machines that the next registration stores in new groups
	QuarantinedGroups    map[string]cluster.ModRevision // mod revisions of the malformed group records to be deleted, by key

	AwaitingFirstAcknowledgementCount int          // number of machines acquired with the shard, except booting ones, that have not acknowledged their tokens since
	LastAcknowledgedAt                cluster.Time // time of the latest first acknowledgement by a machine acquired with the shard; time of the load if there is none
}

// ShardJobs holds the jobs of an owned shard and their queue.
type ShardJobs struct {
	Jobs                  []*Job        // sorted by ID
	DeferredJobRecords    []messages.KV // job records seen while the shard was loading, to be applied afterwards
	QueueOrder            []*Job        // in scheduling order, as of QueueOrderAt; nil if it has to be recomputed
	QueueOrderAt          cluster.Time
	GuaranteedJobs        map[*Job]bool // jobs within their team's guaranteed quota, as of QueueOrderAt
	NextPreemptionAt      cluster.Time  // earliest time of the next search for tasks to preempt
	NextOfferAt           cluster.Time  // earliest time to offer idle machines to other shards
	HasOnDemandPreference bool          // a job of the shard prefers on-demand machines, as of QueueOrderAt
}

// ShardProvisioning tracks the machines that an owned shard requests from the cloud.
type ShardProvisioning struct {
	ProvisioningRequests map[string]*ProvisioningRequest
	OptionBackoffUntil   map[ProvisioningOption]cluster.Time
	OutOfCapacityCount   map[ProvisioningOption]int // consecutive rejections for lack of capacity, up to the maximum number of backoff doublings
	LastScaleOutAt       cluster.Time
}

// ProvisioningOption is a kind of machine that can be requested from the cloud.
type ProvisioningOption struct {
	Type, Zone string
	Spot       bool
}

// ProvisioningRequest is a request for machines. It is stored before the cloud is called,
// and retried under its name until the cloud has answered it.
type ProvisioningRequest struct {
	Name          string
	Option        ProvisioningOption
	Count         int
	ModRevision   cluster.ModRevision
	Answered      bool
	GrantedCount  int // machines that the cloud has granted and that are not recorded yet
	Attempts      int
	GroupID       string // group that its machines join, if the request was made under this claim
	CreateInDoubt bool   // a write that creates its record may still be applied
}

// NextAttempt returns a new attempt number. Numbers are never reused, as a worker does not
// start an attempt that it remembers.
func (s *Shard) NextAttempt() cluster.Attempt {
	if s.AttemptCount == cluster.MaxAttemptCount && s.LastStoredRevision > s.AttemptBase {
		s.AttemptBase, s.AttemptCount = s.LastStoredRevision, 0
	}
	s.AttemptCount++
	s.TotalAttemptCount++
	return cluster.NewAttempt(uint64(s.AttemptBase), s.AttemptCount)
}
