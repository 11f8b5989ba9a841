package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// Preemption: less important work is stopped to make room.

// preemptionBackoff is how long a job waits for the room that was made for it before
// more is made.
const preemptionBackoff = 8 * second

// equivalenceClass are decided alike.
type equivalenceClass struct {
	class, team string
	guaranteed  bool // within the team's guarantee
}

// preemption is one look for work that has to give way to a part's waiting jobs.
type preemption struct {
	controller        *Controller
	guaranteed        map[*state.Job]bool // within their teams' guarantees
	teamUsage         state.TeamUsage
	candidateMachines []*state.Machine // with work that could give way
	failedClasses     map[equivalenceClass]bool
}

// preempt stops less important tasks that can save when an urgent job found no
// room, and what another team borrows when a team lacks its guarantee. The
// preempting job must rank before its victim: else the room would go to the
// victim again, for ever.
func (c *Controller) preempt(p *state.Shard, jobs []*state.Job, owed map[*state.Job]bool, use state.TeamUsage) {
	e := &preemption{controller: c, guaranteed: owed, teamUsage: use, candidateMachines: c.preemptibleMachines(p), failedClasses: map[equivalenceClass]bool{}}
	if len(e.candidateMachines) == 0 {
		return
	}
	for _, j := range jobs {
		like := equivalenceClass{j.Spec.Class, j.Spec.Team, owed[j]}
		if j.PendingCount() == 0 || j.EffectivePriority < cluster.Urgent && !owed[j] || c.loop.Now() < j.NextPreemptionAt || e.failedClasses[like] {
			continue
		}
		if !e.preemptFor(j, like) {
			return
		}
	}
}

// preemptibleMachines lists a part's machines with work that could give way.
func (c *Controller) preemptibleMachines(p *state.Shard) []*state.Machine {
	var machines []*state.Machine
	c.counters.AddMachineScans(p.Machines)
	for _, m := range p.Machines {
		if c.isSchedulable(m) && m.HasCheckpointableTask() {
			machines = append(machines, m)
		}
	}
	return machines
}

// preemptFor makes room for a job; false: its team's limit is reached, and
// nothing more is made now.
func (e *preemption) preemptFor(j *state.Job, like equivalenceClass) bool {
	c := e.controller
	room := c.state.Teams[j.Spec.Team].QuotaLimit.Minus(e.teamUsage[j.Spec.Team])
	if room.CPU < j.Spec.ResourceRequest.CPU || room.GPU < j.Spec.ResourceRequest.GPU {
		if j.EffectivePriority >= cluster.Urgent {
			e.preemptWithinTeam(j, room)
		}
		return true
	}
	made := 0
	for _, m := range e.candidateMachines {
		if !c.isAllowedOn(j, m) || j.Spec.Colocate && !isOnlyZone(c.countTasksByZone(j), m.Zone) {
			continue
		}
		stop, free := e.selectVictims(j, m)
		if !j.Spec.ResourceRequest.FitsIn(free) {
			continue
		}
		for made < j.PendingCount() && j.Spec.ResourceRequest.FitsIn(free) {
			room = room.Minus(j.Spec.ResourceRequest)
			if room.CPU < 0 || room.GPU < 0 {
				return false
			}
			free = free.Minus(j.Spec.ResourceRequest)
			made++
		}
		for _, a := range stop {
			c.reconciler.Stops.Preempt(m, a)
		}
		if made >= j.PendingCount() {
			break
		}
	}
	if e.failedClasses[like] = made == 0; made > 0 {
		j.NextPreemptionAt = c.loop.Now() + preemptionBackoff
	}
	return true
}

// selectVictims picks the tasks on a machine that have to stop so that a job's task
// fits, and returns what is free then.
func (e *preemption) selectVictims(j *state.Job, m *state.Machine) (stop []*state.Assignment, free cluster.Resources) {
	free = e.controller.state.MachineTypes[m.MachineType].Capacity.Minus(m.UsedResources())
	for _, a := range m.SortedAssignments() {
		if j.Spec.ResourceRequest.FitsIn(free) {
			break
		}
		if !a.IsCheckpointable() || !e.isPreemptibleFor(a.Job, j) {
			continue
		}
		if !a.StopRequested { // else it is on its way out already
			stop = append(stop, a)
		}
		free = free.Plus(a.ResourceRequest)
	}
	return stop, free
}

// isPreemptibleFor tells whether a job's task may be stopped for another job: for a
// more important urgent one, or, if it is beyond its own team's guarantee, for
// one within its team's.
func (e *preemption) isPreemptibleFor(victim, j *state.Job) bool {
	if e.controller.isPreemptionExempt(victim) {
		return false
	}
	if j.EffectivePriority >= cluster.Urgent && victim.EffectivePriority < j.EffectivePriority {
		return true
	}
	t := e.controller.state.Teams[victim.Spec.Team]
	return e.guaranteed[j] && !e.guaranteed[victim] && victim.Spec.Team != j.Spec.Team &&
		(victim.EffectivePriority < cluster.Urgent || victim.EffectivePriority <= j.EffectivePriority) &&
		e.teamUsage[t.Name].CPU > t.GuaranteedQuota.CPU
}

// preemptWithinTeam makes room under a team's limit: its own less important work that
// can save gives way.
func (e *preemption) preemptWithinTeam(j *state.Job, room cluster.Resources) {
	c := e.controller
	need := cluster.Resources{CPU: j.Spec.ResourceRequest.CPU * cluster.Amount(j.PendingCount()), GPU: j.Spec.ResourceRequest.GPU * cluster.Amount(j.PendingCount())}
	for _, m := range e.candidateMachines {
		if !c.isAllowedOn(j, m) {
			continue
		}
		for _, a := range m.SortedAssignments() {
			if need.CPU <= room.CPU && need.GPU <= room.GPU {
				return
			}
			if !a.IsCheckpointable() || a.Job.Spec.Team != j.Spec.Team || a.Job.EffectivePriority >= j.EffectivePriority || c.isPreemptionExempt(a.Job) {
				continue
			}
			room = room.Plus(a.ResourceRequest)
			if !a.StopRequested {
				c.reconciler.Stops.Preempt(m, a)
				j.NextPreemptionAt = c.loop.Now() + preemptionBackoff
			}
		}
	}
}
