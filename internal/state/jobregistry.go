package state

import "stairrelay/internal/cluster"

// JobRegistry holds the jobs of all shards that this controller knows.
//
// Every owned job is known. A final status never changes once it is known, and a known
// job is never removed. A job is listed as a dependent of another job at most once, and
// only if its own record names the other job as a dependency.
type JobRegistry struct {
	// Known holds all known jobs, whichever controller owns their shards.
	Known map[cluster.JobID]*KnownJob
	// Owned holds the jobs of the owned shards. A job is kept until its final status is
	// stored and none of its tasks is assigned.
	Owned map[cluster.JobID]*Job
	// Dependents maps a job to the jobs whose records name it as a dependency.
	Dependents map[cluster.JobID][]cluster.JobID
	// Unseen holds the jobs that a known job depends on and whose record has not been read.
	// It is empty but for the moments in which records arrive out of order.
	Unseen map[cluster.JobID]bool
	// AppliedRevision is the store revision up to which the jobs' own records have been
	// applied. It is 0 until the first read has been applied.
	AppliedRevision cluster.Revision
}

// KnownJob is a known job of any shard.
type KnownJob struct {
	ShardID         cluster.ShardID
	FinalStatus     cluster.JobStatus // empty while unfinished
	FinalSince      cluster.Time      // when this process learned the final status; DistantPast if the first read showed the status
	FinalRecorded   bool              // the job's own record contains the final status; otherwise a final status follows from that of a dependency
	Tasks           int
	Team            string
	ResourceRequest cluster.Resources // request of each task; known only if the job was cancelled
	Spec            *cluster.JobSpec  // nil if the job is finished or its record has not been read
	Dependencies    []cluster.JobID   // without duplicates

	// CancellationAnnounced is whether the owners of the job's dependents were notified
	// that the job, or one that it depends on, was cancelled.
	CancellationAnnounced bool
	metDependencies       int // the first dependencies of the list that are known to be done

	// EffectivePriority and EffectiveDeadline are the highest priority and the earliest
	// deadline among the job and all its dependents. The deadline is a Unix time in
	// milliseconds, or 0 if there is none.
	EffectivePriority cluster.Priority
	EffectiveDeadline float64
}

// NewJobRegistry returns an empty registry.
func NewJobRegistry() JobRegistry {
	return JobRegistry{
		Known:      map[cluster.JobID]*KnownJob{},
		Owned:      map[cluster.JobID]*Job{},
		Dependents: map[cluster.JobID][]cluster.JobID{},
		Unseen:     map[cluster.JobID]bool{},
	}
}

// Register returns the entry of a job. It adds the entry if the job is not known yet.
func (r *JobRegistry) Register(id cluster.JobID, shard cluster.ShardID, team string, tasks int) *KnownJob {
	known := r.Known[id]
	if known == nil {
		known = &KnownJob{ShardID: shard, Tasks: tasks, Team: team}
		r.Known[id] = known
		delete(r.Unseen, id)
	}
	return known
}

// DistantPast is earlier than any time that this process observes.
const DistantPast = -cluster.Time(1) << 62

// KnownSince returns the time from which a status that is learned now counts as known. It
// is DistantPast during the first read, whose results may have been stored long before
// this process started.
func (r *JobRegistry) KnownSince(now cluster.Time) cluster.Time {
	if r.AppliedRevision == 0 {
		return DistantPast
	}
	return now
}

// FinalJob returns the entry of a job, or nil if it is not known to have a final status.
func (r *JobRegistry) FinalJob(id cluster.JobID) *KnownJob {
	if known := r.Known[id]; known != nil && known.FinalStatus != "" {
		return known
	}
	return nil
}

// Owns reports whether job is the current object of an owned job. The result is false if
// the job's shard was lost after the object was created, even if the shard has been
// acquired again.
func (r *JobRegistry) Owns(job *Job) bool { return r.Owned[job.Spec.ID] == job }

// AddDependent records that the job id depends on dependency. It must be called once for
// each dependency of a job.
func (r *JobRegistry) AddDependent(dependency, id cluster.JobID) {
	r.Dependents[dependency] = append(r.Dependents[dependency], id)
	if r.Known[dependency] == nil {
		r.Unseen[dependency] = true
	}
}

// HasUnmetDependency reports whether a dependency of a job is not known to be done. Since a
// final status never changes, each call continues after the dependencies that the earlier
// calls found done.
func (r *JobRegistry) HasUnmetDependency(known *KnownJob) bool {
	for ; known.metDependencies < len(known.Dependencies); known.metDependencies++ {
		dependency := r.Known[known.Dependencies[known.metDependencies]]
		if dependency == nil || dependency.FinalStatus != cluster.JobDone {
			return true
		}
	}
	return false
}

// IsBlocked reports whether a job is known, unfinished and has unmet dependencies.
func (r *JobRegistry) IsBlocked(id cluster.JobID) bool {
	known := r.Known[id]
	return known != nil && known.FinalStatus == "" && r.HasUnmetDependency(known)
}

// InheritUrgency raises the effective priority and advances the effective deadline to
// the given values if they are more urgent. It reports whether either has changed.
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
