package state

import (
	"strconv"

	"stairrelay/internal/cluster"
)

const (
	// ownerChangeWindow is how long a change of owners lengthens the back-off.
	ownerChangeWindow = 60 * cluster.Second
	// backoffBase is doubled for each recent change of owners, maxBackoffDoublings
	// times at most, up to maxBackoff.
	backoffBase         = cluster.Second
	maxBackoffDoublings = 5
	maxBackoff          = 30 * cluster.Second
	// firstCorruptPause is how long a shard is not acquired again after its records
	// were found corrupt once. Each time doubles it, maxCorruptDoublings times at
	// most, up to maxCorruptPause.
	firstCorruptPause   = 2 * cluster.Second
	maxCorruptDoublings = 4
	maxCorruptPause     = 20 * cluster.Second
)

// ShardOwnership is who owns a shard, as far as this controller knows. Package
// ownership decides on it.
type ShardOwnership struct {
	ID             cluster.ShardID
	PreferredOwner cluster.NodeID
	Owner          cluster.NodeID
	Term           cluster.Term
	ModRevision    cluster.ModRevision // of the claim record as last seen; this controller's while owned
	RecordRead     bool                // from the store, at least once

	Owned         bool // by this controller
	Ready         bool // owned, and its records have been read
	Acquiring     bool
	ClaimRevision cluster.Revision
	ConfirmedAt   cluster.Time // when the last exchange with the store began that showed the claim in force

	CorruptRecordCount int          // how often its records made no sense
	AcquireNotBefore   cluster.Time // not acquired again before
	FailbackOffered    bool         // its owner is willing to hand it back to us
	OwnershipChangedAt cluster.Time
	OwnerChanges       []cluster.Time // when it changed owners, the last minute's
}

// Key is where the claim record of the shard is stored.
func (s *ShardOwnership) Key() string { return "parts/" + strconv.Itoa(int(s.ID)) }

// IsOwnedUnder tells whether the shard is still owned under a claim. Whatever
// waits for a reply asks this first: the shard may have been lost and acquired
// again meanwhile, and what it knew of the shard is then another owner's.
func (s *ShardOwnership) IsOwnedUnder(claim cluster.Revision) bool {
	return s.Owned && s.ClaimRevision == claim
}

// RecordOwner takes in a later claim record of another controller, or of an
// earlier process of this one.
func (s *ShardOwnership) RecordOwner(owner cluster.NodeID, term cluster.Term, modRevision cluster.ModRevision, now cluster.Time) {
	s.Owner, s.Term, s.ModRevision = owner, term, modRevision
	s.FailbackOffered = false
	s.RecordOwnerChange(now)
}

// RecordOwnerChange records that the shard has a new owner.
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

// IsBackoffOver tells whether the shard may be acquired from another owner again.
// Nodes that each believe the other to have failed would otherwise acquire a shard
// from one another several times a second. Every change of owners within a minute
// doubles the pause before the next.
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

// PostponeAcquire keeps the shard from being acquired again for a while after its
// records were found corrupt. The pauses grow with each time, but are bounded, so
// that no job of the shard goes unanswered for long.
func (s *ShardOwnership) PostponeAcquisition(now cluster.Time) {
	pause := firstCorruptPause << min(s.CorruptRecordCount, maxCorruptDoublings)
	s.AcquireNotBefore = now + min(pause, maxCorruptPause)
	s.CorruptRecordCount++
}

// BeginOwnership records that this controller has acquired the shard. Nothing that
// it knew of the shard under an earlier claim is taken over: its records are read
// anew. Starts of tasks are numbered from the claim on.
func (s *Shard) BeginOwnership(self cluster.NodeID, term cluster.Term, claim cluster.Revision, now cluster.Time) {
	s.Owned, s.Ready = true, false
	s.ClaimRevision = claim
	s.RecordOwner(self, term, cluster.ModRevision(claim), now)
	s.AttemptCount, s.AttemptBase, s.LastStoredRevision = 0, claim, claim
	s.ProvisioningRequests = map[string]*ProvisioningRequest{}
	s.OutOfCapacityUntil = map[ProvisioningOption]cluster.Time{}
	s.OutOfCapacityCount = map[ProvisioningOption]int{}
}

// EndOwnership records that this controller does not own the shard any more. Its
// machines and jobs are dropped by those who keep them.
func (s *Shard) EndOwnership(now cluster.Time) {
	s.Owned, s.Ready = false, false
	s.OwnershipChangedAt = now
	s.QuarantinedGroups, s.DeferredJobRecords = nil, nil
}
