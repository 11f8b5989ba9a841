package scheduling

import (
	"sort"

	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
	"stairrelay/internal/state"
)

const (
	// scaleOutDelay is how long a shard that has its share already waits before it
	// scales out while others lack theirs.
	scaleOutDelay = 4 * second
	// typicalMarginPercent is what the typical request of a shard is of the mean.
	typicalMarginPercent = 115
)

// Rebalancer splits the machines among the shards. Their teams need them unevenly:
// package fairshare says how much of all machines each shard should have. The
// rebalancer lets an owned shard that has more give machines up: these get no new
// tasks, and are offered to other shards once they are idle.
type Rebalancer struct {
	*shared
	trigger     *Trigger
	runTimes    *RunTimes
	eligibility *Eligibility
	queue       *JobQueue
	loads       *ShardLoads
	attempted   attemptedTransfers
}

// CordonSurplus picks the machines that the owned shards give up.
func (r *Rebalancer) CordonSurplus() {
	r.expireOffers()
	plan := fairshare.NewPlan(r.loads.All())
	for _, shard := range r.state.Shards {
		if load, known := plan.Loads[shard.ID]; known && shard.Owned && shard.Ready {
			r.cordonSurplusOf(shard, load, plan)
		}
	}
}

// cordonSurplusOf picks the machines that one shard gives up.
func (r *Rebalancer) cordonSurplusOf(shard *state.Shard, load fairshare.ShardLoad, plan *fairshare.Plan) {
	spare := plan.TransferableCapacity(shard.ID)
	machines := r.uncordonMachines(shard, spare)
	r.sortByRemainingTime(machines)
	shortfallPriority := plan.ShortfallPriority(shard.ID)
	for _, i := range fairshare.SelectWithinBudget(r.machineCPUs(machines), spare) {
		machines[i].Cordon()
		r.evictForPriority(machines[i], shortfallPriority)
	}
	if plan.TotalShortfall <= 0 {
		r.selectScaleInCandidates(shard, machines, load)
	} else {
		r.OfferIdleMachines(shard, plan)
	}
}

// uncordonMachines takes back what was picked before, and returns the machines to
// pick from.
func (r *Rebalancer) uncordonMachines(shard *state.Shard, spare cluster.Amount) []*state.Machine {
	var schedulable []*state.Machine
	r.deps.CountMachineScans(shard.Machines)
	for _, machine := range shard.Machines {
		if machine.Cordoned && spare <= 0 {
			r.trigger.Request()
		}
		machine.Uncordon()
		if r.eligibility.IsSchedulable(machine) {
			schedulable = append(schedulable, machine)
		}
	}
	return schedulable
}

// sortByRemainingTime puts the machines first that will be free soonest.
func (r *Rebalancer) sortByRemainingTime(machines []*state.Machine) {
	remaining := map[*state.Machine]float64{}
	for _, machine := range machines {
		for _, assignment := range machine.Assignments {
			if assignment.IsLive() {
				remaining[machine] = max(remaining[machine], r.runTimes.ExpectedRemainingSeconds(assignment))
			}
		}
	}
	sort.SliceStable(machines, func(i, j int) bool { return remaining[machines[i]] < remaining[machines[j]] })
}

// machineCPUs lists the machines' CPUs.
func (r *Rebalancer) machineCPUs(machines []*state.Machine) []cluster.Amount {
	cpus := make([]cluster.Amount, len(machines))
	for i, machine := range machines {
		cpus[i] = r.machineCapacity(machine).CPU
	}
	return cpus
}

// selectScaleInCandidates picks the machines that a shard can do without, dearest
// first. They run empty and are released, so that the tasks gather on the cheaper
// ones.
func (r *Rebalancer) selectScaleInCandidates(shard *state.Shard, machines []*state.Machine, load fairshare.ShardLoad) {
	request := typicalRequest(shard)
	sort.SliceStable(machines, func(i, j int) bool {
		return r.costPerUsefulCPU(machines[i], request) > r.costPerUsefulCPU(machines[j], request)
	})
	for _, i := range fairshare.SelectWithinBudget(r.machineCPUs(machines), load.ReleasableCapacity(r.config.SpareCapacityShare)) {
		machines[i].CordonForScaleIn()
	}
}

