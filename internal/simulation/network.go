package simulation

import (
	"stairrelay/internal/cluster"
)

// Network determines the delay of each message, and whether messages sent during
// a partition are lost or delivered late.
type Network struct {
	*environment
	// LateDelivery makes some of the messages that would be lost arrive late. A message
	// that is sent during a partition arrives after the partition has ended.
	LateDelivery bool
	// HeartbeatDuplicateChance is the probability that a heartbeat is delivered a
	// second time, up to three lease durations later.
	HeartbeatDuplicateChance float64
	// PushRepeatChance is the probability that a push that was executed is delivered a
	// second time, up to maxRepeatDelay later.
	PushRepeatChance float64
	// RepeatChance is the probability of the same for the controllers' requests to the store,
	// to the cloud and to each other, and for users' requests.
	RepeatChance float64
	// SlowPeerChance is the probability that a message between controllers is
	// slow. Slow messages expose races between replication to another controller
	// and a user's request to that controller.
	SlowPeerChance float64
}

// maxRepeatDelay is the maximum delay of the second delivery of an executed request.
const maxRepeatDelay = 120 * second

// delay returns a random message delay.
func (n *Network) delay() cluster.Time {
	if n.Chance(0.02) {
		return n.RandomBetween(50*millisecond, 400*millisecond)
	}
	return n.RandomBetween(millisecond, 8*millisecond)
}

// lateArrival returns a random delay for a message that does not arrive in time, and
// whether the message arrives at all. It arrives after partitionedUntil.
func (n *Network) lateArrival(partitionedUntil cluster.Time) (cluster.Time, bool) {
	if !n.LateDelivery || n.Chance(0.4) {
		return 0, false
	}
	return max(partitionedUntil-n.Now, 0) + n.RandomBetween(millisecond, 20*second), true
}

// isSlowPeerMessage decides at random whether a message between controllers is slow.
func (n *Network) isSlowPeerMessage() bool {
	return n.SlowPeerChance > 0 && n.Chance(n.SlowPeerChance)
}

// isHeartbeatDuplicated decides at random whether a heartbeat is delivered twice.
func (n *Network) isHeartbeatDuplicated() bool {
	return n.HeartbeatDuplicateChance > 0 && n.Chance(n.HeartbeatDuplicateChance)
}

// repeat delivers an executed request a second time after a random delay, with the given
// probability.
func (n *Network) repeat(chance float64, deliver func()) {
	if chance > 0 && n.Chance(chance) {
		n.After(n.RandomBetween(second/10, maxRepeatDelay), deliver)
	}
}
