package state

import (
	"slices"

	"stairrelay/internal/cluster"
)

// JobRegistry is what this controller knows of all jobs.
//
// Every held job is known. A final state once known never changes, and a known
// job is never forgotten. A job is among another's dependents exactly once, and
// only if its record names that one.
type JobRegistry struct {
	Known           map[cluster.JobID]*KnownJob
	Owned           map[cluster.JobID]*Job            // of parts held here, until nothing of them is on a machine
	Dependents      map[cluster.JobID][]cluster.JobID // jobs that await a job
	AppliedRevision cluster.Revision                  // what was stored until then is known; 0: nothing was read yet
}

// KnownJob is what is known of a job, whoever holds its part.
type KnownJob struct {
	ShardID           cluster.ShardID
	FinalStatus       cluster.JobStatus // or "" while it is unfinished
	FinalSince        cluster.Time      // since when this process has known of its final state; longAgo: since it began
	FinalRecorded     bool              // its own record says so; else it follows from that of a job that it needs
	Tasks             int
	Team              string
	ResourceRequest   cluster.Resources // of a cancelled job
	Spec              *cluster.JobSpec  // while it is unfinished, and its record was seen
	Dependencies      []cluster.JobID
	EffectivePriority cluster.Priority // its own, or that of one that needs it
	EffectiveDeadline float64          // when it has to be done for itself and all that need it, as time of day; 0: any time
}

func NewJobRegistry() JobRegistry {
	return JobRegistry{
		Known:      map[cluster.JobID]*KnownJob{},
		Owned:      map[cluster.JobID]*Job{},
		Dependents: map[cluster.JobID][]cluster.JobID{},
	}
}

// Register returns what is known of a job, and registers it when it is new.
func (r *JobRegistry) Register(id cluster.JobID, part cluster.ShardID, team string, tasks int) *KnownJob {
	k := r.Known[id]
	if k == nil {
		k = &KnownJob{ShardID: part, Tasks: tasks, Team: team}
		r.Known[id] = k
	}
	return k
}

// DistantPast is before any time that this process has seen.
const DistantPast = -cluster.Time(1) << 62

// ObservedAt is since when a state that is learnt now counts as known. What the
// first reading shows was stored before this process began, perhaps long before.
func (r *JobRegistry) ObservedAt(now cluster.Time) cluster.Time {
	if r.AppliedRevision == 0 {
		return DistantPast
	}
	return now
}

// FinalJob returns what is known of a job in a final state, or nil.
func (r *JobRegistry) FinalJob(id cluster.JobID) *KnownJob {
	if k := r.Known[id]; k != nil && k.FinalStatus != "" {
		return k
	}
	return nil
}

// Owns tells whether a job is still the one held under its id.
func (r *JobRegistry) Owns(j *Job) bool { return r.Owned[j.Spec.ID] == j }

// AddDependent notes that a job awaits another.
func (r *JobRegistry) AddDependent(awaited, id cluster.JobID) {
	if !slices.Contains(r.Dependents[awaited], id) {
		r.Dependents[awaited] = append(r.Dependents[awaited], id)
	}
}

// UnmetDependencies tells which of the jobs that a job names are not known to be done.
func (r *JobRegistry) UnmetDependencies(k *KnownJob) []cluster.JobID {
	var open []cluster.JobID
	for _, id := range k.Dependencies {
		if a := r.Known[id]; a == nil || a.FinalStatus != cluster.JobDone {
			open = append(open, id)
		}
	}
	return open
}

// IsBlocked tells whether a job is known to wait for others.
func (r *JobRegistry) IsBlocked(id cluster.JobID) bool {
	k := r.Known[id]
	return k != nil && k.FinalStatus == "" && len(r.UnmetDependencies(k)) > 0
}

// InheritUrgency notes a priority and the time by which a job has to be done; false:
// nothing is more urgent than before.
func (k *KnownJob) InheritUrgency(prio cluster.Priority, by float64) bool {
	more := false
	if prio > k.EffectivePriority {
		k.EffectivePriority, more = prio, true
	}
	if by > 0 && (k.EffectiveDeadline == 0 || by < k.EffectiveDeadline) {
		k.EffectiveDeadline, more = by, true
	}
	return more
}
