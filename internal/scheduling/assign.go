package scheduling

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

const (
	// MinInterval is the minimum time between two scheduling runs. Requests that arrive
	// in the meantime are handled by one run.
	MinInterval = 40 * millisecond
	// preemptionInterval is the minimum time between two searches for preemption
	// victims in a shard.
	preemptionInterval = second / 2
	// maxStoreOutage is how long the store may be unavailable before scheduling stops.
	// Assignments can't be stored during an outage.
	maxStoreOutage = second
)

// RunIfRequested runs a scheduling round for each owned shard that is ready if a run was
// requested and the minimum interval since the last run has passed. If it is too early,
// it sets a timer that wakes the loop at the end of the interval.
func (s *Scheduler) RunIfRequested() {
	now := s.shared.loop.Now()
	switch s.Trigger.decide(now) {
	case runNow:
		s.Trigger.begin(now + s.shared.deps.StretchDelay(MinInterval))
		for _, shard := range s.shared.state.Shards {
			if shard.Owned && shard.Ready {
				s.ScheduleShard(shard)
			}
		}
	case runLater:
		s.shared.loop.After(s.Trigger.armTimer(now), s.Trigger.handleTimer)
	case runNone:
	}
}

// round is one scheduling round of a shard.
type round struct {
	*Scheduler
	shard      *state.Shard
	jobs       []*state.Job        // jobs with pending tasks, in queue order
	guaranteed map[*state.Job]bool // jobs within their team's guaranteed quota
	capacities []freeCapacity
	kinds      []grouprecord.Kind // kinds of the machines in capacities
	usage      state.TeamUsage    // includes the tasks assigned in this round
	reserved   state.TeamUsage    // part of each team's quota that is reserved for its starving jobs
}

// ScheduleShard assigns a shard's pending tasks to its machines and, at most once per
// preemptionInterval, preempts running tasks for the tasks that are still pending. It does
// nothing while the store has been unavailable for longer than maxStoreOutage.
func (s *Scheduler) ScheduleShard(shard *state.Shard) {
	if s.shared.deps.Store.IsUnavailableFor(maxStoreOutage) {
		return
	}
	jobs, guaranteed := s.Queue.Jobs(shard)
	if len(jobs) == 0 {
		return
	}
	minCPU := jobs[0].Spec.ResourceRequest.CPU
	for _, job := range jobs {
		minCPU = min(minCPU, job.Spec.ResourceRequest.CPU)
	}
	r := &round{Scheduler: s, shard: shard, jobs: jobs, guaranteed: guaranteed, usage: shard.UsageByTeam(), reserved: state.TeamUsage{}}
	r.capacities, r.kinds = s.listFreeCapacity(shard, minCPU)
	r.assignStarvingJobs()
	for _, job := range jobs {
		if len(r.capacities) > 0 {
			r.assignJob(job, r.reserved[job.Spec.Team], job.PendingCount())
		}
	}
	if now := s.shared.loop.Now(); now >= shard.NextPreemptionAt {
		shard.NextPreemptionAt = now + preemptionInterval
		r.preempt()
	}
}

// assignStarvingJobs assigns one task of each starving job. If the task doesn't fit on a
// machine or into the team's quota yet, assignStarvingJobs reserves a machine and a part of
// the quota for the job. Without a reservation, smaller tasks would keep taking the freed
// resources.
func (r *round) assignStarvingJobs() {
	for _, job := range r.jobs {
		if !r.Queue.isStarving(job) {
			continue
		}
		before := job.AssignedCount
		if r.assignJob(job, cluster.Resources{}, 1); job.AssignedCount > before {
			continue
		}
		r.reserved[job.Spec.Team] = r.reserved[job.Spec.Team].Plus(job.Spec.ResourceRequest)
		if reserved := r.reserveMachine(job); reserved != nil {
			r.capacities = slices.DeleteFunc(r.capacities, func(capacity freeCapacity) bool { return capacity.machine == reserved })
		}
	}
}

// reserveMachine reserves a machine for a starving job and returns it: the one that is
// already reserved for the job, or else the one with the most free CPUs. The result is nil
// if the job may use none of the shard's machines that can get new tasks.
func (r *round) reserveMachine(job *state.Job) *state.Machine {
	var best *state.Machine
	var mostFree cluster.Amount
	r.shared.deps.CountMachineScans(r.shard.Machines)
	for _, machine := range r.shard.Machines {
		if !r.Eligibility.IsSchedulable(machine) || machine.Cordoned || machine.Group.Offer != nil || !r.Eligibility.IsAllowedOn(job, machine) {
			continue
		}
		if machine.ID == job.ReservedMachine {
			return machine
		}
		if !r.shared.recordCanHaveRoom(job, machine) {
			continue
		}
		if free := r.shared.allocatable(machine).UsableCPU(); best == nil || free > mostFree {
			best, mostFree = machine, free
		}
	}
	if best != nil {
		job.ReservedMachine = best.ID
	}
	return best
}

// jobAssigner assigns tasks of one job to machines.
type jobAssigner struct {
	*round
	job         *state.Job
	quota       cluster.Resources // team quota minus what is reserved for starving jobs
	tasksByZone map[string]int    // number of the job's tasks in each zone
	remaining   int               // number of tasks that may still be assigned
}

