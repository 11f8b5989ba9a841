package core_test

import (
	"testing"

	"stairrelay/internal/core"
)

// TestAllAwayLongerThanLease: all controllers are away for longer than a lease.
// The tasks are lost with it; none runs twice, and the job gets done.
func TestAllAwayLongerThanLease(t *testing.T) {
	m := newCalmCluster(t, 2)
	other := m.submit("j-000002", 2, 20*sec)
	m.Run(m.Now + 3*sec)
	for _, n := range m.Nodes {
		m.Kill(n)
	}
	m.Run(m.Now + m.cfg.Lease + 5*sec)
	if n := m.onMachines(m.job); n != 0 {
		t.Fatalf("%d tasks outlive their lease", n)
	}
	for i, n := range m.Nodes {
		m.After(core.Time(i)*sec/5, func() { m.Boot(n) })
	}
	m.rest(90 * sec)
	if other.Told != core.StDone || m.onMachines(m.job) != 3 {
		t.Errorf("the short job is %s, %d of the long one's 3 tasks run", other.Told, m.onMachines(m.job))
	}
}
