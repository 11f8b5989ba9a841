package scheduling

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

const (
	// MinInterval is the least time between two rounds of scheduling: what happens
	// within it is decided together.
	MinInterval = 40 * millisecond
	// preemptionInterval is the least time between two searches for tasks of a shard
	// to preempt.
	preemptionInterval = second / 2
	// maxStoreOutage is how long the state service may fail before nothing new is
	// started: the records could not be stored.
	maxStoreOutage = second
)

// RunIfRequested starts pending tasks of the owned shards if that was requested and
// its time has come.
func (s *Scheduler) RunIfRequested() {
	now := s.shared.loop.Now()
	switch s.Trigger.check(now) {
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

// round is one round of scheduling of a shard.
type round struct {
	*Scheduler
	shard      *state.Shard
	jobs       []*state.Job        // with pending tasks, in the order of the queue
	guaranteed map[*state.Job]bool // within their teams' guaranteed quotas
	capacities []freeCapacity
	kinds      []grouprecord.Kind // of the machines with free resources
	usage      state.TeamUsage    // kept up to date
	reserved   state.TeamUsage    // kept free of the teams' quotas for their starving jobs
}

// ScheduleShard starts pending tasks of a shard, and preempts others to make room.
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
	r.assignStarving()
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

// assignStarving starts one task of each starving job. Where that does not fit yet,
// smaller work must not take again and again what it waits for: a part of its team's
// quota and a machine are kept free for it.
func (r *round) assignStarving() {
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

// reserveMachine picks the machine that is kept free for a starving job: the one that
// was kept for it already, else the one with most free CPUs.
func (r *round) reserveMachine(job *state.Job) *state.Machine {
	var best *state.Machine
	var most cluster.Amount
	r.shared.deps.CountMachineScans(r.shard.Machines)
	for _, machine := range r.shard.Machines {
		if !r.Eligibility.IsSchedulable(machine) || machine.Cordoned || machine.Group.Offer != nil || !r.Eligibility.IsAllowedOn(job, machine) {
			continue
		}
		if machine.ID == job.ReservedMachine {
			return machine
		}
		if free := r.shared.freeResources(machine).CPU; best == nil || free > most {
			best, most = machine, free
		}
	}
	if best != nil {
		job.ReservedMachine = best.ID
	}
	return best
}

// jobAssigner starts tasks of one job on the machines that suit it.
type jobAssigner struct {
	*round
	job         *state.Job
	quota       cluster.Resources // of the team, less what is reserved for starving jobs
	tasksByZone map[string]int    // the job's tasks
	remaining   int               // how many tasks may still be started
}

// assignJob starts up to a number of tasks of a job: on machines that have its image,
// else are getting it, else have most free CPUs.
func (r *round) assignJob(job *state.Job, reserved cluster.Resources, count int) {
	allowed := make([]bool, len(r.kinds))
	for i, kind := range r.kinds {
		allowed[i] = r.Eligibility.isKindAllowed(job, kind.Type, kind.Zone, kind.Spot)
	}
	quota := r.shared.state.Teams[job.Spec.Team].QuotaLimit.Minus(reserved)
	assigner := &jobAssigner{round: r, job: job, quota: quota, remaining: count}
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

// isWithinQuota tells whether the team may have one more of the job's tasks.
func (a *jobAssigner) isWithinQuota() bool {
	return isWithinQuota(a.usage[a.job.Spec.Team].Plus(a.job.Spec.ResourceRequest), a.quota)
}

// fillMachine starts tasks on a machine as long as there is room; false: the job can
// have no more anywhere.
func (a *jobAssigner) fillMachine(candidate machineCandidate) bool {
	job, machine := a.job, candidate.capacity.machine
	last := cluster.TaskID{}
	for a.remaining > 0 && job.PendingCount() > 0 && a.hasRoom(candidate.capacity) {
		if !a.isWithinQuota() {
			return false
		}
		index := job.NextPendingTask()
		if index < 0 {
			return false
		}
		task := cluster.TaskID{Job: job.Spec.ID, Index: index}
		// An earlier attempt may still be being cleared away there.
		if !isZoneAllowed(&job.Spec, a.tasksByZone, machine.Zone) || machine.Assignments[task] != nil {
			return true
		}
		a.assignTask(candidate, task, last)
		last = task
	}
	return true
}

// hasRoom tells whether a machine and its group's record have room for one more task
// of the job.
func (a *jobAssigner) hasRoom(capacity *freeCapacity) bool {
	return a.job.Spec.ResourceRequest.FitsIn(capacity.available) && a.shared.deps.Records.HasRoom(capacity.machine.Group, a.job)
}

// assignTask assigns a task to a machine; last is the task that was assigned there
// just before.
func (a *jobAssigner) assignTask(candidate machineCandidate, task, last cluster.TaskID) {
	job, capacity := a.job, candidate.capacity
	machine, request := capacity.machine, job.Spec.ResourceRequest
	assignment := &state.Assignment{Task: task, Job: job, Attempt: a.shard.NextAttempt(), ResourceRequest: request, MachineID: machine.ID}
	machine.AddAssignment(assignment)
	machine.Group.AddedBytes += addedRecordBytes(job, machine, task, last)
	job.SetAssigned(task.Index, assignment)
	a.tasksByZone[machine.Zone]++
	a.usage[job.Spec.Team] = a.usage[job.Spec.Team].Plus(request)
	capacity.available = capacity.available.Minus(request)
	if candidate.Image == ImageAbsent {
		capacity.addFetch(job)
	}
	a.remaining--
	a.shared.deps.Records.WriteMachine(machine, writequeue.PriorityStart)
}

// addedRecordBytes is about how much longer a group's record gets by a task: one that
// follows on the task assigned before to the same machine only widens its range.
func addedRecordBytes(job *state.Job, machine *state.Machine, task, last cluster.TaskID) int {
	if last.Job == task.Job && last.Index+1 == task.Index {
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

// machineCandidate is a machine with free resources that a job's tasks may be
// assigned to.
type machineCandidate struct {
	Candidate
	capacity *freeCapacity
}

// rankCandidates lists the machines that a job's tasks may be assigned to, the best
// first. allowed says by kind which ones the job may use.
func (r *round) rankCandidates(job *state.Job, allowed []bool) []machineCandidate {
	var candidates []machineCandidate
	for i := range r.capacities {
		capacity := &r.capacities[i]
		if !allowed[capacity.kindIndex] || !r.isCandidate(job, capacity) {
			continue
		}
		if image := capacity.imageState(job); image != ImageBlocked {
			candidate := Candidate{Image: image, Spot: capacity.machine.Spot, FreeCPU: capacity.available.CPU}
			candidates = append(candidates, machineCandidate{candidate, capacity})
		}
	}
	spotSuits, onDemandSuits := r.Spot.IsMarketSuited(r.shard, job, true), r.Spot.IsMarketSuited(r.shard, job, false)
	for i := range candidates {
		if candidates[i].Suitable = onDemandSuits; candidates[i].Spot {
			candidates[i].Suitable = spotSuits
		}
	}
	spotIsRisk := r.Spot.IsOnDemandWorthFetching(job)
	slices.SortStableFunc(candidates, func(a, b machineCandidate) int { return a.Compare(&b.Candidate, spotIsRisk) })
	return candidates
}

// isCandidate tells whether a machine has room for a task of a job that may use
// machines of its kind.
func (r *round) isCandidate(job *state.Job, capacity *freeCapacity) bool {
	machine := capacity.machine
	return job.Spec.ResourceRequest.FitsIn(capacity.available) &&
		r.shared.deps.Records.HasRoom(machine.Group, job) &&
		!avoids(job, machine) &&
		r.Eligibility.CanUseMachine(job, machine)
}
