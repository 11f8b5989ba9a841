package simulation

import (
	"maps"
	"slices"

	"stairrelay/internal/cluster"
)

// Job is a submitted job with the data that the simulation keeps about it.
type Job struct {
	Spec              cluster.JobSpec
	Info              JobInfo
	Accepted          bool
	ReportedStatus    cluster.JobStatus
	CancelPlanned     bool // the user will cancel it later
	CancelRequested   bool
	CancelConfirmedAt cluster.Time
	SubmittedAt       cluster.Time
	FirstStartAt      cluster.Time // when its first task started, or 0 if none has
	finalReportedAt   cluster.Time // when a final status was first reported to the user
	lastResponseAt    cluster.Time // when a request about it last got a response
	lastStartAt       cluster.Time // when one of its tasks last started
	starvingSince     cluster.Time // time since which the job has waited despite free capacity, or 0
}

// isUnfinished reports whether the job was accepted and no final status has been
// reported.
func (j *Job) isUnfinished() bool { return j.Accepted && !j.ReportedStatus.IsFinal() }

// jobTable holds the submitted jobs and the set of their tasks that are done.
type jobTable struct {
	// Jobs maps the job IDs to the submitted jobs.
	Jobs      map[cluster.JobID]*Job
	doneTasks map[cluster.TaskID]bool
}

func newJobTable() *jobTable {
	return &jobTable{Jobs: map[cluster.JobID]*Job{}, doneTasks: map[cluster.TaskID]bool{}}
}

// UnfinishedJobCount returns the number of jobs without a reported final status.
func (t *jobTable) UnfinishedJobCount() int {
	unfinished := 0
	for _, job := range t.Jobs {
		if !job.ReportedStatus.IsFinal() {
			unfinished++
		}
	}
	return unfinished
}

// sortedIDs returns the job IDs in sorted order, so that random choices do not
// depend on the iteration order of the map.
func (t *jobTable) sortedIDs() []cluster.JobID { return slices.Sorted(maps.Keys(t.Jobs)) }

// selectJobs returns the jobs that satisfy a predicate, sorted by ID.
func (t *jobTable) selectJobs(holds func(*Job) bool) []*Job {
	var selected []*Job
	for _, id := range t.sortedIDs() {
		if job := t.Jobs[id]; holds(job) {
			selected = append(selected, job)
		}
	}
	return selected
}

// lookupInfo returns the job information for a worker. It reports false if the job
// is unknown.
func (t *jobTable) lookupInfo(id cluster.JobID) (JobInfo, bool) {
	job := t.Jobs[id]
	if job == nil {
		return JobInfo{}, false
	}
	return job.Info, true
}

// findUndoneTask returns the index of a job's first task that is not done. It reports
// false if all tasks are done.
func (t *jobTable) findUndoneTask(job *Job) (int, bool) {
	for index := range job.Spec.Tasks {
		if !t.doneTasks[cluster.TaskID{Job: job.Spec.ID, Index: index}] {
			return index, true
		}
	}
	return 0, false
}

// transitiveDependencies returns all jobs that a job depends on, directly or
// indirectly.
func (t *jobTable) transitiveDependencies(job *Job) []*Job {
	var found []*Job
	seen := map[cluster.JobID]bool{}
	var visit func(*Job)
	visit = func(job *Job) {
		for _, id := range job.Spec.Dependencies {
			if dependency := t.Jobs[id]; dependency != nil && !seen[id] {
				seen[id] = true
				found = append(found, dependency)
				visit(dependency)
			}
		}
	}
	visit(job)
	return found
}

// mayBeCancelled reports whether the cancellation of a job, or of one of its
// transitive dependencies, has been requested.
func (t *jobTable) mayBeCancelled(job *Job) bool {
	return job.CancelRequested || slices.ContainsFunc(t.transitiveDependencies(job), func(dependency *Job) bool {
		return dependency.CancelRequested
	})
}
