package provisioning

import (
	"maps"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
	"stairrelay/internal/scheduling"
	"stairrelay/internal/state"
)

const (
	// scaleOutDelay is the delay before a run that Schedule requests.
	scaleOutDelay = 100 * millisecond
	// acknowledgementTimeout is how long an acquired machine counts as usable without
	// having acknowledged its fencing token.
	acknowledgementTimeout = 5 * second
	// maxUnansweredRequests limits the unanswered requests of a shard.
	maxUnansweredRequests = 4
	// maxMachinesPerRequest limits the machines of one request.
	maxMachinesPerRequest = 50
	// maxStoreOutage is how long the store may be unavailable before scale-out stops.
	maxStoreOutage = second
	// significantDiscount is the minimum ratio of the on-demand price to the spot price at
	// which the price difference matters.
	significantDiscount = 1.5
	// microCPUsPerCPU converts a CPU amount to CPUs.
	microCPUsPerCPU = 1e6
)

// WorkQueue provides the work that waits for machines.
type WorkQueue interface {
	// PendingWork returns the next task of each starving job and the other pending tasks
	// that fit into the quotas of their teams.
	PendingWork(*state.Shard) scheduling.PendingWork
}

// FreeCapacity provides the free capacity of machines.
type FreeCapacity interface {
	// PackFreeCapacity removes from the work the tasks that fit on the shard's
	// machines.
	PackFreeCapacity(*state.Shard, scheduling.PendingWork)
}

// Eligibility decides which machines a job may use.
type Eligibility interface {
	IsAllowedOn(*state.Job, *state.Machine) bool
	IsOptionAllowed(*state.Job, state.ProvisioningOption) bool
}

// Runtimes estimates run times.
type Runtimes interface {
	// ExpectedSeconds returns the expected run time of a task of the job.
	ExpectedSeconds(*state.Job) float64
}

// MachineSharing shares the machines among the shards.
type MachineSharing interface {
	// CordonSurplus cordons the machines that the owned shards should transfer or release,
	// and offers idle machines to shards with a shortfall.
	CordonSurplus()
	// AcceptOffers starts to acquire idle machines that other shards offer and that the
	// work can use. It removes the tasks that fit on them from the work.
	AcceptOffers(*state.Shard, scheduling.PendingWork)
	// CanScaleOut reports whether a shard may request machines now. The result is false if
	// it has to wait for shards with less capacity.
	CanScaleOut(*state.Shard) bool
	// ShardLoads returns the known loads of all shards.
	ShardLoads() fairshare.Snapshot
}

// ScaleOut decides which machines to request: those for the pending work that does not
// fit on machines that are free, booting, requested or offered by other shards.
type ScaleOut struct {
	*shared
	rateLimiter *CloudRateLimiter
	list        *MachineList
	requests    *Requests

	scheduled bool // whether Schedule has scheduled a run
}

// Schedule schedules a run before the next regular one, unless one is scheduled already.
// Machines take long to boot, and waiting for the regular run would add to that.
func (s *ScaleOut) Schedule() {
	if s.scheduled {
		return
	}
	s.scheduled = true
	s.loop.After(s.deps.StretchDelay(scaleOutDelay), func() {
		s.scheduled = false
		s.Run()
	})
}

// Run starts a read of the machine list if one is due, rebalances the machines among the
// shards, and requests machines for the owned shards. It requests none while no machine
// types are known or the store has been unavailable for longer than maxStoreOutage. It must
// be called once a second.
func (s *ScaleOut) Run() {
	s.list.Poll()
	s.deps.Sharing.CordonSurplus()
	for _, shard := range s.state.Shards {
		if shard.Owned && shard.Ready && len(s.state.MachineTypes) > 0 && !s.queue.IsUnavailableFor(maxStoreOutage) {
			s.RunShard(shard)
		}
	}
}