// costPerUsefulCPU is a machine's price per CPU that tasks with a request can use: a
// small machine wastes what is left beside tasks that don't divide it.
func (r *Rebalancer) costPerUsefulCPU(machine *state.Machine, request cluster.Resources) float64 {
	machineType := r.state.MachineTypes[machine.MachineType]
	if machineType.Capacity.CPU == 0 {
		return 0
	}
	price := machineType.HourlyPrice(machine.Spot)
	if request.CPU == 0 {
		return price / float64(machineType.Capacity.CPU)
	}
	return price / float64(request.CPU*cluster.Amount(TasksPerMachine(machineType.Capacity, request)))
}

// typicalRequest is what a somewhat larger than average task of a shard requests.
func typicalRequest(shard *state.Shard) cluster.Resources {
	var sum cluster.Resources
	var tasks cluster.Amount
	for _, job := range shard.Jobs {
		if unfinished := job.PendingCount() + job.AssignedCount; job.IsActive() && !job.Blocked && unfinished > 0 {
			sum = sum.Plus(job.Spec.ResourceRequest.Times(unfinished))
			tasks += cluster.Amount(unfinished)
		}
	}
	if tasks == 0 {
		return cluster.Resources{}
	}
	return cluster.Resources{
		CPU:    sum.CPU / tasks * typicalMarginPercent / 100,
		GPU:    sum.GPU / tasks,
		Memory: sum.Memory / tasks * typicalMarginPercent / 100,
	}
}

// evictForPriority empties a cordoned machine of tasks that can save a checkpoint,
// when the jobs of other shards that lack it are urgent and more important.
func (r *Rebalancer) evictForPriority(machine *state.Machine, shortfallPriority cluster.Priority) {
	if shortfallPriority < cluster.Urgent {
		return
	}
	for _, assignment := range machine.Assignments {
		if assignment.IsLive() && !r.isEvictable(assignment.Job, shortfallPriority) {
			return
		}
	}
	for _, assignment := range machine.SortedAssignments() {
		if assignment.IsLive() && assignment.Phase == state.PhaseAcknowledged {
			r.deps.Stops.Preempt(machine, assignment)
		}
	}
}

// isEvictable tells whether a job's task may give way to jobs of a priority.
func (r *Rebalancer) isEvictable(job *state.Job, priority cluster.Priority) bool {
	return job.EffectivePriority < priority && job.Spec.CheckpointSeconds > 0 && !r.queue.isPreemptionExempt(job)
}

// CanScaleOut holds back a shard that has its share already while others lack theirs:
// what the cloud still has should go to them first.
func (r *Rebalancer) CanScaleOut(shard *state.Shard) bool {
	if r.loads.All().CanScaleOutFirst(shard.ID) {
		return true
	}
	now := r.loop.Now()
	if now-shard.LastScaleOutAt < scaleOutDelay {
		return false
	}
	shard.LastScaleOutAt = now
	return true
}

// SurplusPredicate returns a function that tells whether an idle machine is of no use
// to any shard. A machine is better offered to another shard with too few machines
// than released while that one scales out. What all machines share is worked out at
// most once.
func (r *Rebalancer) SurplusPredicate() func(*state.Machine) bool {
	var loads fairshare.Snapshot
	workByShard := map[cluster.ShardID]PendingWork{}
	return func(machine *state.Machine) bool {
		if loads == nil {
			loads = r.loads.All()
		}
		if loads.OthersHaveShortfall(machine.ShardID) {
			return false
		}
		work, listed := workByShard[machine.ShardID]
		if !listed {
			work = r.queue.PendingWork(r.state.Shards[machine.ShardID])
			workByShard[machine.ShardID] = work
		}
		for i := range work {
			if r.eligibility.IsAllowedOn(work[i].Job, machine) {
				return false
			}
		}
		return true
	}
}
