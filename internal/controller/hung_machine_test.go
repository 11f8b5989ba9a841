package controller_test

import (
	"fmt"
	"testing"
	"time"

	"stairrelay/internal/cluster"
)

// restartEachOwner ends whoever holds part 1 a while after its claim, again and
// again, each for long enough that another controller succeeds it.
func (m *testCluster) restartEachOwner(life cluster.Time) {
	const away = 9 * second
	var last cluster.NodeID
	var look func()
	look = func() {
		if holder := m.longJobOwner(); holder != last {
			last = holder
			m.After(life, func() { m.restartNode(holder, away) })
		}
		m.After(second/10, look)
	}
	look()
}

func (m *testCluster) restartNode(id cluster.NodeID, away cluster.Time) {
	for _, node := range m.Nodes {
		if node.ID == id {
			restart(m.Simulator, node, away)
		}
	}
}

// hangMachinesOfJob stops the machines on which tasks of the job are.
func (m *testCluster) hangMachinesOfJob(d cluster.Time) {
	for id, worker := range m.Machines.Workers {
		if len(worker.Tasks) > 0 {
			m.Machines.Hang(id, d)
		}
	}
}

// TestHungMachineAcrossShortOwnerships: the machine of a cancelled job hangs, and no
// holder of its part lives as long as a holder waits for a machine that it has
// just taken over (takenPatience). The job's tasks are gone in time all the same:
// a controller that has known of the cancellation for half of its time, or began
// only after it, returns a machine that leaves its first call unanswered.
func TestHungMachineAcrossShortOwnerships(t *testing.T) {
	const tenInTwoMinutes = 5400 * second / 1000 // of the 12 s for each, detection takes 6.6 s
	for _, site := range []struct {
		report, lease, cancelWithin, life cluster.Time
	}{
		{2 * second, 12 * second, 37 * second, 2 * second},
		{3 * second, 22 * second, 52 * second, tenInTwoMinutes},
		{5 * second, 26500 * second / 1000, 51500 * second / 1000, tenInTwoMinutes},
		{5 * second, 26500 * second / 1000, 51500 * second / 1000, 2 * second},
	} {
		t.Run(fmt.Sprintf("reports each %v, holders live %v", time.Duration(site.report), time.Duration(site.life)), func(t *testing.T) {
			cfg := testConfig()
			cfg.HeartbeatInterval, cfg.WorkerLease, cfg.CancelDeadline = site.report, site.lease, site.cancelWithin
			if patience := max(5*second, 2*site.report); site.life >= patience {
				t.Fatalf("holders live for %v, no shorter than the patience", time.Duration(site.life))
			}
			m := newTestClusterWithConfig(t, cfg, 1, 2)
			m.hangMachinesOfJob(2 * cfg.CancelDeadline)
			m.cancelAt(m.Nodes[1], m.longJob)
			m.restartEachOwner(site.life)
			m.RunUntil(m.longJob.CancelConfirmedAt + cfg.CancelDeadline)
			if n := m.countRunningTasks(m.longJob); n > 0 {
				t.Errorf("%d tasks are on machines when the cancellation's time is up", n)
			}
			m.runAndCheck(30 * second)
		})
	}
}

// TestHungMachineReleasedInOutage: a cancelled job's machine hangs, and the state service is
// out for longer than cancel_s: the machine is returned without a record.
func TestHungMachineReleasedInOutage(t *testing.T) {
	m := newTestCluster(t, 2)
	for id, l := range m.Machines.Workers {
		if len(l.Tasks) > 0 {
			m.Machines.Hang(id, 100*second)
		}
	}
	m.cancelAt(m.Nodes[1], m.longJob)
	m.Store.DownUntil = m.Now + 80*second
	if m.countRunningTasks(m.longJob) == 0 {
		t.Fatal("the tasks are gone before the outage")
	}
	m.runAndCheck(120 * second)
}
