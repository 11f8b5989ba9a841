package controller_test

import (
	"fmt"
	"testing"

	"stairrelay/internal/messages"
)

// TestDeposedOwnerStopsAnsweringInOutage: the leader alone is refused by the state service; its successor
// claims the part, confirms a cancellation and ends before it could tell
// anybody or reach a machine; then the service is out for longer than cancel_s,
// while the workers report to the former leader all along. It can't know, and
// stops answering them in time. The controller that ended is back during the
// outage and knows nothing of what it did before: its word counts for nothing.
func TestDeposedOwnerStopsAnsweringInOutage(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ { // in some the claim is told before the links are cut
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newTestClusterWithSeed(t, seed, 2)
			leader, next, third := m.Nodes[1], m.Nodes[2], m.Nodes[0]
			leader.StoreRefusesUntil = m.Now + 14*second
			m.RunUntil(m.Now + 2*second)
			third.StoreRefusesUntil = m.Now + 20*second // else it reads of the claim and tells the leader
			m.waitFor("claimed by the next", 10*second, func() bool { return m.longJobOwner() == next.ID })
			next.WorkersCutUntil, next.PeersCutUntil = m.Now+300*second, m.Now+300*second
			m.cancelAt(next, m.longJob)
			next.Kill()
			m.Store.DownUntil = m.Now + 80*second
			next.PeersCutUntil = 0
			m.After(6*second, next.Start)
			if m.countRunningTasks(m.longJob) == 0 {
				t.Fatal("the tasks are gone before the outage: the gap did not open")
			}
			m.runAndCheck(120 * second)
		})
	}
}

// TestOutageWithAllPeerAcknowledgements: while every controller gives its word, an
// outage of the state service that is longer than cancel_s costs no running task.
func TestOutageWithAllPeerAcknowledgements(t *testing.T) {
	m := newTestCluster(t, 2)
	m.Store.DownUntil = m.Now + 2*m.config.CancelDeadline
	m.runAndCheck(2*m.config.CancelDeadline + 5*second)
	for id, l := range m.Machines.Workers {
		if l.Incarnation != 1 {
			t.Errorf("the lease of %s ran out", id)
		}
	}
	if n := m.countRunningTasks(m.longJob); n != 3 {
		t.Errorf("%d of 3 tasks run", n)
	}
}

// TestDeposedOwnerLearnsFromThirdController: the former leader is cut from its successor but not from
// the third controller, whose word is enough for it to give the part up.
func TestDeposedOwnerLearnsFromThirdController(t *testing.T) {
	m := newTestCluster(t, 2)
	leader, next := m.Nodes[1], m.Nodes[2]
	leader.StoreRefusesUntil = m.Now + 10*second
	m.waitFor("claimed by the next", 10*second, func() bool { return m.longJobOwner() == next.ID })
	next.WorkersCutUntil = m.Now + 60*second
	m.RunUntil(m.Now + 2*second) // the third hears of the claim
	next.Kill()
	m.Store.DownUntil = m.Now + 60*second
	status := messages.ReplyNone
	m.RunUntil(m.Now + 2*second)
	for id, l := range m.Machines.Workers {
		if len(l.Tasks) == 0 {
			continue
		}
		r := l.NextStatus()
		leader.SendRequest(func(req messages.RequestID) messages.Event { return messages.Heartbeat{Request: req, Status: r} }, func(a messages.Respond) { status = a.Status })
		m.RunUntil(m.Now + second)
		if status == 200 {
			t.Errorf("the former leader still answers %s", id)
		}
	}
	if status == 0 {
		t.Error("no report was answered")
	}
}
