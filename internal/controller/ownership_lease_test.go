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
	storeConfirmedAt = 100 * second // when the state service last showed the claim of shard 0
	answeredAt       = 130 * second // when the pings were sent that the peers have answered
)

// leaseTest is what the other controllers have acknowledged, and what the owner of
// shard 0 may do by it.
type leaseTest struct {
	name       string
	n2Answered cluster.Time // when the last ping was sent that n2 has answered; 0: none was
	prepare    func(b *controllerHarness, n2 *membership.Peer)
	owned      bool
	confirmed  cluster.Time
	mayAnswer  bool // 8 s later
	mayStart   bool // 8 s later
}

var leaseTests = []leaseTest{
	{
		name: "every peer acknowledged", n2Answered: answeredAt,
		prepare: func(*controllerHarness, *membership.Peer) {},
		owned:   true, confirmed: answeredAt, mayAnswer: true, mayStart: false,
	},
	{
		name: "one peer never did", n2Answered: 0,
		prepare: func(*controllerHarness, *membership.Peer) {},
		owned:   true, confirmed: storeConfirmedAt, mayAnswer: false, mayStart: false,
	},
	{
		name: "a new process", n2Answered: answeredAt,
		prepare: func(b *controllerHarness, n2 *membership.Peer) { answerPing(b, n2, "other", 1, 1, 1) },
		owned:   true, confirmed: storeConfirmedAt, mayAnswer: false, mayStart: false,
	},
	{
		name: "a new process, the store read since", n2Answered: answeredAt,
		prepare: func(b *controllerHarness, n2 *membership.Peer) {
			answerPing(b, n2, "other", 1, 1, 1)
			b.ownership.RecordConfirmation(b.state.Shards[0], 30, answeredAt)
		},
		owned: true, confirmed: answeredAt, mayAnswer: true, mayStart: false,
	},
	{
		name: "a new process, another mod revision read", n2Answered: answeredAt,
		prepare: func(b *controllerHarness, n2 *membership.Peer) {
			answerPing(b, n2, "other", 1, 1, 1)
			b.ownership.RecordConfirmation(b.state.Shards[0], 31, answeredAt)
		},
		owned: true, confirmed: storeConfirmedAt, mayAnswer: false, mayStart: false,
	},
	{
		name: "an older release", n2Answered: answeredAt,
		prepare: func(b *controllerHarness, n2 *membership.Peer) { answerPing(b, n2, peerInstanceID("n2")) },
		owned:   true, confirmed: storeConfirmedAt, mayAnswer: false, mayStart: false,
	},
	{
		name: "a later term", n2Answered: answeredAt,
		prepare: func(b *controllerHarness, n2 *membership.Peer) { answerPing(b, n2, peerInstanceID("n2"), 2, 1, 1) },
		owned:   false,
	},
	{
		name: "its own ping only", n2Answered: storeConfirmedAt,
		prepare: func(b *controllerHarness, n2 *membership.Peer) {
			b.receivePing(n2, &messages.Ping{InstanceID: peerInstanceID("n2"), KnownTerms: []cluster.Term{1, 1, 1}})
		},
		owned: true, confirmed: storeConfirmedAt, mayAnswer: false, mayStart: false,
	},
}

// answerPing lets a peer answer a ping with the terms that it knows.
func answerPing(b *controllerHarness, from *membership.Peer, instanceID string, terms ...cluster.Term) {
	b.members.HandlePingReply(from, &messages.Ping{InstanceID: instanceID, KnownTerms: terms}, answeredAt)
}

// newHarness is the controller of a test after the peers' acknowledgements.
func (test *leaseTest) newHarness() *controllerHarness {
	b := newHarnessWithKnownPeers()
	b.state.Shards[0].ConfirmedAt = storeConfirmedAt
	setTime(b.Controller, answeredAt)
	for id, sentAt := range map[cluster.NodeID]cluster.Time{"n1": answeredAt, "n2": test.n2Answered} {
		if sentAt > 0 {
			ping := &messages.Ping{InstanceID: peerInstanceID(id), KnownTerms: []cluster.Term{1, 1, 1}}
			b.members.HandlePingReply(b.members.Peer(id), ping, sentAt)
		}
	}
	test.prepare(b, b.members.Peer("n2"))
	return b
}

// TestOwnershipLeaseByPeerAcknowledgement shows what a peer's acknowledgement that it
// knows of no later claim of a shard is worth, and how long an owner may answer
// workers and start tasks by it.
func TestOwnershipLeaseByPeerAcknowledgement(t *testing.T) {
	for _, test := range leaseTests {
		t.Run(test.name, func(t *testing.T) {
			b := test.newHarness()
			shard := b.state.Shards[0]
			if shard.Owned != test.owned {
				t.Fatalf("owned: %v, want %v", shard.Owned, test.owned)
			}
			if !test.owned {
				return
			}
			if at := b.ownership.LastConfirmedAt(shard); at != test.confirmed {
				t.Errorf("confirmed as of %d s, want %d s", at/second, test.confirmed/second)
			}
			if b.loop.Now() == answeredAt && test.confirmed == answeredAt && !b.ownership.CanStartTasks(shard) {
				t.Error("may not start tasks")
			}
			setTime(b.Controller, b.loop.Now()+8*second)
			mayAnswer, mayStart := b.ownership.CanAnswerWorkers(shard), b.ownership.CanStartTasks(shard)
			if mayAnswer != test.mayAnswer || mayStart != test.mayStart {
				t.Errorf("8 s later: may answer %v, may start %v", mayAnswer, mayStart)
			}
		})
	}
}

// TestNoStartWithoutConfirmedLease shows that an owner whose ownership was not
// confirmed for a while sends no start.
func TestNoStartWithoutConfirmedLease(t *testing.T) {
	for age, want := range map[cluster.Time]int{second: 1, ownership.StartWindow + second: 0} {
		b := newControllerHarness()
		job := b.addTestJob("j-1", 1)
		machine, assignment := b.addRunningMachine(job)
		assignment.Phase = state.PhaseReady
		setTime(b.Controller, b.loop.Now()+age)
		if starts := len(b.reconciler.Commands.For(machine, false)); starts != want {
			t.Errorf("%d s after the last confirmation: %d starts", age/second, starts)
		}
	}
}

// TestOwnershipConfirmedByStoreReads shows that while one controller acknowledges
// nothing and the state service serves, the claim record is read again and again, and
// the owner may go on.
func TestOwnershipConfirmedByStoreReads(t *testing.T) {
	b := newControllerHarness()
	shard := b.state.Shards[0]
	b.runFor(b.config.CancelDeadline)
	age := b.loop.Now() - shard.ConfirmedAt
	mayAnswer, mayStart := b.ownership.CanAnswerWorkers(shard), b.ownership.CanStartTasks(shard)
	if age > 4*second || !mayAnswer || !mayStart {
		t.Errorf("last confirmed %d s ago: may answer %v, may start %v", age/second, mayAnswer, mayStart)
	}
}
