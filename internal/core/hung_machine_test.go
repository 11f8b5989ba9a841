package core_test

import (
	"fmt"
	"testing"
	"time"

	"stairrelay/internal/core"
)

// endEachHolder ends whoever holds part 1 a while after its claim, again and
// again, each for long enough that another controller succeeds it.
func (m *calmCluster) endEachHolder(life core.Time) {
	const away = 9 * sec
	var last core.NodeID
	var look func()
	look = func() {
		if holder := m.holder(); holder != last {
			last = holder
			m.After(life, func() { m.endNode(holder, away) })
		}
		m.After(sec/10, look)
	}
	look()
}

func (m *calmCluster) endNode(id core.NodeID, away core.Time) {
	for _, node := range m.Nodes {
		if node.ID == id {
			restart(m.World, node, away)
		}
	}
}

// hangMachinesOfJob stops the machines on which tasks of the job are.
func (m *calmCluster) hangMachinesOfJob(d core.Time) {
	for id, worker := range m.Workers {
		if len(worker.Tasks) > 0 {
			m.Hang(id, d)
		}
	}
}

// TestHungMachineOverShortHolders: the machine of a cancelled job hangs, and no
// holder of its part lives as long as a holder waits for a machine that it has
// just taken over (takenPatience). The job's tasks are gone in time all the same:
// a controller that has known of the cancellation for half of its time, or began
// only after it, returns a machine that leaves its first call unanswered.
func TestHungMachineOverShortHolders(t *testing.T) {
	const tenInTwoMinutes = 5400 * sec / 1000 // of the 12 s for each, detection takes 6.6 s
	for _, site := range []struct {
		report, lease, cancelWithin, life core.Time
	}{
		{2 * sec, 12 * sec, 37 * sec, 2 * sec},
		{3 * sec, 22 * sec, 52 * sec, tenInTwoMinutes},
		{5 * sec, 26500 * sec / 1000, 51500 * sec / 1000, tenInTwoMinutes},
		{5 * sec, 26500 * sec / 1000, 51500 * sec / 1000, 2 * sec},
	} {
		t.Run(fmt.Sprintf("reports each %v, holders live %v", time.Duration(site.report), time.Duration(site.life)), func(t *testing.T) {
			cfg := testConfig()
			cfg.ReportEvery, cfg.Lease, cfg.CancelWithin = site.report, site.lease, site.cancelWithin
			if patience := max(5*sec, 2*site.report); site.life >= patience {
				t.Fatalf("holders live for %v, no shorter than the patience", time.Duration(site.life))
			}
			m := newCalmClusterWith(t, cfg, 1, 2)
			m.hangMachinesOfJob(2 * cfg.CancelWithin)
			m.cancelAt(m.Nodes[1], m.job)
			m.endEachHolder(site.life)
			m.Run(m.job.CancelTold + cfg.CancelWithin)
			if n := m.onMachines(m.job); n > 0 {
				t.Errorf("%d tasks are on machines when the cancellation's time is up", n)
			}
			m.rest(30 * sec)
		})
	}
}

// TestHungInOutage: a cancelled job's machine hangs, and the state service is
// out for longer than cancel_s: the machine is returned without a record.
func TestHungInOutage(t *testing.T) {
	m := newCalmCluster(t, 2)
	for id, l := range m.Workers {
		if len(l.Tasks) > 0 {
			m.Hang(id, 100*sec)
		}
	}
	m.cancelAt(m.Nodes[1], m.job)
	m.Down = m.Now + 80*sec
	if m.onMachines(m.job) == 0 {
		t.Fatal("the tasks are gone before the outage")
	}
	m.rest(120 * sec)
}
