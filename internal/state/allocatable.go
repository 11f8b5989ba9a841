package state

import "stairrelay/internal/cluster"

// ListableTaskCount returns an upper bound of the number of attempts that the worker's next
// heartbeat lists once all assigned tasks were started. Attempts that have ended count until
// a status no longer lists them.
func (m *Machine) ListableTaskCount() int {
	return len(m.Assignments) + len(m.EndedToAcknowledge) + len(m.UnrecordedToStop) + m.UntrackedTaskCount
}

// MaxTasks returns how many attempts the worker's heartbeats can list.
func (m *Machine) MaxTasks() int { return cluster.MaxTasksPerHeartbeat(m.FieldOverhead) }

// Allocatable returns what further tasks can use on the machine. capacity is that of the
// machine's type.
func (m *Machine) Allocatable(capacity cluster.Resources) cluster.Allocatable {
	return cluster.Allocatable{
		Resources: capacity.Minus(m.UsedResources()),
		Tasks:     m.MaxTasks() - m.ListableTaskCount(),
	}
}