// RunShard accepts the idle machines that other shards offer to an owned shard, and requests
// machines for the pending work that does not fit on machines that are free or expected.
func (s *ScaleOut) RunShard(shard *state.Shard) {
	work := s.deps.Work.PendingWork(shard)
	if len(work) == 0 {
		return
	}
	s.deps.Capacity.PackFreeCapacity(shard, work)
	s.packUnacknowledged(shard, work)
	// An idle machine of another shard is available sooner than a booting one.
	s.deps.Sharing.AcceptOffers(shard, work)
	s.packBooting(shard, work)
	s.packRequested(shard, work)
	if s.deps.Sharing.CanScaleOut(shard) {
		s.requestMachines(shard, work)
	}
}

// packUnacknowledged removes from the work the tasks that fit on recently acquired
// machines that have not acknowledged their fencing tokens yet.
func (s *ScaleOut) packUnacknowledged(shard *state.Shard, work scheduling.PendingWork) {
	s.deps.CountMachineScans(shard.Machines)
	for _, machine := range shard.Machines {
		ownedFor := s.loop.Now() - machine.OwnedSince
		if !machine.Booting && !machine.TokenAcknowledged && !machine.Releasing && ownedFor < acknowledgementTimeout {
			s.packMachine(machine, work)
		}
	}
}

// packBooting removes from the work the tasks that fit on booting machines.
func (s *ScaleOut) packBooting(shard *state.Shard, work scheduling.PendingWork) {
	s.deps.CountMachineScans(shard.Machines)
	for _, machine := range shard.Machines {
		if machine.Booting && !machine.Releasing && !machine.Draining {
			s.packMachine(machine, work)
		}
	}
}

func (s *ScaleOut) packMachine(machine *state.Machine, work scheduling.PendingWork) {
	free := machine.Allocatable(s.state.MachineTypes[machine.MachineType].Capacity)
	work.Pack(free, func(job *state.Job) bool { return s.deps.Eligibility.IsAllowedOn(job, machine) })
}

// packRequested removes from the work the tasks that fit on requested machines.
func (s *ScaleOut) packRequested(shard *state.Shard, work scheduling.PendingWork) {
	for _, name := range slices.Sorted(maps.Keys(shard.ProvisioningRequests)) {
		request := shard.ProvisioningRequests[name]
		for range request.ExpectedMachineCount() {
			s.packOption(request.Option, work)
		}
	}
}

// packOption removes from the work the tasks that fit on one machine of an option, and
// returns their number.
func (s *ScaleOut) packOption(option state.ProvisioningOption, work scheduling.PendingWork) int {
	machineType := s.state.MachineTypes[option.Type]
	return work.Pack(machineType.Allocatable(), func(job *state.Job) bool { return s.deps.Eligibility.IsOptionAllowed(job, option) })
}

// requestMachines requests machines for the work, for each job those with the lowest
// price per task. It stops at maxUnansweredRequests, or when the rate limiter denies a
// call. It removes from the work the tasks that it has handled.
func (s *ScaleOut) requestMachines(shard *state.Shard, work scheduling.PendingWork) {
	unanswered := shard.UnansweredRequestCount()
	for unanswered < maxUnansweredRequests {
		job := firstPending(work)
		if job == nil {
			return
		}
		option, found := s.chooseOption(shard, job, work)
		if !found {
			dropPending(work, job) // no option is available for the job now
			continue
		}
		count := s.countNeeded(option, work)
		if count == 0 || !s.rateLimiter.TryAcquire() {
			return
		}
		unanswered++
		s.requests.Create(shard, option, count)
	}
}

// firstPending returns the first job that has tasks left in the work, or nil if there
// is none.
func firstPending(work scheduling.PendingWork) *state.Job {
	for _, pending := range work {
		if pending.Count > 0 {
			return pending.Job
		}
	}
	return nil
}

// dropPending removes a job's tasks from the work.
func dropPending(work scheduling.PendingWork, job *state.Job) {
	for i := range work {
		if work[i].Job == job {
			work[i].Count = 0
		}
	}
}

