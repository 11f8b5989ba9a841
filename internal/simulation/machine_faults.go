package simulation

import (
	"stairrelay/internal/cluster"
)

// Hang makes a machine stand still for a while.
func (m *Machines) Hang(id cluster.MachineID, duration cluster.Time) {
	if worker := m.Workers[id]; worker != nil {
		worker.hungUntil = m.Now + duration
	}
}

// Partition partitions a machine's network for a while.
func (m *Machines) Partition(id cluster.MachineID, duration cluster.Time) {
	if worker := m.Workers[id]; worker != nil {
		worker.partitionedUntil = m.Now + duration
	}
}

// PartitionZone partitions the network of all machines of a zone for a while.
func (m *Machines) PartitionZone(zone string, duration cluster.Time) {
	for _, id := range m.liveIDs() {
		if m.Workers[id].Zone == zone {
			m.Partition(id, duration)
		}
	}
}

// MakeUnreachable makes a machine one whose heartbeats arrive while nothing
// reaches it.
func (m *Machines) MakeUnreachable(id cluster.MachineID, duration cluster.Time) {
	if worker := m.Workers[id]; worker != nil {
		worker.unreachableUntil = m.Now + duration
	}
}

// BlockHeartbeats blocks a machine's way to the controllers, but not theirs to it.
func (m *Machines) BlockHeartbeats(id cluster.MachineID, duration cluster.Time) {
	if worker := m.Workers[id]; worker != nil {
		worker.heartbeatsBlockedUntil = m.Now + duration
	}
}

// DuplicateHeartbeat delivers a copy of a machine's present heartbeat later.
func (m *Machines) DuplicateHeartbeat(id cluster.MachineID, delay cluster.Time) {
	if worker := m.live(id); worker != nil {
		m.heartbeats.deliverDuplicate(worker.NextStatus(), delay)
	}
}

// RemoveEveryNth ends every n-th machine, with all that is on it.
func (m *Machines) RemoveEveryNth(n int) {
	for i, id := range m.liveIDs() {
		if i%n == 0 {
			m.Remove(id)
		}
	}
}

// MakeFaulty makes some machines fail every task that they start.
func (m *Machines) MakeFaulty(count int, duration cluster.Time) {
	for range count {
		if worker := m.Workers[m.Random()]; worker != nil {
			worker.FaultyUntil = m.Now + duration
		}
	}
}

// Reboot ends a worker that is back at once: its tasks are gone, and its next
// incarnation begins.
func (m *Machines) Reboot(id cluster.MachineID) {
	worker := m.live(id)
	if worker == nil {
		return
	}
	worker.leaseRenewedAt = -worker.LeaseDuration // so long ago that the lease has expired
	worker.Advance(m.Now)
	m.heartbeats.schedule(worker)
}

// Preempt has the cloud give a spot machine a notice, and then take it.
func (m *Machines) Preempt(id cluster.MachineID, notice cluster.Time) {
	worker := m.live(id)
	if worker == nil || !worker.Spot {
		return
	}
	worker.PreemptionNotice = float64(notice) / float64(second)
	m.heartbeats.schedule(worker)
	m.After(notice, func() { m.Remove(id) })
}

// EnableFastBoots brings new machines up within 1 to 2 s for a while.
func (m *Machines) EnableFastBoots(duration cluster.Time) { m.fastBootsUntil = m.Now + duration }

// HasFastBoots tells whether a machine that is provisioned now is up within 1 to
// 2 s.
func (m *Machines) HasFastBoots() bool {
	if m.Now >= m.fastBootsUntil {
		return false
	}
	m.FaultCounts[FaultFastBoot]++
	return true
}
