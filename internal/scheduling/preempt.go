package scheduling

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// preemptionBackoff is the minimum time between two preemptions for the same job. It
// leaves time for the preempted tasks to stop and for the job's tasks to be assigned.
const preemptionBackoff = 8 * second

// preemptorKey identifies jobs for which a search is expected to find the same victims. If
// no resources can be freed for one of them, the others are skipped.
type preemptorKey struct {
	class, team string
	guaranteed  bool // whether the job is within the team's guaranteed quota
}

// preemption is one search for tasks to preempt for a shard's pending jobs.
type preemption struct {
	*round
	machines         []*state.Machine // machines with preemptible tasks
	failedPreemptors map[preemptorKey]bool
}

// preempt stops checkpointable tasks to free resources for jobs with pending tasks. An
// urgent job preempts tasks of jobs with a lower priority. A job within its team's
// guaranteed quota preempts tasks of jobs beyond the guaranteed quotas of other teams. Such
// victims normally rank after the preempting job, so that they are not assigned to the freed
// resources again and preempted repeatedly.
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

// mayPreempt reports whether tasks may be preempted for a job now.
func (p *preemption) mayPreempt(job *state.Job) bool {
	return job.PendingCount() > 0 &&
		(job.EffectivePriority >= cluster.Urgent || p.guaranteed[job]) &&
		p.shared.loop.Now() >= job.PreemptionBackoffUntil
}

// preemptibleMachines returns a shard's schedulable machines with checkpointable tasks.
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

// preemptFor stops tasks to free resources for a job. If the team's quota doesn't allow one
// more task, it frees quota instead by stopping tasks of the same team, provided that the
// job is urgent. It returns false, which ends the search, if the quota allows some of the
// job's pending tasks but is used up before all of them fit.
func (p *preemption) preemptFor(job *state.Job, key preemptorKey) bool {
	request := job.Spec.ResourceRequest
	quotaLeft := p.shared.state.Teams[job.Spec.Team].QuotaLimit.Minus(p.usage[job.Spec.Team])
	if !isWithinQuota(request, quotaLeft) {
		if job.EffectivePriority >= cluster.Urgent {
			p.preemptWithinTeam(job, quotaLeft)
		}
		return true
	}
	fitting := 0 // number of the job's tasks that fit so far
	for _, machine := range p.machines {
		if !p.Eligibility.IsAllowedOn(job, machine) || !p.Eligibility.satisfiesColocation(job, machine.Zone) {
			continue
		}
		if !p.shared.recordCanHaveRoom(job, machine) {
			continue
		}
		victims, free := p.selectVictims(job, machine)
		if !free.Fits(request) {
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
		job.PreemptionBackoffUntil = p.shared.loop.Now() + preemptionBackoff
	}
	return true
}

// fitWithinQuota returns how many tasks with a request fit on a machine, up to limit, and
// subtracts their requests from quotaLeft. withinQuota is false, and quotaLeft negative, if
// the quota allows fewer of them.
func fitWithinQuota(request cluster.Resources, free cluster.Allocatable, limit int, quotaLeft *cluster.Resources) (count int, withinQuota bool) {
	for count < limit && free.Fits(request) {
		*quotaLeft = quotaLeft.Minus(request)
		if quotaLeft.CPU < 0 || quotaLeft.GPU < 0 {
			return count, false
		}
		free = free.Minus(request, 1)
		count++
	}
	return count, true
}

// selectVictims returns the tasks to stop on a machine so that one task of a job fits. free
// is what will be available once these tasks and those already stopping have stopped; it
// may be too little for the task.
func (p *preemption) selectVictims(job *state.Job, machine *state.Machine) (victims []*state.Assignment, free cluster.Allocatable) {
	free = p.shared.allocatable(machine)
	for _, assignment := range machine.SortedAssignments() {
		if free.Fits(job.Spec.ResourceRequest) {
			break
		}
		if !assignment.IsCheckpointable() || !p.isPreemptibleFor(assignment.Job, job) {
			continue
		}
		if !assignment.StopRequested { // otherwise the task is already stopping
			victims = append(victims, assignment)
		}
		free = free.Plus(assignment.ResourceRequest)
	}
	return victims, free
}

// isPreemptibleFor reports whether tasks of victim may be preempted for job. Either job is
// urgent and has a higher priority than victim, or job is within its team's guaranteed
// quota, victim is beyond the guaranteed quota of another team, and that team uses more CPUs
// than the quota. In the second case, victim must not be an urgent job of a higher priority.
// Jobs that are exempt from preemption are never victims.
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

// preemptWithinTeam frees quota for an urgent job by preempting checkpointable tasks of the
// same team that have a lower priority.
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
				job.PreemptionBackoffUntil = p.shared.loop.Now() + preemptionBackoff
			}
		}
	}
}

// isPreemptibleWithinTeam reports whether tasks of victim may be preempted for job to
// free quota of their common team.
func (p *preemption) isPreemptibleWithinTeam(victim, job *state.Job) bool {
	return victim.Spec.Team == job.Spec.Team && victim.EffectivePriority < job.EffectivePriority && !p.Queue.isPreemptionExempt(victim)
}