// countNeeded removes from the work the tasks that one request for an option can serve,
// and returns the number of machines to request.
func (s *ScaleOut) countNeeded(option state.ProvisioningOption, work scheduling.PendingWork) int {
	maxCount := min(maxMachinesPerRequest, s.deps.Records.TargetGroupSize())
	for count := range maxCount {
		if s.packOption(option, work) == 0 {
			return count
		}
	}
	return max(maxCount, 0)
}

// chooseOption returns the option to request for a job. It reports false if nothing
// should be requested for the job now.
func (s *ScaleOut) chooseOption(shard *state.Shard, job *state.Job, work scheduling.PendingWork) (state.ProvisioningOption, bool) {
	option, found := s.cheapestOption(shard, job)
	if found && job.Spec.Spot && !option.Spot && !s.isOnDemandWorthwhile(shard, work, option) {
		return option, false
	}
	return option, found
}

// cheapestOption returns the option with the lowest price per task of a job, among those
// that the job may use and that are not backed off. Ties are broken by the name of the
// machine type, then by the order of the type's zones, then in favor of spot machines. It
// reports false if there is no such option.
func (s *ScaleOut) cheapestOption(shard *state.Shard, job *state.Job) (cheapest state.ProvisioningOption, found bool) {
	lowestCost := 0.0
	for _, name := range slices.Sorted(maps.Keys(s.state.MachineTypes)) {
		machineType := s.state.MachineTypes[name]
		tasks := scheduling.TasksPerMachine(machineType, job.Spec.ResourceRequest)
		for _, option := range optionsOf(name, machineType.Zones) {
			if !s.deps.Eligibility.IsOptionAllowed(job, option) || shard.IsBackedOff(option, s.loop.Now()) {
				continue
			}
			cost := machineType.HourlyPrice(option.Spot) / float64(tasks)
			if !found || cost < lowestCost {
				cheapest, found, lowestCost = option, true, cost
			}
		}
	}
	return cheapest, found
}

// optionsOf returns the spot and on-demand options of a machine type in each of its
// zones.
func optionsOf(machineType string, zones []string) []state.ProvisioningOption {
	var options []state.ProvisioningOption
	for _, zone := range zones {
		for _, spot := range []bool{true, false} {
			options = append(options, state.ProvisioningOption{Type: machineType, Zone: zone, Spot: spot})
		}
	}
	return options
}

// isOnDemandWorthwhile reports whether to request an on-demand option for a job that may
// use spot machines. If the option's on-demand price is significantly higher than its spot
// price, the request is worthwhile only if the capacity that the shard can expect would
// take longer for the work than the machine takes to boot.
func (s *ScaleOut) isOnDemandWorthwhile(shard *state.Shard, work scheduling.PendingWork, option state.ProvisioningOption) bool {
	machineType := s.state.MachineTypes[option.Type]
	if machineType.OnDemandPrice < significantDiscount*machineType.SpotPrice {
		return true
	}
	cpus := float64(s.expectedCPU(shard)) / microCPUsPerCPU
	cpuSeconds := 0.0
	for _, pending := range work {
		cpuSeconds += float64(pending.Count) * float64(machineType.TaskCPU(pending.Job.Spec.ResourceRequest)) / microCPUsPerCPU * s.deps.Runtimes.ExpectedSeconds(pending.Job)
	}
	return cpuSeconds > cpus*machineType.BootSeconds
}

// expectedCPU returns the CPU capacity that a shard can expect: its own, or an even
// share of the total if that is more, as idle machines of other shards are transferred
// to it.
func (s *ScaleOut) expectedCPU(shard *state.Shard) cluster.Amount {
	var own, total cluster.Amount
	loads := s.deps.Sharing.ShardLoads()
	for id, load := range loads {
		total += load.Available + load.Booting
		if id == shard.ID {
			own = load.Available + load.Booting
		}
	}
	return max(own, total/cluster.Amount(max(len(loads), 1)))
}
