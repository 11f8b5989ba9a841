package simulation

import (
	"maps"
	"slices"

	"stairrelay/internal/cluster"
)

// Job is a submitted job with all that was reported to its user.
type Job struct {
	Spec              cluster.JobSpec
	Info              JobInfo
	Accepted          bool
	ReportedStatus    cluster.JobStatus
	CancelPlanned     bool // its user is going to cancel it
	CancelRequested   bool
	CancelConfirmedAt cluster.Time
	SubmittedAt       cluster.Time
	FirstStartAt      cluster.Time // when its first task started; 0: not yet
	finalReportedAt   cluster.Time // when its end was reported to the user
	lastAnswerAt      cluster.Time // when a query about it was last answered
	lastStartAt       cluster.Time // when a task of it last started
	starvingSince     cluster.Time // since when it waits although there is room; 0: it does not
}

// isUnfinished tells whether the job was reported as accepted, but not its end.
func (j *Job) isUnfinished() bool { return j.Accepted && !j.ReportedStatus.IsFinal() }

// jobTable holds the submitted jobs, and which of their tasks are done.
type jobTable struct {
	// Jobs holds the jobs by their IDs.
	Jobs      map[cluster.JobID]*Job
	doneTasks map[cluster.TaskID]bool
}

func newJobTable() *jobTable {
	return &jobTable{Jobs: map[cluster.JobID]*Job{}, doneTasks: map[cluster.TaskID]bool{}}
}

// UnfinishedJobCount counts the jobs whose users wait.
func (t *jobTable) UnfinishedJobCount() int {
	unfinished := 0
	for _, job := range t.Jobs {
		if !job.ReportedStatus.IsFinal() {
			unfinished++
		}
	}
	return unfinished
}

// sortedIDs lists the jobs in order, so that draws don't depend on the map's order.
func (t *jobTable) sortedIDs() []cluster.JobID { return slices.Sorted(maps.Keys(t.Jobs)) }

// selectJobs lists in order the jobs for which something holds.
func (t *jobTable) selectJobs(holds func(*Job) bool) []*Job {
	var selected []*Job
	for _, id := range t.sortedIDs() {
		if job := t.Jobs[id]; holds(job) {
			selected = append(selected, job)
		}
	}
	return selected
}

// lookupInfo is what a worker fetches of a job.
func (t *jobTable) lookupInfo(id cluster.JobID) (JobInfo, bool) {
	job := t.Jobs[id]
	if job == nil {
		return JobInfo{}, false
	}
	return job.Info, true
}

// findUndoneTask finds a task of a job that is not done.
func (t *jobTable) findUndoneTask(job *Job) (int, bool) {
	for index := range job.Spec.Tasks {
		if !t.doneTasks[cluster.TaskID{Job: job.Spec.ID, Index: index}] {
			return index, true
		}
	}
	return 0, false
}

// transitiveDependencies lists all jobs that a job needs, directly or through others.
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

// mayBeCancelled tells whether a job's user, or that of a job that it needs, has
// asked for it to be cancelled.
func (t *jobTable) mayBeCancelled(job *Job) bool {
	return job.CancelRequested || slices.ContainsFunc(t.transitiveDependencies(job), func(dependency *Job) bool {
		return dependency.CancelRequested
	})
}
