package controller

import (
	"slices"

	"stairrelay/internal/cluster"
)

// jobRegistry is what this controller knows of all jobs.
//
// Every held job is known. A final state once known never changes, and a known
// job is never forgotten. A job is among another's dependents exactly once, and
// only if its record names that one.
type jobRegistry struct {
	known           map[cluster.JobID]*knownJob
	owned           map[cluster.JobID]*job            // of parts held here, until nothing of them is on a machine
	dependents      map[cluster.JobID][]cluster.JobID // jobs that await a job
	appliedRevision cluster.Revision                  // what was stored until then is known; 0: nothing was read yet
}

// knownJob is what is known of a job, whoever holds its part.
type knownJob struct {
	shard             cluster.ShardID
	finalStatus       cluster.JobStatus // or "" while it is unfinished
	finalSince        cluster.Time      // since when this process has known of its final state; longAgo: since it began
	finalRecorded     bool              // its own record says so; else it follows from that of a job that it needs
	tasks             int
	team              string
	resourceRequest   cluster.Resources // of a cancelled job
	spec              *cluster.JobSpec  // while it is unfinished, and its record was seen
	dependencies      []cluster.JobID
	effectivePriority cluster.Priority // its own, or that of one that needs it
	effectiveDeadline float64          // when it has to be done for itself and all that need it, as time of day; 0: any time
}

func newJobRegistry() jobRegistry {
	return jobRegistry{
		known:      map[cluster.JobID]*knownJob{},
		owned:      map[cluster.JobID]*job{},
		dependents: map[cluster.JobID][]cluster.JobID{},
	}
}

// register returns what is known of a job, and registers it when it is new.
func (r *jobRegistry) register(id cluster.JobID, part cluster.ShardID, team string, tasks int) *knownJob {
	k := r.known[id]
	if k == nil {
		k = &knownJob{shard: part, tasks: tasks, team: team}
		r.known[id] = k
	}
	return k
}

// distantPast is before any time that this process has seen.
const distantPast = -cluster.Time(1) << 62

// observedAt is since when a state that is learnt now counts as known. What the
// first reading shows was stored before this process began, perhaps long before.
func (r *jobRegistry) observedAt(now cluster.Time) cluster.Time {
	if r.appliedRevision == 0 {
		return distantPast
	}
	return now
}

// finalJob returns what is known of a job in a final state, or nil.
func (r *jobRegistry) finalJob(id cluster.JobID) *knownJob {
	if k := r.known[id]; k != nil && k.finalStatus != "" {
		return k
	}
	return nil
}

// owns tells whether a job is still the one held under its id.
func (r *jobRegistry) owns(j *job) bool { return r.owned[j.spec.ID] == j }

// addDependent notes that a job awaits another.
func (r *jobRegistry) addDependent(awaited, id cluster.JobID) {
	if !slices.Contains(r.dependents[awaited], id) {
		r.dependents[awaited] = append(r.dependents[awaited], id)
	}
}

// unmetDependencies tells which of the jobs that a job names are not known to be done.
func (r *jobRegistry) unmetDependencies(k *knownJob) []cluster.JobID {
	var open []cluster.JobID
	for _, id := range k.dependencies {
		if a := r.known[id]; a == nil || a.finalStatus != cluster.JobDone {
			open = append(open, id)
		}
	}
	return open
}

// isBlocked tells whether a job is known to wait for others.
func (r *jobRegistry) isBlocked(id cluster.JobID) bool {
	k := r.known[id]
	return k != nil && k.finalStatus == "" && len(r.unmetDependencies(k)) > 0
}

// inheritUrgency notes a priority and the time by which a job has to be done; false:
// nothing is more urgent than before.
func (k *knownJob) inheritUrgency(prio cluster.Priority, by float64) bool {
	more := false
	if prio > k.effectivePriority {
		k.effectivePriority, more = prio, true
	}
	if by > 0 && (k.effectiveDeadline == 0 || by < k.effectiveDeadline) {
		k.effectiveDeadline, more = by, true
	}
	return more
}
