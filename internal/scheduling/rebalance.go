package scheduling

import (
	"sort"

	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
	"stairrelay/internal/state"
)

const (
	// yieldingScaleOutInterval is the minimum time between two scale-outs of a shard
	// while another shard lacks capacity and has much less than this one.
	yieldingScaleOutInterval = 4 * second
	// typicalRequestPercent is the CPU and memory of a shard's typical request, as a
	// percentage of the mean request of its tasks.
	typicalRequestPercent = 115
)

// Rebalancer moves machines between shards according to their demand. Package fairshare
// computes the capacity that each shard should have. If an owned shard has more than that,
// the rebalancer cordons some of its machines and offers them to other shards once they
// are idle.
type Rebalancer struct {
	*shared
	trigger     *Trigger
	runtimes    *Runtimes
	eligibility *Eligibility
	queue       *JobQueue
	loads       *ShardLoads
	attempted   attemptedTransfers
}

// CordonSurplus selects anew which machines of the owned shards are cordoned, because they
// should be transferred or released. It also withdraws expired offers, and offers idle
// machines to shards with a shortfall.
func (r *Rebalancer) CordonSurplus() {
	r.expireOffers()
	plan := fairshare.NewPlan(r.loads.All())
	for _, shard := range r.state.Shards {
		if load, known := plan.Loads[shard.ID]; known && shard.Owned && shard.Ready {
			r.cordonShardSurplus(shard, load, plan)
		}
	}
}

// cordonShardSurplus cordons the machines that one shard should transfer, preempts their
// tasks for urgent work of other shards, and offers idle machines to shards with a
// shortfall. If no shard has one, it cordons machines for scale-in instead. It uncordons
// all other machines.
func (r *Rebalancer) cordonShardSurplus(shard *state.Shard, load fairshare.ShardLoad, plan *fairshare.Plan) {
	transferable := plan.TransferableCapacity(shard.ID)
	machines := r.uncordonMachines(shard, transferable)
	r.sortByRemainingTime(machines)
	shortfallPriority := plan.ShortfallPriority(shard.ID)
	for _, i := range fairshare.SelectWithinBudget(r.machineCPUs(machines), transferable) {
		machines[i].Cordon()
		r.evictForPriority(machines[i], shortfallPriority)
	}
	if plan.TotalShortfall <= 0 {
		r.selectScaleInCandidates(shard, machines, load)
	} else {
		r.OfferIdleMachines(shard, plan)
	}
}

// uncordonMachines uncordons all machines of a shard, so that the caller can select again
// which to cordon, and returns those that are schedulable. It requests a scheduling run
// if a machine was cordoned and the shard has no capacity to transfer.
func (r *Rebalancer) uncordonMachines(shard *state.Shard, transferable cluster.Amount) []*state.Machine {
	var schedulable []*state.Machine
	r.deps.CountMachineScans(shard.Machines)
	for _, machine := range shard.Machines {
		if machine.Cordoned && transferable <= 0 {
			r.trigger.Request()
		}
		machine.Uncordon()
		if r.eligibility.IsSchedulable(machine) {
			schedulable = append(schedulable, machine)
		}
	}
	return schedulable
}

// sortByRemainingTime sorts machines by the expected time until all their tasks have
// finished, shortest first.
func (r *Rebalancer) sortByRemainingTime(machines []*state.Machine) {
	remaining := map[*state.Machine]float64{}
	for _, machine := range machines {
		for _, assignment := range machine.Assignments {
			if assignment.IsLive() {
				remaining[machine] = max(remaining[machine], r.runtimes.ExpectedRemainingSeconds(assignment))
			}
		}
	}
	sort.SliceStable(machines, func(i, j int) bool { return remaining[machines[i]] < remaining[machines[j]] })
}

// machineCPUs returns the total CPUs of each machine.
func (r *Rebalancer) machineCPUs(machines []*state.Machine) []cluster.Amount {
	cpus := make([]cluster.Amount, len(machines))
	for i, machine := range machines {
		cpus[i] = r.machineCapacity(machine).CPU
	}
	return cpus
}

