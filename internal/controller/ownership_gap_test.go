package controller_test

import (
	"fmt"
	"testing"

	"stairrelay/internal/messages"
)

// TestDeposedOwnerStopsAnsweringInOutage: the owner alone is refused by the state
// service; its successor acquires the shard, confirms a cancellation and ends before it
// could tell anybody or reach a machine; then the service is out for longer than
// cancel_s, while the workers send heartbeats to the former owner all along. It can't
// know, and stops answering them in time. The controller that ended is back during the
// outage and knows nothing of what it did before: it acknowledges nothing.
func TestDeposedOwnerStopsAnsweringInOutage(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ { // in some the claim is known to others before the links are cut
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newTestClusterWithSeed(t, seed, 2)
			owner, next, third := m.Nodes[1], m.Nodes[2], m.Nodes[0]
			owner.StoreRefusesUntil = m.Now + 14*second
			m.RunUntil(m.Now + 2*second)
			third.StoreRefusesUntil = m.Now + 20*second // else it reads of the claim and lets the former owner know
			m.waitFor("acquired by the next", 10*second, func() bool { return m.longJobOwner() == next.ID })
			next.WorkersCutUntil, next.PeersCutUntil = m.Now+300*second, m.Now+300*second
			m.cancelAt(next, m.longJob)
			m.KillNode(next)
			m.StoreDownUntil = m.Now + 80*second
			next.PeersCutUntil = 0
			m.After(6*second, func() { m.StartNode(next) })
			if m.countRunningTasks(m.longJob) == 0 {
				t.Fatal("the tasks are gone before the outage: nothing was left to stop")
			}
			m.runAndCheck(120 * second)
		})
	}
}

// TestOutageWithAllPeerAcknowledgements: while every controller acknowledges, an
// outage of the state service that is longer than cancel_s costs no running task.
func TestOutageWithAllPeerAcknowledgements(t *testing.T) {
	m := newTestCluster(t, 2)
	m.StoreDownUntil = m.Now + 2*m.config.CancelDeadline
	m.runAndCheck(2*m.config.CancelDeadline + 5*second)
	for id, worker := range m.Workers {
		if worker.Incarnation != 1 {
			t.Errorf("the lease of %s ran out", id)
		}
	}
	if n := m.countRunningTasks(m.longJob); n != 3 {
		t.Errorf("%d of 3 tasks run", n)
	}
}

// TestDeposedOwnerLearnsFromThirdController: the former owner is cut from its successor
// but not from the third controller, whose later term is enough for it to give the
// shard up.
func TestDeposedOwnerLearnsFromThirdController(t *testing.T) {
	m := newTestCluster(t, 2)
	owner, next := m.Nodes[1], m.Nodes[2]
	owner.StoreRefusesUntil = m.Now + 10*second
	m.waitFor("acquired by the next", 10*second, func() bool { return m.longJobOwner() == next.ID })
	next.WorkersCutUntil = m.Now + 60*second
	m.RunUntil(m.Now + 2*second) // the third learns of the claim
	m.KillNode(next)
	m.StoreDownUntil = m.Now + 60*second
	status := messages.ReplyNone
	m.RunUntil(m.Now + 2*second)
	for id, worker := range m.Workers {
		if len(worker.Tasks) == 0 {
			continue
		}
		heartbeat := worker.NextStatus()
		m.SendRequest(owner, func(req messages.RequestID) messages.Event {
			return messages.Heartbeat{Request: req, Status: heartbeat}
		}, func(a messages.Respond) { status = a.Status })
		m.RunUntil(m.Now + second)
		if status == 200 {
			t.Errorf("the former owner still answers %s", id)
		}
	}
	if status == 0 {
		t.Error("no heartbeat was answered")
	}
}
