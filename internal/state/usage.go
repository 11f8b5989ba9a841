package state

import (
	"maps"

	"stairrelay/internal/cluster"
)

// Usage is updated whenever a task starts or stops being live, because scheduling reads
// it many times a second and there may be thousands of tasks.
//
// A task counts while it is live on a machine of an owned shard: from its assignment until
// it has ended or is proven not to be on the machine.

// TeamUsage is the resources used by each team's live tasks on the machines of a shard.
type TeamUsage map[string]cluster.Resources

// UsageByTeam returns a copy of the resource usage of each team on the shard's machines.
func (i *ShardInventory) UsageByTeam() TeamUsage { return maps.Clone(i.Usage) }

// MachineUsage is the number and the resource usage of a machine's live tasks.
type MachineUsage struct {
	TaskCount int
	Resources cluster.Resources
	ByTeam    TeamUsage // shared by all machines of the shard
}

// Add counts a task if it is live and not counted yet.
func (u *MachineUsage) Add(a *Assignment) {
	if a.CountedInUsage || !a.IsLive() {
		return
	}
	a.CountedInUsage = true
	u.TaskCount++
	u.Resources = u.Resources.Plus(a.ResourceRequest)
	u.ByTeam[a.Job.Spec.Team] = u.ByTeam[a.Job.Spec.Team].Plus(a.ResourceRequest)
}

// Remove stops counting a task that is no longer live or whose machine is removed.
func (u *MachineUsage) Remove(a *Assignment) {
	if !a.CountedInUsage {
		return
	}
	a.CountedInUsage = false
	u.TaskCount--
	u.Resources = u.Resources.Minus(a.ResourceRequest)
	u.ByTeam[a.Job.Spec.Team] = u.ByTeam[a.Job.Spec.Team].Minus(a.ResourceRequest)
}

// MarkConfirmedAbsent records that a task is proven not to be on the machine.
func (m *Machine) MarkConfirmedAbsent(a *Assignment) {
	a.ConfirmedAbsent = true
	m.Usage.Remove(a)
}

// MarkEnded records that a task has ended on the machine.
func (m *Machine) MarkEnded(a *Assignment, cause cluster.Cause) {
	a.Phase, a.Cause = PhaseEnded, cause
	m.Usage.Remove(a)
}

// UsedResources returns the resources used by the machine's live tasks.
func (m *Machine) UsedResources() cluster.Resources { return m.Usage.Resources }

// LiveTaskCount returns the number of the machine's live tasks.
func (m *Machine) LiveTaskCount() int { return m.Usage.TaskCount }
