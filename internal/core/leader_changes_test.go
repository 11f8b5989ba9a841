package core_test

import (
	"testing"
	"time"

	"stairrelay/internal/core"
)

// TestTenLeaders: whoever holds the part ends, ten times in two minutes, also
// inside an outage of the state service; a job is cancelled in between.
func TestTenLeaders(t *testing.T) {
	m := newCalmCluster(t, 3)
	other := m.submit("j-000002", 2, 200*sec)
	begun, ended := m.Now, map[core.NodeID]int{}
	for i := range 10 {
		m.After(core.Time(i)*12*sec, func() {
			for _, n := range m.Nodes {
				if n.ID == m.holder() {
					ended[n.ID]++
					restart(m.World, n, 9*sec) // long enough for another to succeed it
				}
			}
		})
	}
	m.After(40*sec, func() { m.Down = m.Now + 30*sec })
	m.After(38*sec, func() { m.Cancel(m.job) })
	m.rest(120 * sec)
	if len(ended) < 2 || m.job.Told != core.StCancelled || m.job.CancelTold-begun > 90*sec {
		t.Errorf("ended %v, the job is %s since %v", ended, m.job.Told, time.Duration(m.job.CancelTold-begun))
	}
	m.rest(300 * sec)
	if other.Told != core.StDone {
		t.Errorf("the other job is %s", other.Told)
	}
}
