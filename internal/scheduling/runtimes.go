package scheduling

import (
	"stairrelay/internal/eventloop"
	"stairrelay/internal/state"
)

// Limits for smoothing the relative pace of a machine and the run time ratio of a class.
// The minimum weight of a sample lets the averages follow changes, and the maximum value
// of a sample limits the effect of outliers.
const (
	minPaceWeight        = 0.3
	maxPace              = 10
	minRatioWeight       = 0.05
	maxRatio             = 5
	minRunsToComparePace = 2 // completed tasks of the job
)

// unstartedAllowanceSeconds is added to the expected run time of a task that is not
// running yet.
const unstartedAllowanceSeconds = 2

// minRemainingShare is the minimum remaining time of a task as a fraction of its expected
// run time.
const minRemainingShare = 0.1

// Runtimes predicts how long tasks run. It corrects the users' estimates by the ratio of
// actual to estimated run times, which tends to be similar within a class of jobs.
type Runtimes struct {
	loop    *eventloop.Loop
	classes map[string]*classRuntimes
}

// classRuntimes holds the statistics of a class of jobs.
type classRuntimes struct {
	ratio float64 // actual to estimated run time, smoothed
	runs  int
}

func newRuntimes(loop *eventloop.Loop) *Runtimes {
	return &Runtimes{loop: loop, classes: map[string]*classRuntimes{}}
}

func (r *Runtimes) class(name string) *classRuntimes {
	class := r.classes[name]
	if class == nil {
		class = &classRuntimes{ratio: 1}
		r.classes[name] = class
	}
	return class
}

// RuntimeRatio returns the smoothed ratio of actual to estimated run times of a class. It
// is 1 if no task of the class has completed.
func (r *Runtimes) RuntimeRatio(class string) float64 { return r.class(class).ratio }

// ExpectedSeconds returns the expected run time of a task of a job.
func (r *Runtimes) ExpectedSeconds(job *state.Job) float64 {
	return job.Spec.RuntimeSeconds * r.RuntimeRatio(job.Spec.Class)
}

// ExpectedRemainingSeconds returns how much longer an assigned task is expected to run.
func (r *Runtimes) ExpectedRemainingSeconds(assignment *state.Assignment) float64 {
	expected := r.ExpectedSeconds(assignment.Job)
	if assignment.RunningSince == 0 {
		return expected + unstartedAllowanceSeconds
	}
	elapsed := (r.loop.Now() - assignment.RunningSince).Seconds()
	return max(expected-elapsed, expected*minRemainingShare)
}

// RecordRuntime updates the statistics of a machine, a job and its class when a task has
// completed. It ignores tasks whose whole run was not observed and jobs without an estimate.
func (r *Runtimes) RecordRuntime(machine *state.Machine, assignment *state.Assignment) {
	job := assignment.Job
	// Only complete runs with an observed start count. A requeued task may resume from a
	// checkpoint and run for a shorter time, and the start time of a task that an earlier
	// owner started is unknown.
	if assignment.RunningSince == 0 || job.Spec.RuntimeSeconds <= 0 || assignment.StartUnobserved || job.RequeuedTasks[assignment.Task.Index] {
		return
	}
	runSeconds := (r.loop.Now() - assignment.RunningSince).Seconds()
	if job.CompletedRuns >= minRunsToComparePace {
		// Tasks of the same job are the best comparison for a machine's speed.
		weight := max(minPaceWeight, 1/float64(machine.PaceSamples+1))
		machine.RelativePace += weight * (min(runSeconds/(job.TotalRunSeconds/float64(job.CompletedRuns)), maxPace) - machine.RelativePace)
		machine.PaceSamples++
	}
	job.CompletedRuns++
	job.TotalRunSeconds += runSeconds
	class := r.class(job.Spec.Class)
	class.runs++
	weight := max(minRatioWeight, 1/float64(class.runs+1))
	class.ratio += weight * (min(runSeconds/job.Spec.RuntimeSeconds, maxRatio) - class.ratio)
}
