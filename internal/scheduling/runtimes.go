package scheduling

import (
	"stairrelay/internal/eventloop"
	"stairrelay/internal/state"
)

// The weights of a new run time in the smoothed ratios do not fall below these, so
// that the estimates follow changes; the ratios are capped, so that one run does not
// spoil them.
const (
	minPaceWeight        = 0.3
	maxPace              = 10
	minRatioWeight       = 0.05
	maxRatio             = 5
	minRunsToComparePace = 2
)

// unstartedAllowanceSeconds is added to the run time of a task that is not running
// yet.
const unstartedAllowanceSeconds = 2

// minRemainingShare is the share of its expected run time that a task is taken to
// have left at least.
const minRemainingShare = 0.1

// RunTimes estimates how long tasks run, from those that have run. The estimates
// that users give are often wrong in the same way for a whole day, by class.
type RunTimes struct {
	loop    *eventloop.Loop
	classes map[string]*classRunTimes
}

// classRunTimes is what is learned of a class of jobs.
type classRunTimes struct {
	ratio float64 // run time over estimate, smoothed
	runs  int
}

func newRunTimes(loop *eventloop.Loop) *RunTimes {
	return &RunTimes{loop: loop, classes: map[string]*classRunTimes{}}
}

func (r *RunTimes) class(name string) *classRunTimes {
	class := r.classes[name]
	if class == nil {
		class = &classRunTimes{ratio: 1}
		r.classes[name] = class
	}
	return class
}

// RuntimeRatio is how much longer the tasks of a class run than their users estimate.
func (r *RunTimes) RuntimeRatio(class string) float64 { return r.class(class).ratio }

// ExpectedSeconds is a job's run time per task as far as is known.
func (r *RunTimes) ExpectedSeconds(job *state.Job) float64 {
	return job.Spec.RuntimeSeconds * r.RuntimeRatio(job.Spec.Class)
}

// ExpectedRemainingSeconds is how long an assigned task will still take.
func (r *RunTimes) ExpectedRemainingSeconds(assignment *state.Assignment) float64 {
	expected := r.ExpectedSeconds(assignment.Job)
	if assignment.RunningSince == 0 {
		return expected + unstartedAllowanceSeconds
	}
	elapsed := (r.loop.Now() - assignment.RunningSince).Seconds()
	return max(expected-elapsed, expected*minRemainingShare)
}

// RecordRuntime takes in the run time of a task that has completed on a machine.
func (r *RunTimes) RecordRuntime(machine *state.Machine, assignment *state.Assignment) {
	job := assignment.Job
	// Only whole runs that were seen from their start tell anything: a task that
	// resumes from a checkpoint has less to do, and the start of one that an earlier
	// owner started was not seen.
	if assignment.RunningSince == 0 || job.Spec.RuntimeSeconds <= 0 || assignment.StartUnobserved || job.RestartedTasks[assignment.Task.Index] {
		return
	}
	runSeconds := (r.loop.Now() - assignment.RunningSince).Seconds()
	if job.CompletedRuns >= minRunsToComparePace {
		// Against its own job's other tasks a machine's speed shows best.
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
