package state

import (
	"maps"

	"stairrelay/internal/cluster"
)

// Sums of what tasks take, kept up to date as tasks come and go: scheduling asks for
// them many times a second, and there may be thousands of tasks.
//
// A task counts while it is live on an owned machine: from when it is listed there
// until a heartbeat shows that it has ended or is absent.

// TeamUsage sums what each team's live tasks take on the machines of a shard.
type TeamUsage map[string]cluster.Resources

// UsageByTeam returns what each team's live tasks take on the machines of the shard. The
// caller may change it.
func (i *ShardInventory) UsageByTeam() TeamUsage { return maps.Clone(i.Usage) }

// MachineUsage sums what the live tasks of a machine take.
type MachineUsage struct {
	TaskCount int
	Resources cluster.Resources
	ByTeam    TeamUsage // of the machine's shard
}

// Add takes in a task that has become live.
func (u *MachineUsage) Add(a *Assignment) {
	if a.CountedInUsage || !a.IsLive() {
		return
	}
	a.CountedInUsage = true
	u.TaskCount++
	u.Resources = u.Resources.Plus(a.ResourceRequest)
	u.ByTeam[a.Job.Spec.Team] = u.ByTeam[a.Job.Spec.Team].Plus(a.ResourceRequest)
}

// Remove leaves out a task that is not live any more, or whose machine goes.
func (u *MachineUsage) Remove(a *Assignment) {
	if !a.CountedInUsage {
		return
	}
	a.CountedInUsage = false
	u.TaskCount--
	u.Resources = u.Resources.Minus(a.ResourceRequest)
	u.ByTeam[a.Job.Spec.Team] = u.ByTeam[a.Job.Spec.Team].Minus(a.ResourceRequest)
}

// MarkConfirmedAbsent notes that a task is proven not to be on the machine.
func (m *Machine) MarkConfirmedAbsent(a *Assignment) {
	a.ConfirmedAbsent = true
	m.Usage.Remove(a)
}

// MarkEnded notes that a task has ended on the machine.
func (m *Machine) MarkEnded(a *Assignment, cause cluster.Cause) {
	a.Phase, a.Cause = PhaseEnded, cause
	m.Usage.Remove(a)
}

// UsedResources is what the machine's live tasks take.
func (m *Machine) UsedResources() cluster.Resources { return m.Usage.Resources }

// LiveTaskCount counts them.
func (m *Machine) LiveTaskCount() int { return m.Usage.TaskCount }
