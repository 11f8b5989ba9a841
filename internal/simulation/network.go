package simulation

import (
	"stairrelay/internal/cluster"
)

// Network decides how long messages take and what becomes of those that are
// sent over a partition.
type Network struct {
	*environment
	// LateDelivery lets messages sent over a partition arrive after it, up to
	// minutes late.
	LateDelivery bool
	// HeartbeatDuplicateChance is the chance that a heartbeat is delivered again,
	// up to several leases later.
	HeartbeatDuplicateChance float64
	// SlowPeerChance is the chance that a message between controllers is slow.
	// Without slow ones, what one controller tells another would always be there
	// before its user asks there.
	SlowPeerChance float64
}

// delay draws how long a message takes.
func (n *Network) delay() cluster.Time {
	if n.Chance(0.02) {
		return n.RandomBetween(50*millisecond, 400*millisecond)
	}
	return n.RandomBetween(millisecond, 8*millisecond)
}

// lateArrival draws how much later a message arrives that was sent over a
// partition, if it arrives at all.
func (n *Network) lateArrival(partitionedUntil cluster.Time) (cluster.Time, bool) {
	if !n.LateDelivery || n.Chance(0.4) {
		return 0, false
	}
	return max(partitionedUntil-n.Now, 0) + n.RandomBetween(millisecond, 20*second), true
}

// isSlowPeerMessage draws whether a message between controllers is slow.
func (n *Network) isSlowPeerMessage() bool {
	return n.SlowPeerChance > 0 && n.Chance(n.SlowPeerChance)
}

// isHeartbeatDuplicated draws whether a heartbeat is delivered a second time.
func (n *Network) isHeartbeatDuplicated() bool {
	return n.HeartbeatDuplicateChance > 0 && n.Chance(n.HeartbeatDuplicateChance)
}