// assignJob assigns up to limit tasks of a job to the best candidate machines. reserved
// is the part of the team's quota that the job must not use.
func (r *round) assignJob(job *state.Job, reserved cluster.Resources, limit int) {
	allowed := make([]bool, len(r.kinds))
	for i, kind := range r.kinds {
		allowed[i] = r.Eligibility.isKindAllowed(job, kind.Type, kind.Zone, kind.Spot)
	}
	quota := r.shared.state.Teams[job.Spec.Team].QuotaLimit.Minus(reserved)
	assigner := &jobAssigner{round: r, job: job, quota: quota, remaining: limit}
	if !slices.Contains(allowed, true) || !assigner.isWithinQuota() {
		return
	}
	candidates := r.rankCandidates(job, allowed)
	assigner.tasksByZone = r.Eligibility.countTasksByZone(job)
	for _, candidate := range candidates {
		if !assigner.fillMachine(candidate) || assigner.remaining <= 0 || job.PendingCount() == 0 {
			return
		}
	}
}

// isWithinQuota reports whether the team's quota allows one more task of the job.
func (a *jobAssigner) isWithinQuota() bool {
	return isWithinQuota(a.usage[a.job.Spec.Team].Plus(a.job.Spec.ResourceRequest), a.quota)
}

// fillMachine assigns as many tasks of the job to a machine as fit and its constraints
// allow. It returns false if no more tasks of the job can be assigned to any machine,
// because the team's quota is used up or no task is pending.
func (a *jobAssigner) fillMachine(candidate machineCandidate) bool {
	job, machine := a.job, candidate.capacity.machine
	previous := cluster.TaskID{}
	for a.remaining > 0 && job.PendingCount() > 0 && a.hasRoom(candidate.capacity) {
		if !a.isWithinQuota() {
			return false
		}
		index := job.NextPendingTask()
		if index < 0 {
			return false
		}
		task := cluster.TaskID{Job: job.Spec.ID, Index: index}
		// The machine may still list an earlier attempt of the same task.
		if !isZoneAllowed(&job.Spec, a.tasksByZone, machine.Zone) || machine.Assignments[task] != nil {
			return true
		}
		a.assignTask(candidate, task, previous)
		previous = task
	}
	return true
}

// hasRoom reports whether one more task of the job fits on a machine, into its heartbeats and
// into its group's record.
func (a *jobAssigner) hasRoom(capacity *freeCapacity) bool {
	return capacity.available.Fits(a.job.Spec.ResourceRequest) && a.shared.deps.Records.HasRoom(capacity.machine.Group, a.job)
}

// assignTask assigns a task to a machine and queues the write of its group's record.
// previous is the task of the job that was last assigned to the same machine in this
// round, or the zero value.
func (a *jobAssigner) assignTask(candidate machineCandidate, task, previous cluster.TaskID) {
	job, capacity := a.job, candidate.capacity
	machine, request := capacity.machine, job.Spec.ResourceRequest
	assignment := &state.Assignment{Task: task, Job: job, Attempt: a.shard.NextAttempt(), ResourceRequest: request, MachineID: machine.ID}
	machine.AddAssignment(assignment)
	machine.Group.AddedBytes += addedRecordBytes(job, machine, task, previous)
	job.SetAssigned(task.Index, assignment)
	a.tasksByZone[machine.Zone]++
	a.usage[job.Spec.Team] = a.usage[job.Spec.Team].Plus(request)
	capacity.available = capacity.available.Minus(request, 1)
	if candidate.Image == ImageAbsent {
		capacity.addFetch(job)
	}
	a.remaining--
	a.shared.deps.Records.WriteMachine(machine, writequeue.PriorityStart)
}

// addedRecordBytes estimates by how many bytes a task enlarges its group's record. A
// task whose index follows that of the previous task only extends a range.
func addedRecordBytes(job *state.Job, machine *state.Machine, task, previous cluster.TaskID) int {
	if previous.Job == task.Job && previous.Index+1 == task.Index {
		return grouprecord.AddedBytes(task.Job, true, false)
	}
	jobListed := false
	for assignment := range job.ListedAssignments {
		if assignment.MachineID == machine.ID && assignment.Task != task {
			jobListed = true
			break
		}
	}
	return grouprecord.AddedBytes(task.Job, false, jobListed)
}

// machineCandidate is a Candidate with the free capacity of its machine.
type machineCandidate struct {
	Candidate
	capacity *freeCapacity
}

// rankCandidates returns the machines that a job's tasks may be assigned to, best
// first. allowed holds, for each of r.kinds, whether the job may use that kind.
func (r *round) rankCandidates(job *state.Job, allowed []bool) []machineCandidate {
	var candidates []machineCandidate
	for i := range r.capacities {
		capacity := &r.capacities[i]
		if !allowed[capacity.kindIndex] || !r.isCandidate(job, capacity) {
			continue
		}
		if image := capacity.imageState(job); image != ImageBlocked {
			candidate := Candidate{Image: image, Spot: capacity.machine.Spot, FreeCPU: capacity.available.Resources.CPU}
			candidates = append(candidates, machineCandidate{candidate, capacity})
		}
	}
	spotPreferred, onDemandPreferred := r.Spot.IsPreferredMarket(r.shard, job, true), r.Spot.IsPreferredMarket(r.shard, job, false)
	for i := range candidates {
		if candidates[i].PreferredMarket = onDemandPreferred; candidates[i].Spot {
			candidates[i].PreferredMarket = spotPreferred
		}
	}
	spotIsRisky := r.Spot.IsOnDemandWorthImageFetch(job)
	slices.SortStableFunc(candidates, func(a, b machineCandidate) int { return a.Compare(&b.Candidate, spotIsRisky) })
	return candidates
}

// isCandidate reports whether a task of a job can be assigned to a machine. The caller
// has checked that the job may use the machine's kind.
func (r *round) isCandidate(job *state.Job, capacity *freeCapacity) bool {
	machine := capacity.machine
	return capacity.available.Fits(job.Spec.ResourceRequest) &&
		r.shared.deps.Records.HasRoom(machine.Group, job) &&
		!avoids(job, machine) &&
		r.Eligibility.IsAllowedDespiteScaleIn(job, machine)
}
