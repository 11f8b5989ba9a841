package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"stairrelay/internal/cluster"
)

// The protocol's rules, checked as the simulated cluster runs.

// Job is a submitted job with all that its user was told.
type Job struct {
	Spec              cluster.JobSpec
	Info              JobInfo
	Accepted          bool
	ReportedStatus    cluster.JobStatus
	CancelRequested   bool
	CancelConfirmedAt cluster.Time
	SubmittedAt       cluster.Time
	FirstStartAt      cluster.Time // when its first task started; 0: not yet
	finalReportedAt   cluster.Time
	lastAnswerAt      cluster.Time // when a question about it was last answered
	CancelPlanned     bool         // its user has a cancellation in mind
	lastStartAt       cluster.Time // when a task of it last started
	starvingSince     cluster.Time // since when it waits with room for it; 0: it doesn't
}

// reportViolation notes a broken rule; the day ends there.
func (w *Simulator) reportViolation(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("%v: ", time.Duration(w.Now))+fmt.Sprintf(format, args...))
}

// runPeriodicChecks starts the workers of machines that came up, ends tasks whose time has
// come and checks the rules that hold at every moment.
func (w *Simulator) runPeriodicChecks() {
	for _, l := range w.Cloud.CompleteBoots(w.Now) {
		w.startWorker(l)
	}
	for _, id := range w.liveMachineIDs() {
		l := w.Workers[id]
		if w.Now >= l.hungUntil && l.Advance(w.Now) {
			w.scheduleHeartbeat(l)
		}
	}
	w.checkQuotasAndCancellations()
	w.checkForgotten()
	w.checkStarvation()
}

// checkForgotten: once all troubles are over, somebody answers about every
// accepted job within 75 s.
func (w *Simulator) checkForgotten() {
	if w.FaultsOverAt == 0 || w.Now < w.FaultsOverAt {
		return
	}
	for _, j := range w.Jobs {
		if j.Accepted && w.Now-max(w.FaultsOverAt, j.lastAnswerAt) > 75*second {
			w.reportViolation("forgotten: no question about %s was answered for 75 s", j.Spec.ID)
			return
		}
	}
}

// handleTaskStart checks the rules that a task's start may break.
func (w *Simulator) handleTaskStart(on *FakeWorker, task *Task) {
	w.Log(fmt.Sprintf("%s runs %s attempt %d", on.ID, task.ID, task.Attempt))
	job := w.Jobs[task.ID.Job]
	if job == nil {
		w.reportViolation("%s started, no such job", task.ID)
		return
	}
	if job.FirstStartAt == 0 {
		job.FirstStartAt = w.Now
	}
	job.lastStartAt = w.Now
	w.checkDependenciesDone(job)
	w.checkRunsOnce(on, task)
	w.checkPlacement(on, task, job)
	if !w.NoRandomFaults {
		w.checkQuotasAndCancellations()
	}
	w.checkStartAfterCancel(task, job)
}

// checkRunsOnce: a task does not start on a machine while it is on another.
func (w *Simulator) checkRunsOnce(on *FakeWorker, task *Task) {
	// What runs has started, so only the machines on which it did matter.
	startedOn := w.startedOn[task.ID]
	if !slices.Contains(startedOn, on.ID) {
		w.startedOn[task.ID] = append(startedOn, on.ID)
	}
	for _, id := range startedOn {
		live := w.Workers[id]
		if live == nil || live.removed {
			continue
		}
		other := live.Tasks[task.ID]
		if live.ID != on.ID && other != nil && other.State != cluster.Ended && other.State != cluster.Fetching {
			w.reportViolation("ran_twice: %s starts on %s (attempt %d) while on %s (attempt %d)", task.ID, on.ID, task.Attempt, live.ID, other.Attempt)
		}
	}
}

// checkPlacement: a task starts where its job allows, given the job's other tasks.
func (w *Simulator) checkPlacement(on *FakeWorker, task *Task, job *Job) {
	s := job.Spec
	if s.Zone != "" && s.Zone != on.Zone || on.Spot && !s.Spot || len(s.MachineTypes) > 0 && !slices.Contains(s.MachineTypes, on.Type) {
		w.reportViolation("wrong_place: %s on %s", task.ID, on.ID)
	}
	if !s.Colocate && !s.Spread {
		return
	}
	zones := w.countTasksByZone(task.ID.Job)
	if s.Colocate && len(zones) > 1 {
		w.reportViolation("wrong_place: %s in more than one zone", task.ID)
	}
	if s.Spread && zones[on.Zone] > (s.Tasks+1)/2 {
		w.reportViolation("wrong_place: %s has %d of %d tasks in %s", task.ID, zones[on.Zone], s.Tasks, on.Zone)
	}
}

// countTasksByZone counts the tasks of a job that are on machines.
func (w *Simulator) countTasksByZone(job cluster.JobID) map[string]int {
	zones := map[string]int{}
	for _, id := range w.liveMachineIDs() {
		live := w.Workers[id]
		for _, task := range live.Tasks {
			if task.ID.Job == job && task.isOnMachine() {
				zones[live.Zone]++
			}
		}
	}
	return zones
}

// checkStartAfterCancel: no task starts long after its user was told that the
// job is cancelled.
func (w *Simulator) checkStartAfterCancel(task *Task, job *Job) {
	if job.CancelConfirmedAt == 0 {
		return
	}
	w.FaultCounts["starts after a confirmed cancellation"]++
	if w.Now-job.CancelConfirmedAt > w.config.CancelDeadline {
		w.reportViolation("ran_cancelled: %s starts", task.ID)
	}
}

// isOnMachine tells whether the task uses its machine as the rules count it.
func (t *Task) isOnMachine() bool {
	return t.State == cluster.Running || t.State == cluster.Checkpointing
}

// checkQuotasAndCancellations checks what is on all machines now against the limits of the
// teams and the cancellations that users were told of.
func (w *Simulator) checkQuotasAndCancellations() {
	use := map[string]cluster.Amount{}
	for _, id := range w.liveMachineIDs() {
		for _, task := range w.Workers[id].Tasks {
			if !task.isOnMachine() {
				continue
			}
			job := w.Jobs[task.ID.Job]
			use[job.Spec.Team] += job.Spec.ResourceRequest.CPU
			if job.CancelConfirmedAt > 0 && w.Now-job.CancelConfirmedAt > w.config.CancelDeadline && !w.canOnlyLeaseStop(job, w.Workers[id]) {
				w.reportViolation("ran_cancelled: %s is on %s", task.ID, id)
			}
		}
	}
	for _, team := range w.config.Teams {
		if use[team.Name] > team.QuotaLimit.CPU {
			w.reportViolation("quota: %s uses %d:%s", team.Name, use[team.Name], w.describeTeamTasks(team.Name))
		}
	}
}

// describeTeamTasks lists a team's tasks on machines, to tell what broke its limit.
func (w *Simulator) describeTeamTasks(team string) string {
	var list strings.Builder
	for _, id := range w.liveMachineIDs() {
		for _, task := range w.Workers[id].sortedTasks() {
			if task.isOnMachine() && w.Jobs[task.ID.Job].Spec.Team == team {
				fmt.Fprintf(&list, " %s(%d)@%s", task.ID, task.Attempt, id)
			}
		}
	}
	return list.String()
}
