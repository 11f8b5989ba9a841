package scheduling

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// stopAvoidingMachineCount is the number of machines on which tasks of a job must have
// failed for the job to no longer avoid these machines. The cause is then more likely the
// job than the machines.
const stopAvoidingMachineCount = 3

// Eligibility decides which machines may get new tasks and which of them a job may use.
type Eligibility struct {
	*shared
	spot *SpotPreference
}

// IsSchedulable reports whether a machine may get new tasks. It doesn't check whether
// the machine is cordoned or its group is offered to another shard.
func (e *Eligibility) IsSchedulable(machine *state.Machine) bool {
	now := e.loop.Now()
	return machine.TokenAcknowledged &&
		!machine.Booting && !machine.Draining && !machine.Releasing &&
		!machine.StartInDoubt && !machine.RaisingToken && machine.OversizedSince == 0 &&
		now >= machine.NoStartsBefore &&
		now-machine.LastHeartbeat < 2*e.config.HeartbeatInterval+second
}

// IsAllowedOn reports whether a job may use machines of this machine's type, zone and
// market, and does not avoid this machine because its tasks failed there.
func (e *Eligibility) IsAllowedOn(job *state.Job, machine *state.Machine) bool {
	return e.isKindAllowed(job, machine.MachineType, machine.Zone, machine.Spot) && !avoids(job, machine)
}

// IsOptionAllowed reports whether a job may use the machines of a provisioning option.
func (e *Eligibility) IsOptionAllowed(job *state.Job, option state.ProvisioningOption) bool {
	return e.satisfiesColocation(job, option.Zone) && e.isKindAllowed(job, option.Type, option.Zone, option.Spot)
}

// isKindAllowed reports whether a job may use machines of a type in a zone, spot or
// on-demand.
func (e *Eligibility) isKindAllowed(job *state.Job, machineType, zone string, spot bool) bool {
	return (job.Spec.Spot || !spot) && job.Spec.AllowsMachineType(e.state.MachineTypes[machineType], zone)
}

// IsAllowedDespiteScaleIn reports whether scale-in allows a job to use a machine. A
// scale-in candidate may be used only if it is an on-demand machine and spot machines
// are too risky for the job.
func (e *Eligibility) IsAllowedDespiteScaleIn(job *state.Job, machine *state.Machine) bool {
	return !machine.ScaleInCandidate || !machine.Spot && e.spot.IsOnDemandWorthImageFetch(job)
}

// satisfiesColocation reports whether a job may get tasks in a zone. A job with
// colocated tasks may not if any of its tasks is in another zone.
func (e *Eligibility) satisfiesColocation(job *state.Job, zone string) bool {
	return !job.Spec.Colocate || isOnlyZone(e.countTasksByZone(job), zone)
}

// countTasksByZone returns the number of a job's live tasks in each zone. The result is
// empty if the job has no zone constraint. Tasks that are confirmed to be absent from
// their machine don't count, even if a record still lists them.
func (e *Eligibility) countTasksByZone(job *state.Job) map[string]int {
	zones := map[string]int{}
	if job.Spec.Colocate || job.Spec.Spread {
		for _, assignment := range job.Assignments {
			if machine := e.state.Machines[assignment.MachineID]; machine != nil && assignment.IsLive() {
				zones[machine.Zone]++
			}
		}
	}
	return zones
}

// avoids reports whether a job must not use a machine because a task of the job failed
// there. The result is false once tasks have failed on stopAvoidingMachineCount machines.
func avoids(job *state.Job, machine *state.Machine) bool {
	return len(job.FailedMachines) > 0 && len(job.FailedMachines) < stopAvoidingMachineCount && job.FailedMachines[machine.ID]
}

// isZoneAllowed reports whether a job's zone constraint allows one more task in a zone,
// given the number of its tasks in each zone.
func isZoneAllowed(spec *cluster.JobSpec, tasksByZone map[string]int, zone string) bool {
	if spec.Colocate && !isOnlyZone(tasksByZone, zone) {
		return false
	}
	return !spec.Spread || tasksByZone[zone] < (spec.Tasks+1)/2
}

// isOnlyZone reports whether no zone other than zone has tasks.
func isOnlyZone(tasksByZone map[string]int, zone string) bool {
	for other, tasks := range tasksByZone {
		if tasks > 0 && other != zone {
			return false
		}
	}
	return true
}
