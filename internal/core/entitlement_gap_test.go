package core_test

import (
	"fmt"
	"testing"

	"stairrelay/internal/core"
)

// TestGap: the leader alone is refused by the state service; its successor
// claims the part, confirms a cancellation and ends before it could tell
// anybody or reach a machine; then the service is out for longer than cancel_s,
// while the workers report to the former leader all along. It can't know, and
// stops answering them in time. The controller that ended is back during the
// outage and knows nothing of what it did before: its word counts for nothing.
func TestGap(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ { // in some the claim is told before the links are cut
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newSeededCluster(t, seed, 2)
			leader, next, third := m.Nodes[1], m.Nodes[2], m.Nodes[0]
			leader.Refused = m.Now + 14*sec
			m.Run(m.Now + 2*sec)
			third.Refused = m.Now + 20*sec // else it reads of the claim and tells the leader
			m.until("claimed by the next", 10*sec, func() bool { return m.holder() == next.ID })
			next.WorkerCut, next.PeerCut = m.Now+300*sec, m.Now+300*sec
			m.cancelAt(next, m.job)
			m.Kill(next)
			m.Down = m.Now + 80*sec
			next.PeerCut = 0
			m.After(6*sec, func() { m.Boot(next) })
			if m.onMachines(m.job) == 0 {
				t.Fatal("the tasks are gone before the outage: the gap did not open")
			}
			m.rest(120 * sec)
		})
	}
}

// TestOutageWithEverybodysWord: while every controller gives its word, an
// outage of the state service that is longer than cancel_s costs no running task.
func TestOutageWithEverybodysWord(t *testing.T) {
	m := newCalmCluster(t, 2)
	m.Down = m.Now + 2*m.cfg.CancelWithin
	m.rest(2*m.cfg.CancelWithin + 5*sec)
	for id, l := range m.Workers {
		if l.Session != 1 {
			t.Errorf("the lease of %s ran out", id)
		}
	}
	if n := m.onMachines(m.job); n != 3 {
		t.Errorf("%d of 3 tasks run", n)
	}
}

// TestGapByThirdWord: the former leader is cut from its successor but not from
// the third controller, whose word is enough for it to give the part up.
func TestGapByThirdWord(t *testing.T) {
	m := newCalmCluster(t, 2)
	leader, next := m.Nodes[1], m.Nodes[2]
	leader.Refused = m.Now + 10*sec
	m.until("claimed by the next", 10*sec, func() bool { return m.holder() == next.ID })
	next.WorkerCut = m.Now + 60*sec
	m.Run(m.Now + 2*sec) // the third hears of the claim
	m.Kill(next)
	m.Down = m.Now + 60*sec
	status := core.ReplyNone
	m.Run(m.Now + 2*sec)
	for id, l := range m.Workers {
		if len(l.Tasks) == 0 {
			continue
		}
		r := l.Report()
		m.Ask(leader, func(req core.ReqID) core.Event { return core.Checkin{Req: req, Report: r} }, func(a core.Respond) { status = a.Status })
		m.Run(m.Now + sec)
		if status == 200 {
			t.Errorf("the former leader still answers %s", id)
		}
	}
	if status == 0 {
		t.Error("no report was answered")
	}
}
