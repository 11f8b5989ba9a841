package controller

import (
	"stairrelay/internal/cluster"
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
	guaranteed        map[*job]bool // within their teams' guarantees
	teamUsage         teamUsage
	candidateMachines []*machine // with work that could give way
	failedClasses     map[equivalenceClass]bool
}

// preempt stops less important tasks that can save when an urgent job found no
// room, and what another team borrows when a team lacks its guarantee. The
// preempting job must rank before its victim: else the room would go to the
// victim again, for ever.
func (c *Controller) preempt(p *shard, jobs []*job, owed map[*job]bool, use teamUsage) {
	e := &preemption{controller: c, guaranteed: owed, teamUsage: use, candidateMachines: c.preemptibleMachines(p), failedClasses: map[equivalenceClass]bool{}}
	if len(e.candidateMachines) == 0 {
		return
	}
	for _, j := range jobs {
		like := equivalenceClass{j.spec.Class, j.spec.Team, owed[j]}
		if j.pendingCount() == 0 || j.effectivePriority < cluster.Urgent && !owed[j] || c.loop.Now() < j.nextPreemptionAt || e.failedClasses[like] {
			continue
		}
		if !e.preemptFor(j, like) {
			return
		}
	}
}

// preemptibleMachines lists a part's machines with work that could give way.
func (c *Controller) preemptibleMachines(p *shard) []*machine {
	var machines []*machine
	c.counters.addMachineScans(p.machines)
	for _, m := range p.machines {
		if c.isSchedulable(m) && m.hasCheckpointableTask() {
			machines = append(machines, m)
		}
	}
	return machines
}

// preemptFor makes room for a job; false: its team's limit is reached, and
// nothing more is made now.
func (e *preemption) preemptFor(j *job, like equivalenceClass) bool {
	c := e.controller
	room := c.teams[j.spec.Team].QuotaLimit.Minus(e.teamUsage[j.spec.Team])
	if room.CPU < j.spec.ResourceRequest.CPU || room.GPU < j.spec.ResourceRequest.GPU {
		if j.effectivePriority >= cluster.Urgent {
			e.preemptWithinTeam(j, room)
		}
		return true
	}
	made := 0
	for _, m := range e.candidateMachines {
		if !c.isAllowedOn(j, m) || j.spec.Colocate && !isOnlyZone(c.countTasksByZone(j), m.zone) {
			continue
		}
		stop, free := e.selectVictims(j, m)
		if !j.spec.ResourceRequest.FitsIn(free) {
			continue
		}
		for made < j.pendingCount() && j.spec.ResourceRequest.FitsIn(free) {
			room = room.Minus(j.spec.ResourceRequest)
			if room.CPU < 0 || room.GPU < 0 {
				return false
			}
			free = free.Minus(j.spec.ResourceRequest)
			made++
		}
		for _, a := range stop {
			c.stopTask(m, a, a.job.spec.SaveSeconds+1)
		}
		if made >= j.pendingCount() {
			break
		}
	}
	if e.failedClasses[like] = made == 0; made > 0 {
		j.nextPreemptionAt = c.loop.Now() + preemptionBackoff
	}
	return true
}

// selectVictims picks the tasks on a machine that have to stop so that a job's task
// fits, and returns what is free then.
func (e *preemption) selectVictims(j *job, m *machine) (stop []*assignment, free cluster.Resources) {
	free = e.controller.machineTypes[m.machineType].Capacity.Minus(m.usedResources())
	for _, a := range m.sortedAssignments() {
		if j.spec.ResourceRequest.FitsIn(free) {
			break
		}
		if !a.isCheckpointable() || !e.isPreemptibleFor(a.job, j) {
			continue
		}
		if !a.stopRequested { // else it is on its way out already
			stop = append(stop, a)
		}
		free = free.Plus(a.resourceRequest)
	}
	return stop, free
}

// isPreemptibleFor tells whether a job's task may be stopped for another job: for a
// more important urgent one, or, if it is beyond its own team's guarantee, for
// one within its team's.
func (e *preemption) isPreemptibleFor(victim, j *job) bool {
	if e.controller.isPreemptionExempt(victim) {
		return false
	}
	if j.effectivePriority >= cluster.Urgent && victim.effectivePriority < j.effectivePriority {
		return true
	}
	t := e.controller.teams[victim.spec.Team]
	return e.guaranteed[j] && !e.guaranteed[victim] && victim.spec.Team != j.spec.Team &&
		(victim.effectivePriority < cluster.Urgent || victim.effectivePriority <= j.effectivePriority) &&
		e.teamUsage[t.Name].CPU > t.GuaranteedQuota.CPU
}

// preemptWithinTeam makes room under a team's limit: its own less important work that
// can save gives way.
func (e *preemption) preemptWithinTeam(j *job, room cluster.Resources) {
	c := e.controller
	need := cluster.Resources{CPU: j.spec.ResourceRequest.CPU * cluster.Amount(j.pendingCount()), GPU: j.spec.ResourceRequest.GPU * cluster.Amount(j.pendingCount())}
	for _, m := range e.candidateMachines {
		if !c.isAllowedOn(j, m) {
			continue
		}
		for _, a := range m.sortedAssignments() {
			if need.CPU <= room.CPU && need.GPU <= room.GPU {
				return
			}
			if !a.isCheckpointable() || a.job.spec.Team != j.spec.Team || a.job.effectivePriority >= j.effectivePriority || c.isPreemptionExempt(a.job) {
				continue
			}
			room = room.Plus(a.resourceRequest)
			if !a.stopRequested {
				c.stopTask(m, a, a.job.spec.SaveSeconds+1)
				j.nextPreemptionAt = c.loop.Now() + preemptionBackoff
			}
		}
	}
}
