package simulation

import (
	"stairrelay/internal/cluster"
)

// Hang makes a machine hang for a duration.
func (m *Machines) Hang(id cluster.MachineID, duration cluster.Time) {
	if worker := m.Workers[id]; worker != nil {
		worker.hungUntil = m.Now + duration
	}
}

// Partition disconnects a machine from the network for a duration.
func (m *Machines) Partition(id cluster.MachineID, duration cluster.Time) {
	if worker := m.Workers[id]; worker != nil {
		worker.partitionedUntil = m.Now + duration
	}
}

// PartitionZone disconnects all machines in a zone from the network for a duration.
func (m *Machines) PartitionZone(zone string, duration cluster.Time) {
	for _, id := range m.liveIDs() {
		if m.Workers[id].Zone == zone {
			m.Partition(id, duration)
		}
	}
}

// MakeUnreachable makes a machine unreachable for a duration. Its heartbeats still
// arrive at the controllers.
func (m *Machines) MakeUnreachable(id cluster.MachineID, duration cluster.Time) {
	if worker := m.Workers[id]; worker != nil {
		worker.unreachableUntil = m.Now + duration
	}
}

// BlockHeartbeats blocks a machine's heartbeats for a duration. Commands still reach
// the machine.
func (m *Machines) BlockHeartbeats(id cluster.MachineID, duration cluster.Time) {
	if worker := m.Workers[id]; worker != nil {
		worker.heartbeatsBlockedUntil = m.Now + duration
	}
}

// DuplicateHeartbeat delivers a heartbeat with a machine's current status to a random
// controller after a delay.
func (m *Machines) DuplicateHeartbeat(id cluster.MachineID, delay cluster.Time) {
	if worker := m.live(id); worker != nil {
		m.heartbeats.deliverDuplicate(worker.NextStatus(), delay)
	}
}

// RemoveEveryNth removes every n-th machine and all tasks on it.
func (m *Machines) RemoveEveryNth(n int) {
	for i, id := range m.liveIDs() {
		if i%n == 0 {
			m.Remove(id)
		}
	}
}

// MakeFaulty makes up to count random machines fail all their tasks for a duration.
func (m *Machines) MakeFaulty(count int, duration cluster.Time) {
	for range count {
		if worker := m.Workers[m.Random()]; worker != nil {
			worker.FaultyUntil = m.Now + duration
		}
	}
}

// Reboot restarts a worker immediately. The worker drops its tasks, begins a new
// incarnation and sends a heartbeat.
func (m *Machines) Reboot(id cluster.MachineID) {
	worker := m.live(id)
	if worker == nil {
		return
	}
	worker.leaseRenewedAt = -worker.LeaseDuration // makes Advance treat the lease as expired
	worker.Advance(m.Now)
	m.heartbeats.schedule(worker)
}

// Preempt gives a spot machine a preemption notice and removes the machine when the notice
// period ends. It does nothing for an on-demand machine.
func (m *Machines) Preempt(id cluster.MachineID, notice cluster.Time) {
	worker := m.live(id)
	if worker == nil || !worker.Spot {
		return
	}
	worker.PreemptionNotice = float64(notice) / float64(second)
	m.heartbeats.schedule(worker)
	m.After(notice, func() { m.Remove(id) })
}

// EnableFastBoots makes machines that are provisioned within a duration boot in 1 to 2 s.
func (m *Machines) EnableFastBoots(duration cluster.Time) { m.fastBootsUntil = m.Now + duration }

// HasFastBoots reports whether a machine that is provisioned now boots in 1 to 2 s, and
// counts the fault if so.
func (m *Machines) HasFastBoots() bool {
	if m.Now >= m.fastBootsUntil {
		return false
	}
	m.FaultCounts[FaultFastBoot]++
	return true
}
