package scheduling

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/state"
)

// freeCapacity is a machine with free resources.
type freeCapacity struct {
	machine      *state.Machine
	available    cluster.Allocatable
	kindIndex    int // index in the list of kinds that listFreeCapacity returns
	imageFetches ImageFetches
	machineCPU   cluster.Amount // total CPUs of the machine
}

// listFreeCapacity returns the schedulable machines of a shard that can get another task of
// minCPU, and their distinct kinds. It omits machines of unknown types, machines of groups that are
// offered to another shard, and cordoned machines other than scale-in candidates. The kinds
// let the caller check once per kind, rather than once per machine, what a job may use.
func (s *Scheduler) listFreeCapacity(shard *state.Shard, minCPU cluster.Amount) ([]freeCapacity, []grouprecord.Kind) {
	var capacities []freeCapacity
	var kinds []grouprecord.Kind
	s.shared.deps.CountMachineScans(shard.Machines)
	for _, machine := range shard.Machines {
		if machine.Cordoned && !machine.ScaleInCandidate || !s.Eligibility.IsSchedulable(machine) || machine.Group.Offer != nil {
			continue
		}
		machineType, known := s.shared.state.MachineTypes[machine.MachineType]
		if !known {
			continue
		}
		capacity := freeCapacity{
			machine:    machine,
			available:  machine.Allocatable(machineType.Capacity),
			machineCPU: machineType.Capacity.CPU,
		}
		if capacity.available.Resources.CPU < minCPU || capacity.available.Tasks <= 0 {
			continue
		}
		capacity.addPendingFetches()
		if capacity.kindIndex = slices.Index(kinds, machine.Kind()); capacity.kindIndex < 0 {
			capacity.kindIndex = len(kinds)
			kinds = append(kinds, machine.Kind())
		}
		capacities = append(capacities, capacity)
	}
	return capacities, kinds
}

// addPendingFetches records the images that tasks on the machine wait for.
func (c *freeCapacity) addPendingFetches() {
	for _, assignment := range c.machine.Assignments {
		if assignment.IsLive() && assignment.RunningSince == 0 && !c.machine.HasCachedImage(assignment.Job.Spec.Image) {
			c.addFetch(assignment.Job)
		}
	}
}

// addFetch records that a task of a job waits for its image on the machine.
func (c *freeCapacity) addFetch(job *state.Job) {
	c.imageFetches.Add(job.Spec.Image, job.EffectivePriority, job.Spec.ResourceRequest.CPU)
}

// imageState returns the state of a job's image on the machine.
func (c *freeCapacity) imageState(job *state.Job) ImageState {
	if c.machine.HasCachedImage(job.Spec.Image) {
		return ImageCached
	}
	return c.imageFetches.State(job.Spec.Image, job.EffectivePriority, job.Spec.ResourceRequest.CPU, c.machineCPU)
}

// PackFreeCapacity removes from work the tasks that fit into the free resources of a
// shard's machines, taking into account which machines a job may use.
func (s *Scheduler) PackFreeCapacity(shard *state.Shard, work PendingWork) {
	capacities, _ := s.listFreeCapacity(shard, work.minCPU())
	for i := range capacities {
		capacity := &capacities[i]
		work.Pack(capacity.available, func(job *state.Job) bool {
			return s.Eligibility.IsAllowedOn(job, capacity.machine) &&
				s.Eligibility.IsAllowedDespiteScaleIn(job, capacity.machine) &&
				s.shared.recordCanHaveRoom(job, capacity.machine)
		})
	}
}

// HasStartableTasks reports whether any pending task of a shard could be assigned to
// one of its machines now.
func (s *Scheduler) HasStartableTasks(shard *state.Shard) bool {
	if !slices.ContainsFunc(shard.Jobs, s.Queue.hasSchedulableTasks) {
		return false
	}
	work := s.Queue.PendingWork(shard)
	capacities, _ := s.listFreeCapacity(shard, work.minCPU())
	reservations := s.Queue.reservations(shard)
	usage := shard.UsageByTeam()
	for i := range capacities {
		capacity := &capacities[i]
		isAllowed := func(job *state.Job) bool {
			reservedFor := reservations[capacity.machine.ID]
			return (reservedFor == nil || reservedFor == job) && s.isWithinTeamQuota(job, usage) && s.isStartable(job, capacity)
		}
		if work.Pack(capacity.available, isAllowed) > 0 {
			return true
		}
	}
	return false
}

// isWithinTeamQuota reports whether the quota of a job's team allows one more task of the job.
func (s *Scheduler) isWithinTeamQuota(job *state.Job, usage state.TeamUsage) bool {
	team := s.shared.state.Teams[job.Spec.Team]
	return isWithinQuota(usage[team.Name].Plus(job.Spec.ResourceRequest), team.QuotaLimit)
}

// isStartable reports whether a job's constraints, its image and the group's record
// allow a task on a machine. It doesn't check the resource request.
func (s *Scheduler) isStartable(job *state.Job, capacity *freeCapacity) bool {
	machine := capacity.machine
	return s.Eligibility.IsAllowedOn(job, machine) &&
		s.Eligibility.IsAllowedDespiteScaleIn(job, machine) &&
		s.shared.deps.Records.HasRoom(machine.Group, job) &&
		capacity.imageState(job) != ImageBlocked &&
		isZoneAllowed(&job.Spec, s.Eligibility.countTasksByZone(job), machine.Zone)
}
