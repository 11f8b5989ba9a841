package state

import (
	"slices"

	"stairrelay/internal/cluster"
)

// JobRegistry is what this controller knows of all jobs.
//
// Every owned job is known. A final status once known never changes, and a known
// job is never forgotten. A job is among another's dependents exactly once, and
// only if its record names that one.
type JobRegistry struct {
	// Known are all jobs of which anything was heard, whoever owns their shards.
	Known map[cluster.JobID]*KnownJob
	// Owned are the jobs of the owned shards, until no machine lists a task of them.
	Owned map[cluster.JobID]*Job
	// Dependents are the jobs whose records name a job as a dependency.
	Dependents map[cluster.JobID][]cluster.JobID
	// AppliedRevision is up to which revision of the state service the jobs' own
	// records are known; 0: nothing was read yet.
	AppliedRevision cluster.Revision
}

// KnownJob is what is known of a job, whoever owns its shard.
type KnownJob struct {
	ShardID         cluster.ShardID
	FinalStatus     cluster.JobStatus // or "" while it is unfinished
	FinalSince      cluster.Time      // since when this process has known its final status; DistantPast: since it began
	FinalRecorded   bool              // its own record says so; else it follows from that of a dependency
	Tasks           int
	Team            string
	ResourceRequest cluster.Resources // of a cancelled job
	Spec            *cluster.JobSpec  // while it is unfinished, and its record was seen
	Dependencies    []cluster.JobID

	// EffectivePriority and EffectiveDeadline are the most urgent of its own and of
	// those of all its dependents. The deadline is in milliseconds of the time of
	// day; 0: there is none.
	EffectivePriority cluster.Priority
	EffectiveDeadline float64
}

// NewJobRegistry makes a registry that knows no job.
func NewJobRegistry() JobRegistry {
	return JobRegistry{
		Known:      map[cluster.JobID]*KnownJob{},
		Owned:      map[cluster.JobID]*Job{},
		Dependents: map[cluster.JobID][]cluster.JobID{},
	}
}

// Register returns what is known of a job, and registers it when it is new.
func (r *JobRegistry) Register(id cluster.JobID, shard cluster.ShardID, team string, tasks int) *KnownJob {
	known := r.Known[id]
	if known == nil {
		known = &KnownJob{ShardID: shard, Tasks: tasks, Team: team}
		r.Known[id] = known
	}
	return known
}

// DistantPast is before any time that this process has seen.
const DistantPast = -cluster.Time(1) << 62

// ObservedAt is since when a state that is learnt now counts as known. What the
// first read shows was stored before this process began, perhaps long before.
func (r *JobRegistry) KnownSince(now cluster.Time) cluster.Time {
	if r.AppliedRevision == 0 {
		return DistantPast
	}
	return now
}

// FinalJob returns what is known of a job in a final status, or nil.
func (r *JobRegistry) FinalJob(id cluster.JobID) *KnownJob {
	if known := r.Known[id]; known != nil && known.FinalStatus != "" {
		return known
	}
	return nil
}

// Owns tells whether a job is still the one that is served under its id: its shard may
// have been lost, and acquired again, since the job was read.
func (r *JobRegistry) Owns(job *Job) bool { return r.Owned[job.Spec.ID] == job }

// AddDependent notes that a job depends on another.
func (r *JobRegistry) AddDependent(dependency, id cluster.JobID) {
	if !slices.Contains(r.Dependents[dependency], id) {
		r.Dependents[dependency] = append(r.Dependents[dependency], id)
	}
}

// UnmetDependencies tells which of a job's dependencies are not known to be done.
func (r *JobRegistry) UnmetDependencies(known *KnownJob) []cluster.JobID {
	var unmet []cluster.JobID
	for _, id := range known.Dependencies {
		if dependency := r.Known[id]; dependency == nil || dependency.FinalStatus != cluster.JobDone {
			unmet = append(unmet, id)
		}
	}
	return unmet
}

// IsBlocked tells whether a job is known to wait for others.
func (r *JobRegistry) IsBlocked(id cluster.JobID) bool {
	known := r.Known[id]
	return known != nil && known.FinalStatus == "" && len(r.UnmetDependencies(known)) > 0
}

// InheritUrgency takes over a priority and the time by which the job has to be done;
// false: nothing is more urgent than before.
func (k *KnownJob) InheritUrgency(priority cluster.Priority, deadline float64) bool {
	changed := false
	if priority > k.EffectivePriority {
		k.EffectivePriority, changed = priority, true
	}
	if deadline > 0 && (k.EffectiveDeadline == 0 || deadline < k.EffectiveDeadline) {
		k.EffectiveDeadline, changed = deadline, true
	}
	return changed
}
