package scheduling

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// preemptionBackoff is how long a job waits for the room that was made for it before
// more is made.
const preemptionBackoff = 8 * second

// preemptorClass is what jobs have in common whose preemptions are decided alike.
type preemptorKey struct {
	class, team string
	guaranteed  bool // within the team's guaranteed quota
}

// preemption is one search for tasks that have to give way to a shard's pending jobs.
type preemption struct {
	*round
	machines         []*state.Machine // with tasks that could give way
	failedPreemptors map[preemptorKey]bool
}

// preempt stops less important tasks that can save a checkpoint when an urgent job
// found no room, and what other teams borrow when a team lacks its guaranteed quota.
// The preempting job must rank before its victim: else the room would go to the
// victim again, for ever.
func (r *round) preempt() {
	p := &preemption{round: r, machines: r.preemptibleMachines(), failedPreemptors: map[preemptorKey]bool{}}
	if len(p.machines) == 0 {
		return
	}
	for _, job := range r.jobs {
		key := preemptorKey{job.Spec.Class, job.Spec.Team, r.guaranteed[job]}
		if !p.mayPreempt(job) || p.failedPreemptors[key] {
			continue
		}
		if !p.preemptFor(job, key) {
			return
		}
	}
}

// mayPreempt tells whether other tasks may be preempted for a job now.
func (p *preemption) mayPreempt(job *state.Job) bool {
	return job.PendingCount() > 0 &&
		(job.EffectivePriority >= cluster.Urgent || p.guaranteed[job]) &&
		p.shared.loop.Now() >= job.NextPreemptionAt
}

// preemptibleMachines lists a shard's machines with tasks that could give way.
func (r *round) preemptibleMachines() []*state.Machine {
	var machines []*state.Machine
	r.shared.deps.CountMachineScans(r.shard.Machines)
	for _, machine := range r.shard.Machines {
		if r.Eligibility.IsSchedulable(machine) && machine.HasCheckpointableTask() {
			machines = append(machines, machine)
		}
	}
	return machines
}

// preemptFor makes room for a job; false: its team's quota is used up, and nothing
// more is preempted now.
func (p *preemption) preemptFor(job *state.Job, key preemptorKey) bool {
	request := job.Spec.ResourceRequest
	quotaLeft := p.shared.state.Teams[job.Spec.Team].QuotaLimit.Minus(p.usage[job.Spec.Team])
	if !isWithinQuota(request, quotaLeft) {
		if job.EffectivePriority >= cluster.Urgent {
			p.preemptWithinTeam(job, quotaLeft)
		}
		return true
	}
	fitting := 0 // tasks of the job that fit by now
	for _, machine := range p.machines {
		if !p.Eligibility.IsAllowedOn(job, machine) || !p.Eligibility.satisfiesColocation(job, machine.Zone) {
			continue
		}
		victims, free := p.selectVictims(job, machine)
		if !request.FitsIn(free) {
			continue
		}
		added, withinQuota := fitWithinQuota(request, free, job.PendingCount()-fitting, &quotaLeft)
		if !withinQuota {
			return false
		}
		fitting += added
		for _, victim := range victims {
			p.shared.deps.Stops.Preempt(machine, victim)
		}
		if fitting >= job.PendingCount() {
			break
		}
	}
	if p.failedPreemptors[key] = fitting == 0; fitting > 0 {
		job.NextPreemptionAt = p.shared.loop.Now() + preemptionBackoff
	}
	return true
}

// takeFitting counts how many times a request fits into the free resources of a
// machine, up to a limit, and takes as much from what is left of the quota; false: that
// is less.
func fitWithinQuota(request, free cluster.Resources, limit int, quotaLeft *cluster.Resources) (count int, withinQuota bool) {
	for count < limit && request.FitsIn(free) {
		*quotaLeft = quotaLeft.Minus(request)
		if quotaLeft.CPU < 0 || quotaLeft.GPU < 0 {
			return count, false
		}
		free = free.Minus(request)
		count++
	}
	return count, true
}

// selectVictims picks the tasks on a machine that have to stop so that a job's task
// fits, and returns what is free then.
func (p *preemption) selectVictims(job *state.Job, machine *state.Machine) (victims []*state.Assignment, free cluster.Resources) {
	free = p.shared.freeResources(machine)
	for _, assignment := range machine.SortedAssignments() {
		if job.Spec.ResourceRequest.FitsIn(free) {
			break
		}
		if !assignment.IsCheckpointable() || !p.isPreemptibleFor(assignment.Job, job) {
			continue
		}
		if !assignment.StopRequested { // else it is stopping already
			victims = append(victims, assignment)
		}
		free = free.Plus(assignment.ResourceRequest)
	}
	return victims, free
}

// isPreemptibleFor tells whether a job's task may be stopped for another job: for a
// more important urgent one, or, if it is beyond its own team's guaranteed quota, for
// one within its team's.
func (p *preemption) isPreemptibleFor(victim, job *state.Job) bool {
	if p.Queue.isPreemptionExempt(victim) {
		return false
	}
	if job.EffectivePriority >= cluster.Urgent && victim.EffectivePriority < job.EffectivePriority {
		return true
	}
	team := p.shared.state.Teams[victim.Spec.Team]
	return p.guaranteed[job] && !p.guaranteed[victim] && victim.Spec.Team != job.Spec.Team &&
		(victim.EffectivePriority < cluster.Urgent || victim.EffectivePriority <= job.EffectivePriority) &&
		p.usage[team.Name].CPU > team.GuaranteedQuota.CPU
}

// preemptWithinTeam makes room under a team's quota: its own less important tasks
// that can save a checkpoint give way.
func (p *preemption) preemptWithinTeam(job *state.Job, quotaLeft cluster.Resources) {
	pending := cluster.Amount(job.PendingCount())
	need := cluster.Resources{CPU: job.Spec.ResourceRequest.CPU * pending, GPU: job.Spec.ResourceRequest.GPU * pending}
	for _, machine := range p.machines {
		if !p.Eligibility.IsAllowedOn(job, machine) {
			continue
		}
		for _, assignment := range machine.SortedAssignments() {
			if isWithinQuota(need, quotaLeft) {
				return
			}
			if !assignment.IsCheckpointable() || !p.isPreemptibleWithinTeam(assignment.Job, job) {
				continue
			}
			quotaLeft = quotaLeft.Plus(assignment.ResourceRequest)
			if !assignment.StopRequested {
				p.shared.deps.Stops.Preempt(machine, assignment)
				job.NextPreemptionAt = p.shared.loop.Now() + preemptionBackoff
			}
		}
	}
}

// givesWayWithinTeam tells whether a job's task may be stopped for another job of the
// same team.
func (p *preemption) isPreemptibleWithinTeam(victim, job *state.Job) bool {
	return victim.Spec.Team == job.Spec.Team && victim.EffectivePriority < job.EffectivePriority && !p.Queue.isPreemptionExempt(victim)
}