// selectScaleInCandidates cordons the machines that a shard doesn't need, those with the
// highest price per usable CPU first. They are released once their tasks have finished,
// and new tasks use the cheaper machines.
func (r *Rebalancer) selectScaleInCandidates(shard *state.Shard, machines []*state.Machine, load fairshare.ShardLoad) {
	request := typicalRequest(shard)
	sort.SliceStable(machines, func(i, j int) bool {
		return r.pricePerUsableCPU(machines[i], request) > r.pricePerUsableCPU(machines[j], request)
	})
	for _, i := range fairshare.SelectWithinBudget(r.machineCPUs(machines), load.ReleasableCapacity(r.config.SpareCapacityShare)) {
		machines[i].CordonForScaleIn()
	}
}

// pricePerUsableCPU returns a machine's hourly price divided by the CPUs that tasks with a
// request can use. CPUs that remain free when the machine is full of such tasks are not
// counted. The result is 0 if the machine's type is unknown.
func (r *Rebalancer) pricePerUsableCPU(machine *state.Machine, request cluster.Resources) float64 {
	machineType := r.state.MachineTypes[machine.MachineType]
	if machineType.Capacity.CPU == 0 {
		return 0
	}
	price := machineType.HourlyPrice(machine.Spot)
	if request.CPU == 0 {
		return price / float64(machineType.Capacity.CPU)
	}
	return price / float64(request.CPU*cluster.Amount(TasksPerMachine(machineType, request)))
}

// typicalRequest returns the mean resource request of a shard's unfinished tasks, with CPU
// and memory scaled by typicalRequestPercent. The result is zero if there are no such
// tasks. Tasks of blocked jobs don't count.
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
		CPU:    sum.CPU / tasks * typicalRequestPercent / 100,
		GPU:    sum.GPU / tasks,
		Memory: sum.Memory / tasks * typicalRequestPercent / 100,
	}
}

// evictForPriority preempts the tasks of a cordoned machine if shards with a shortfall
// have urgent work of a higher priority. It does nothing if any of the tasks is not
// evictable, because the machine can only be transferred when it is idle.
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

// isEvictable reports whether tasks of a job may be preempted for work of the given
// priority: the job has a lower one, saves checkpoints and is not exempt from preemption.
func (r *Rebalancer) isEvictable(job *state.Job, priority cluster.Priority) bool {
	return job.EffectivePriority < priority && job.Spec.CheckpointIntervalSeconds > 0 && !r.queue.isPreemptionExempt(job)
}

// CanScaleOut reports whether a shard may request machines now. While another shard lacks
// capacity and has much less than this one, CanScaleOut returns true only once per
// yieldingScaleOutInterval, so that the cloud's remaining capacity goes to the other shard
// first. Returning true in this case starts a new interval.
func (r *Rebalancer) CanScaleOut(shard *state.Shard) bool {
	if r.loads.All().CanScaleOutFirst(shard.ID) {
		return true
	}
	now := r.loop.Now()
	if now-shard.LastScaleOutAt < yieldingScaleOutInterval {
		return false
	}
	shard.LastScaleOutAt = now
	return true
}

// SurplusPredicate returns a function that reports whether an idle machine is of no use
// to any shard and can be released. A machine is not surplus while another shard lacks
// capacity, because that shard can acquire it. The function caches the loads and the
// pending work, so it is valid only for the current event.
func (r *Rebalancer) SurplusPredicate() func(*state.Machine) bool {
	var loads fairshare.Snapshot
	workByShard := map[cluster.ShardID]PendingWork{}
	return func(machine *state.Machine) bool {
		if machine.MaxTasks() == 0 {
			return true // its heartbeats can't list any task
		}
		if loads == nil {
			loads = r.loads.All()
		}
		if loads.OthersLackCapacity(machine.ShardID) {
			return false
		}
		work, computed := workByShard[machine.ShardID]
		if !computed {
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
