package scheduling

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// maxFailedMachines is on how many machines a job must have failed for the fault to
// be its own: from then on it avoids none.
const maxFailedMachines = 3

// Eligibility tells which machines may get tasks, and which of them a job may use.
type Eligibility struct {
	*shared
	spot *SpotPreference
}

// IsSchedulable tells whether new tasks may be started on a machine.
func (e *Eligibility) IsSchedulable(machine *state.Machine) bool {
	now := e.loop.Now()
	return machine.TokenAcknowledged &&
		!machine.Booting && !machine.Draining && !machine.Releasing &&
		!machine.StartInDoubt && !machine.RaisingToken &&
		now >= machine.NoStartsBefore &&
		now-machine.LastHeartbeat < 2*e.config.HeartbeatInterval+second
}

// IsAllowedOn tells whether a job may use a machine.
func (e *Eligibility) IsAllowedOn(job *state.Job, machine *state.Machine) bool {
	return e.isKindAllowed(job, machine.MachineType, machine.Zone, machine.Spot) && !avoids(job, machine)
}

// IsOptionAllowed tells whether a job may use a machine that the cloud may have.
func (e *Eligibility) IsOptionAllowed(job *state.Job, option state.ProvisioningOption) bool {
	return e.satisfiesColocation(job, option.Zone) && e.isKindAllowed(job, option.Type, option.Zone, option.Spot)
}

// isKindAllowed tells whether a job may use machines of a type in a zone.
func (e *Eligibility) isKindAllowed(job *state.Job, machineType, zone string, spot bool) bool {
	return (job.Spec.Spot || !spot) && job.Spec.AllowsMachineType(e.state.MachineTypes[machineType], zone)
}

// CanUseMachine tells whether a job may use a machine as far as that is to be emptied
// because of its price: only a job to which the cheaper ones are a risk may.
func (e *Eligibility) IsAllowedDespiteScaleIn(job *state.Job, machine *state.Machine) bool {
	return !machine.ScaleInCandidate || !machine.Spot && e.spot.IsOnDemandWorthImageFetch(job)
}

// isZoneReachable tells whether the tasks that a job has allow more of them in a zone,
// as far as they have to be in one.
func (e *Eligibility) satisfiesColocation(job *state.Job, zone string) bool {
	return !job.Spec.Colocate || isOnlyZone(e.countTasksByZone(job), zone)
}

// countTasksByZone counts a job's tasks by zone, where its rules ask for that. Those
// that are confirmed absent don't count, though a record may still list them.
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

// avoids tells whether a job has failed on a machine and may try others.
func avoids(job *state.Job, machine *state.Machine) bool {
	return len(job.FailedMachines) > 0 && len(job.FailedMachines) < maxFailedMachines && job.FailedMachines[machine.ID]
}

// isZoneAllowed tells whether a job's rules allow one more of its tasks in a zone,
// given its tasks by zone.
func isZoneAllowed(spec *cluster.JobSpec, tasksByZone map[string]int, zone string) bool {
	if spec.Colocate && !isOnlyZone(tasksByZone, zone) {
		return false
	}
	return !spec.Spread || tasksByZone[zone] < (spec.Tasks+1)/2
}

// isOnlyZone tells whether no other zone has tasks.
func isOnlyZone(tasksByZone map[string]int, zone string) bool {
	for other, tasks := range tasksByZone {
		if tasks > 0 && other != zone {
			return false
		}
	}
	return true
}
