package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
	"stairrelay/internal/ownership"
	"stairrelay/internal/state"
)

const (
	storeConfirmedAt = 100 * second // when the store last confirmed the claim of shard 0
	pingsSentAt      = 130 * second // when the pings were sent that the peers have replied to
)

// leaseTest describes the acknowledgements of the peers and what they allow the owner
// of shard 0 to do.
type leaseTest struct {
	name         string
	n2PingSentAt cluster.Time // when the last ping that n2 replied to was sent; 0 if there is none
	prepare      func(h *controllerHarness, n2 *membership.Peer)
	owned        bool
	confirmedAt  cluster.Time
	canAnswer    bool // whether the owner may answer workers 8 s later
	canStart     bool // whether the owner may start tasks 8 s later
}

var leaseTests = []leaseTest{
	{
		name: "every peer acknowledged", n2PingSentAt: pingsSentAt,
		prepare: func(*controllerHarness, *membership.Peer) {},
		owned:   true, confirmedAt: pingsSentAt, canAnswer: true, canStart: false,
	},
	{
		name: "one peer never acknowledged", n2PingSentAt: 0,
		prepare: func(*controllerHarness, *membership.Peer) {},
		owned:   true, confirmedAt: storeConfirmedAt, canAnswer: false, canStart: false,
	},
	{
		name: "peer restarted", n2PingSentAt: pingsSentAt,
		prepare: func(h *controllerHarness, n2 *membership.Peer) { deliverPingReply(h, n2, "other", 1, 1, 1) },
		owned:   true, confirmedAt: storeConfirmedAt, canAnswer: false, canStart: false,
	},
	{
		name: "peer restarted, claim confirmed by the store since", n2PingSentAt: pingsSentAt,
		prepare: func(h *controllerHarness, n2 *membership.Peer) {
			deliverPingReply(h, n2, "other", 1, 1, 1)
			h.ownership.RecordConfirmation(h.state.Shards[0], 30, pingsSentAt)
		},
		owned: true, confirmedAt: pingsSentAt, canAnswer: true, canStart: false,
	},
	{
		name: "peer restarted, another mod revision read from the store", n2PingSentAt: pingsSentAt,
		prepare: func(h *controllerHarness, n2 *membership.Peer) {
			deliverPingReply(h, n2, "other", 1, 1, 1)
			h.ownership.RecordConfirmation(h.state.Shards[0], 31, pingsSentAt)
		},
		owned: true, confirmedAt: storeConfirmedAt, canAnswer: false, canStart: false,
	},
	{
		name: "peer of an older release", n2PingSentAt: pingsSentAt,
		prepare: func(h *controllerHarness, n2 *membership.Peer) { deliverPingReply(h, n2, peerInstanceID("n2")) },
		owned:   true, confirmedAt: storeConfirmedAt, canAnswer: false, canStart: false,
	},
	{
		name: "peer knows a later term", n2PingSentAt: pingsSentAt,
		prepare: func(h *controllerHarness, n2 *membership.Peer) {
			deliverPingReply(h, n2, peerInstanceID("n2"), 2, 1, 1)
		},
		owned: false,
	},
	{
		name: "peer sent a ping but no reply", n2PingSentAt: storeConfirmedAt,
		prepare: func(h *controllerHarness, n2 *membership.Peer) {
			h.receivePing(n2, &messages.Ping{InstanceID: peerInstanceID("n2"), KnownTerms: []cluster.Term{1, 1, 1}})
		},
		owned: true, confirmedAt: storeConfirmedAt, canAnswer: false, canStart: false,
	},
}

// deliverPingReply delivers a peer's reply to a ping sent at pingsSentAt, with the
// terms that the peer knows.
func deliverPingReply(h *controllerHarness, from *membership.Peer, instanceID string, terms ...cluster.Term) {
	h.members.HandlePingReply(from, &messages.Ping{InstanceID: instanceID, KnownTerms: terms}, pingsSentAt)
}

// newHarness returns a harness that has received the acknowledgements of the test.
func (test *leaseTest) newHarness() *controllerHarness {
	h := newHarnessWithKnownPeers()
	h.state.Shards[0].ConfirmedAt = storeConfirmedAt
	setTime(h.Controller, pingsSentAt)
	for id, sentAt := range map[cluster.NodeID]cluster.Time{"n1": pingsSentAt, "n2": test.n2PingSentAt} {
		if sentAt > 0 {
			ping := &messages.Ping{InstanceID: peerInstanceID(id), KnownTerms: []cluster.Term{1, 1, 1}}
			h.members.HandlePingReply(h.members.Peer(id), ping, sentAt)
		}
	}
	test.prepare(h, h.members.Peer("n2"))
	return h
}

// TestOwnershipLeaseByPeerAcknowledgement checks which replies of peers renew an ownership
// lease, and for how long the owner may then answer workers and start tasks.
func TestOwnershipLeaseByPeerAcknowledgement(t *testing.T) {
	for _, test := range leaseTests {
		t.Run(test.name, func(t *testing.T) {
			h := test.newHarness()
			shard := h.state.Shards[0]
			if shard.Owned != test.owned {
				t.Fatalf("owned: %v, want %v", shard.Owned, test.owned)
			}
			if !test.owned {
				return
			}
			if at := h.ownership.LastConfirmedAt(shard); at != test.confirmedAt {
				t.Errorf("last confirmed at %d s, want %d s", at/second, test.confirmedAt/second)
			}
			if h.loop.Now() == pingsSentAt && test.confirmedAt == pingsSentAt && !h.ownership.CanStartTasks(shard) {
				t.Error("can't start tasks right after a confirmation")
			}
			setTime(h.Controller, h.loop.Now()+8*second)
			canAnswer, canStart := h.ownership.CanAnswerWorkers(shard), h.ownership.CanStartTasks(shard)
			if canAnswer != test.canAnswer || canStart != test.canStart {
				t.Errorf("8 s later: can answer workers %v, can start tasks %v", canAnswer, canStart)
			}
		})
	}
}

// TestNoStartWithoutConfirmedLease checks that an owner sends no start if its last
// confirmation of ownership is older than ownership.StartWindow.
func TestNoStartWithoutConfirmedLease(t *testing.T) {
	for age, want := range map[cluster.Time]int{second: 1, ownership.StartWindow + second: 0} {
		h := newControllerHarness()
		job := h.addTestJob("j-1", 1)
		machine, assignment := h.addRunningMachine(job)
		assignment.Phase = state.PhaseReady
		setTime(h.Controller, h.loop.Now()+age)
		if starts := len(h.reconciler.Commands.For(machine, false)); starts != want {
			t.Errorf("%d s after the last confirmation: %d starts", age/second, starts)
		}
	}
}

// TestOwnershipConfirmedByStoreReads checks that an owner renews its lease by reading its
// claim record from the store although no peer acknowledges the claim.
func TestOwnershipConfirmedByStoreReads(t *testing.T) {
	h := newControllerHarness()
	shard := h.state.Shards[0]
	h.runFor(h.config.CancelDeadline)
	age := h.loop.Now() - shard.ConfirmedAt
	canAnswer, canStart := h.ownership.CanAnswerWorkers(shard), h.ownership.CanStartTasks(shard)
	if age > 4*second || !canAnswer || !canStart {
		t.Errorf("last confirmed %d s ago: can answer workers %v, can start tasks %v", age/second, canAnswer, canStart)
	}
}
