package controller

import "stairrelay/internal/cluster"

// Sums of what tasks take, kept up to date as tasks come and go: placement asks
// for them many times a second, and there may be thousands of tasks.
//
// A task counts while it is live on a machine held here: from when it is listed
// there until a report shows that it has ended or that it is gone.

// teamUsage sums what each team's live tasks take on the machines of a part.
type teamUsage map[string]cluster.Resources

// machineUsage sums what the live tasks of a machine take.
type machineUsage struct {
	taskCount int
	resources cluster.Resources
	byTeam    teamUsage // of the machine's part
}

// add takes in a task that has become live.
func (u *machineUsage) add(a *assignment) {
	if a.countedInUsage || !a.isLive() {
		return
	}
	a.countedInUsage = true
	u.taskCount++
	u.resources = u.resources.Plus(a.resourceRequest)
	u.byTeam[a.job.spec.Team] = u.byTeam[a.job.spec.Team].Plus(a.resourceRequest)
}

// remove leaves out a task that is not live any more, or whose machine goes.
func (u *machineUsage) remove(a *assignment) {
	if !a.countedInUsage {
		return
	}
	a.countedInUsage = false
	u.taskCount--
	u.resources = u.resources.Minus(a.resourceRequest)
	u.byTeam[a.job.spec.Team] = u.byTeam[a.job.spec.Team].Minus(a.resourceRequest)
}

// markConfirmedAbsent notes that a task is proven not to be on the machine.
func (m *machine) markConfirmedAbsent(a *assignment) {
	a.confirmedAbsent = true
	m.usage.remove(a)
}

// markEnded notes that a task has ended on the machine.
func (m *machine) markEnded(a *assignment, cause cluster.Cause) {
	a.phase, a.cause = phaseEnded, cause
	m.usage.remove(a)
}

// usedResources is what the machine's live tasks take.
func (m *machine) usedResources() cluster.Resources { return m.usage.resources }

// liveTaskCount counts them.
func (m *machine) liveTaskCount() int { return m.usage.taskCount }
