package core_test

import (
	"testing"

	"stairrelay/internal/core"
)

// cutZone cuts a zone with all the machines and one controller off from the other
// controllers and from the state service, until a time. The machines go on
// reporting to the controller inside.
func (m *calmCluster) cutZone(inside core.NodeID, until core.Time) {
	for _, node := range m.Nodes {
		if node.ID == inside {
			node.StoreCut, node.PeerCut = until, until
		} else {
			node.WorkerCut = until
		}
	}
}

// TestZoneCutWhileCloudIsOut: a zone with all the machines and the controller
// that holds their part is cut off for longer than a lease, and the cloud is out,
// so that the controller outside which claims the part and confirms a
// cancellation can neither reach the machines nor return them. Only the
// controller inside can end the cancelled tasks: by no longer answering their
// machines, though it can't know of the cancellation.
func TestZoneCutWhileCloudIsOut(t *testing.T) {
	m := newCalmCluster(t, 2)
	inside, outside := m.Nodes[1], m.Nodes[2]
	healed := m.Now + 2*m.cfg.CancelWithin
	m.cutZone(inside.ID, healed)
	m.CloudDn = healed
	m.until("claimed outside", 30*sec, func() bool { return m.holder() == outside.ID })
	m.cancelAt(outside, m.job)
	if m.onMachines(m.job) == 0 {
		t.Fatal("the tasks are gone before the cancellation")
	}
	m.rest(2*m.cfg.CancelWithin + 30*sec)
}

// TestZoneCutLongerThanLease: a zone with all the workers and one controller is
// cut off for longer than a lease; the controller there goes on answering them.
// Another claims its part and confirms a cancellation, and can't reach a machine.
func TestZoneCutLongerThanLease(t *testing.T) {
	m := newCalmCluster(t, 2)
	inside := m.Nodes[1]
	until := m.Now + 6*m.cfg.Lease
	inside.StoreCut, inside.PeerCut = until, until
	for _, n := range m.Nodes {
		if n != inside {
			n.WorkerCut = until
		}
	}
	m.until("claimed outside", 30*sec, func() bool { return m.holder() != inside.ID })
	outside := m.Nodes[2]
	if m.holder() != outside.ID {
		t.Fatalf("claimed by %s", m.holder())
	}
	m.cancelAt(outside, m.job)
	if m.onMachines(m.job) == 0 {
		t.Fatal("the tasks are gone before the cancellation")
	}
	m.rest(m.cfg.CancelWithin + 30*sec)
}
