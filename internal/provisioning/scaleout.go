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
	// scaleOutDelay is the wait before machines are requested out of turn.
	scaleOutDelay = 100 * millisecond
	// acknowledgementPatience is for how long a machine that was taken over counts as
	// usable although it has not acknowledged its token.
	acknowledgementPatience = 5 * second
	// maxUnansweredRequests bounds the requests of a shard that wait for answers.
	maxUnansweredRequests = 4
	// maxMachinesPerRequest bounds the machines of one request.
	maxMachinesPerRequest = 50
	// maxStoreSilence is for how long the state service may be silent while machines
	// are requested.
	maxStoreSilence = second
	// significantDiscount is by what factor on-demand machines must cost more than
	// spot machines for it to matter which of them is used.
	significantDiscount = 1.5
	// microsPerCPU is the amount that is one CPU.
	microsPerCPU = 1e6
)

// WorkQueue knows what waits for machines.
type WorkQueue interface {
	// PendingWork lists the pending tasks that the teams' quotas would let run.
	PendingWork(*state.Shard) scheduling.PendingWork
}

// FreeCapacity knows what the machines have free.
type FreeCapacity interface {
	// PackFreeCapacity takes from the work what fits on the shard's machines.
	PackFreeCapacity(*state.Shard, scheduling.PendingWork)
}

// Eligibility tells which machines a job may use.
type Eligibility interface {
	IsAllowedOn(*state.Job, *state.Machine) bool
	IsOptionAllowed(*state.Job, state.ProvisioningOption) bool
}

// RunTimes estimates run times.
type RunTimes interface {
	// ExpectedSeconds is how long a task of a job is expected to run.
	ExpectedSeconds(*state.Job) float64
}

// MachineSharing shares the machines among the shards.
type MachineSharing interface {
	// CordonSurplus chooses the machines that the owned shards give up.
	CordonSurplus()
	// AcceptOffers acquires idle machines that other shards offer and the work has a
	// use for, and takes from the work what they are going to run.
	AcceptOffers(*state.Shard, scheduling.PendingWork)
	// CanScaleOut tells whether a shard may request machines: others may lack more.
	CanScaleOut(*state.Shard) bool
	// ShardLoads are the known loads of all shards.
	ShardLoads() fairshare.Snapshot
}

// ScaleOut decides which machines are requested: as many as the pending work needs
// beyond what is free, coming or offered by other shards.
type ScaleOut struct {
	*shared
	rateLimiter *CloudRateLimiter
	list        *MachineList
	requests    *Requests

	scheduled bool // a run before the next regular one
}

// Schedule has machines requested before the next regular time: they take long to boot,
// and every second that a request waits is added to that.
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

// Run requests machines for the owned shards; to be called once a second.
func (s *ScaleOut) Run() {
	s.list.Poll()
	s.deps.Sharing.CordonSurplus()
	for _, shard := range s.state.Shards {
		if shard.Owned && shard.Ready && len(s.state.MachineTypes) > 0 && !s.queue.IsUnavailableFor(maxStoreSilence) {
			s.RunShard(shard)
		}
	}
}

// RunShard requests machines for the pending work of an owned shard, less what is free
// or coming already.
func (s *ScaleOut) RunShard(shard *state.Shard) {
	work := s.deps.Work.PendingWork(shard)
	if len(work) == 0 {
		return
	}
	s.deps.Capacity.PackFreeCapacity(shard, work)
	s.packUnacknowledged(shard, work)
	// Another shard's idle machine serves at once, a booting one much later.
	s.deps.Sharing.AcceptOffers(shard, work)
	s.packBooting(shard, work)
	s.packRequested(shard, work)
	if s.deps.Sharing.CanScaleOut(shard) {
		s.requestMachines(shard, work)
	}
}

// packUnacknowledged takes from the work what fits on the machines that were taken over
// and are about to acknowledge their tokens.
func (s *ScaleOut) packUnacknowledged(shard *state.Shard, work scheduling.PendingWork) {
	s.deps.CountMachineScans(shard.Machines)
	for _, machine := range shard.Machines {
		ownedFor := s.loop.Now() - machine.OwnedSince
		if !machine.Booting && !machine.TokenAcknowledged && !machine.Releasing && ownedFor < acknowledgementPatience {
			s.packMachine(machine, work)
		}
	}
}

// packBooting takes from the work what fits on the machines that are booting.
func (s *ScaleOut) packBooting(shard *state.Shard, work scheduling.PendingWork) {
	s.deps.CountMachineScans(shard.Machines)
	for _, machine := range shard.Machines {
		if machine.Booting && !machine.Releasing && !machine.Draining {
			s.packMachine(machine, work)
		}
	}
}

