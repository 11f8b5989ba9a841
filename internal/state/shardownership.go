package state

import (
	"strconv"

	"stairrelay/internal/cluster"
)

const (
	// ownerChangeWindow is the time during which an owner change lengthens the backoff.
	ownerChangeWindow = 60 * cluster.Second
	// backoffBase is the base of the backoff before a shard with recent owner changes is
	// acquired from another owner. The backoff doubles with each of these changes, at most
	// maxBackoffDoublings times and up to maxBackoff.
	backoffBase         = cluster.Second
	maxBackoffDoublings = 5
	maxBackoff          = 30 * cluster.Second
	// corruptBackoffBase is the backoff before a shard is acquired again after its records
	// were first found corrupt. It doubles each further time, at most maxCorruptDoublings
	// times and up to maxCorruptBackoff.
	corruptBackoffBase  = 2 * cluster.Second
	maxCorruptDoublings = 4
	maxCorruptBackoff   = 20 * cluster.Second
)

// ShardOwnership is this controller's view of the ownership of a shard. Decisions on
// ownership are made in package ownership.
type ShardOwnership struct {
	ID             cluster.ShardID
	PreferredOwner cluster.NodeID
	Owner          cluster.NodeID
	Term           cluster.Term
	ModRevision    cluster.ModRevision // mod revision of the claim record as last seen
	RecordRead     bool                // the claim record was read from the store at least once

	Owned         bool // by this controller
	Ready         bool // owned, and its records have been read
	Acquiring     bool
	ClaimRevision cluster.Revision
	ConfirmedAt   cluster.Time // start of the last store request that showed the claim to be in force

	CorruptRecordCount int          // how often the shard's records were found corrupt
	AcquireNotBefore   cluster.Time // earliest time to acquire the shard again
	FailbackOffered    bool         // the owner offers to hand the shard back to this controller
	OwnershipChangedAt cluster.Time
	OwnerChanges       []cluster.Time // times of the owner changes within ownerChangeWindow
}

// Key returns the key of the shard's claim record.
func (s *ShardOwnership) Key() string { return "parts/" + strconv.Itoa(int(s.ID)) }

// IsOwnedUnder reports whether the shard is still owned under a claim. A handler of an
// asynchronous reply must check it first: the shard may have been lost and acquired again
// since the request, and what the reply refers to may belong to an earlier claim.
func (s *ShardOwnership) IsOwnedUnder(claim cluster.Revision) bool {
	return s.Owned && s.ClaimRevision == claim
}

// RecordOwner records the owner, term and mod revision of a newer claim record. It counts
// an owner change and drops an offer of the earlier owner to hand the shard back.
func (s *ShardOwnership) RecordOwner(owner cluster.NodeID, term cluster.Term, modRevision cluster.ModRevision, now cluster.Time) {
	s.Owner, s.Term, s.ModRevision = owner, term, modRevision
	s.FailbackOffered = false
	s.RecordOwnerChange(now)
}

// RecordOwnerChange counts an owner change for the backoff and forgets the changes that
// are older than ownerChangeWindow. It does not change the recorded owner.
func (s *ShardOwnership) RecordOwnerChange(now cluster.Time) {
	s.OwnershipChangedAt = now
	recent := s.OwnerChanges[:0]
	for _, changedAt := range s.OwnerChanges {
		if now-changedAt < ownerChangeWindow {
			recent = append(recent, changedAt)
		}
	}
	s.OwnerChanges = append(recent, now)
}

// IsBackoffOver reports whether the shard may be acquired from another owner again. Each
// owner change within ownerChangeWindow doubles the backoff, up to maxBackoff. Without a
// backoff, nodes that believe each other to have failed would acquire the shard from one
// another several times a second.
func (s *ShardOwnership) IsBackoffOver(now cluster.Time) bool {
	recentChanges := 0
	for _, changedAt := range s.OwnerChanges {
		if now-changedAt < ownerChangeWindow {
			recentChanges++
		}
	}
	if recentChanges == 0 {
		return true
	}
	backoff := min(backoffBase<<min(recentChanges, maxBackoffDoublings), maxBackoff)
	return now-s.OwnershipChangedAt > backoff
}

// PostponeAcquisition delays the next acquisition of the shard by a backoff, because the
// shard's records were found corrupt. The backoff grows each time but is bounded, so that
// the shard's jobs are not without an owner for long.
func (s *ShardOwnership) PostponeAcquisition(now cluster.Time) {
	backoff := corruptBackoffBase << min(s.CorruptRecordCount, maxCorruptDoublings)
	s.AcquireNotBefore = now + min(backoff, maxCorruptBackoff)
	s.CorruptRecordCount++
}

// BeginOwnership records that this controller has acquired the shard. It discards the
// provisioning requests and backoffs of an earlier claim, as the shard's records are read
// again. The revision of the claim becomes the base of new attempt numbers.
func (s *Shard) BeginOwnership(self cluster.NodeID, term cluster.Term, claim cluster.Revision, now cluster.Time) {
	s.Owned, s.Ready = true, false
	s.ClaimRevision = claim
	s.RecordOwner(self, term, cluster.ModRevision(claim), now)
	s.AttemptCount, s.AttemptBase, s.LastStoredRevision = 0, claim, claim
	s.ProvisioningRequests = map[string]*ProvisioningRequest{}
	s.OptionBackoffUntil = map[ProvisioningOption]cluster.Time{}
	s.OutOfCapacityCount = map[ProvisioningOption]int{}
}

// EndOwnership records that this controller no longer owns the shard. It discards the
// quarantined groups and deferred job records, but does not remove the shard's machines
// and jobs.
func (s *Shard) EndOwnership(now cluster.Time) {
	s.Owned, s.Ready = false, false
	s.OwnershipChangedAt = now
	s.QuarantinedGroups, s.DeferredJobRecords = nil, nil
}