func (s *ScaleOut) packMachine(machine *state.Machine, work scheduling.PendingWork) {
	free := s.state.MachineTypes[machine.MachineType].Capacity.Minus(machine.UsedResources())
	work.Pack(free, func(job *state.Job) bool { return s.deps.Eligibility.IsAllowedOn(job, machine) })
}

// packRequested takes from the work what fits on the machines that are requested.
func (s *ScaleOut) packRequested(shard *state.Shard, work scheduling.PendingWork) {
	for _, name := range slices.Sorted(maps.Keys(shard.ProvisioningRequests)) {
		request := shard.ProvisioningRequests[name]
		for range request.ExpectedMachines() {
			s.packOption(request.Option, work)
		}
	}
}

// packOption takes from the work what fits on one machine of an option, and returns how
// many tasks that are.
func (s *ScaleOut) packOption(option state.ProvisioningOption, work scheduling.PendingWork) int {
	capacity := s.state.MachineTypes[option.Type].Capacity
	return work.Pack(capacity, func(job *state.Job) bool { return s.deps.Eligibility.IsOptionAllowed(job, option) })
}

// requestMachines requests machines for the work, those of the lowest cost for each job.
func (s *ScaleOut) requestMachines(shard *state.Shard, work scheduling.PendingWork) {
	unanswered := shard.UnansweredRequests()
	for unanswered < maxUnansweredRequests {
		job := firstPending(work)
		if job == nil {
			return
		}
		option, found := s.chooseOption(shard, job, work)
		if !found {
			dropPending(work, job) // nothing can be had for it now
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

// firstPending is the first job of which tasks are left in the work; nil: there is none.
func firstPending(work scheduling.PendingWork) *state.Job {
	for _, pending := range work {
		if pending.Count > 0 {
			return pending.Job
		}
	}
	return nil
}

// dropPending drops a job's tasks from the work.
func dropPending(work scheduling.PendingWork, job *state.Job) {
	for i := range work {
		if work[i].Job == job {
			work[i].Count = 0
		}
	}
}

// countNeeded takes from the work what machines of an option in one request can run, and
// returns how many machines that takes.
func (s *ScaleOut) countNeeded(option state.ProvisioningOption, work scheduling.PendingWork) int {
	most := min(maxMachinesPerRequest, s.deps.Records.TargetGroupSize())
	for count := range most {
		if s.packOption(option, work) == 0 {
			return count
		}
	}
	return max(most, 0)
}

// chooseOption returns what to request for a job; false: nothing now.
func (s *ScaleOut) chooseOption(shard *state.Shard, job *state.Job, work scheduling.PendingWork) (state.ProvisioningOption, bool) {
	option, found := s.cheapestOption(shard, job)
	if found && job.Spec.Spot && !option.Spot && !s.isOnDemandWorthwhile(shard, work, option) {
		return option, false
	}
	return option, found
}

// cheapestOption returns what costs least per task of a job, of all that the cloud may
// have; of equal ones the first by the type's name, then by the order of its zones, spot
// machines before on-demand ones.
func (s *ScaleOut) cheapestOption(shard *state.Shard, job *state.Job) (cheapest state.ProvisioningOption, found bool) {
	lowestCost := 0.0
	for _, name := range slices.Sorted(maps.Keys(s.state.MachineTypes)) {
		machineType := s.state.MachineTypes[name]
		tasks := scheduling.TasksPerMachine(machineType.Capacity, job.Spec.ResourceRequest)
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

// optionsOf lists the options of a machine type.
func optionsOf(machineType string, zones []string) []state.ProvisioningOption {
	var options []state.ProvisioningOption
	for _, zone := range zones {
		for _, spot := range []bool{true, false} {
			options = append(options, state.ProvisioningOption{Type: machineType, Zone: zone, Spot: spot})
		}
	}
	return options
}

// isOnDemandWorthwhile tells whether work that may use spot machines, of which there are
// none now, should have an on-demand machine at several times the price: only if what
// is there and coming would not be through with it by the time that the machine is up.
func (s *ScaleOut) isOnDemandWorthwhile(shard *state.Shard, work scheduling.PendingWork, option state.ProvisioningOption) bool {
	machineType := s.state.MachineTypes[option.Type]
	if machineType.OnDemandPrice < significantDiscount*machineType.SpotPrice {
		return true
	}
	cpus := float64(s.fairCPU(shard)) / microsPerCPU
	cpuSeconds := 0.0
	for _, pending := range work {
		cpuSeconds += float64(pending.Count) * float64(pending.Job.Spec.ResourceRequest.CPU) / microsPerCPU * s.deps.RunTimes.ExpectedSeconds(pending.Job)
	}
	return cpuSeconds > cpus*machineType.BootSeconds
}

// fairCPU is what a shard has or can expect: one with few machines gets its share of the
// others' as they become idle.
func (s *ScaleOut) fairCPU(shard *state.Shard) cluster.Amount {
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
