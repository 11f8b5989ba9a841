package scheduling

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// completeTask runs the job's next pending task on a machine and completes the task after
// the given number of seconds.
func (f *fixture) completeTask(job *state.Job, machine *state.Machine, seconds cluster.Time) {
	assignment := f.addRunningTask(job, machine)
	assignment.RunningSince = f.loop.Now()
	f.loop.Begin(f.loop.Now()+seconds*second, f.loop.WallTime())
	f.Runtimes.RecordRuntime(machine, assignment)
	machine.MarkEnded(assignment, cluster.CauseCompleted)
	job.SetCompleted(assignment.Task.Index)
}

// TestRuntimeRatio checks that the expected run time of a class follows the actual run
// times of its tasks.
func TestRuntimeRatio(t *testing.T) {
	f := newFixture()
	machine := f.addMachine("m-1")
	f.loop.Begin(second, 1_000_000)
	job := f.addJob(cluster.JobSpec{ID: "j", Class: "c", Tasks: 9, RuntimeSeconds: 10})
	if got := f.Runtimes.ExpectedSeconds(job); got != 10 {
		t.Errorf("%v s expected before any task has completed, want the estimate of 10 s", got)
	}
	f.completeTask(job, machine, 30)
	if got := f.Runtimes.RuntimeRatio("c"); got != 2 {
		t.Errorf("ratio %v after one run of three times the estimate, want 2, the mean of 1 and 3", got)
	}
	if got := f.Runtimes.ExpectedSeconds(job); got != 20 {
		t.Errorf("%v s expected, want 20", got)
	}
	if got := f.Runtimes.RuntimeRatio("other"); got != 1 {
		t.Errorf("ratio %v of another class, want 1", got)
	}
}

// TestPartialRunsAreIgnored checks that runs that may be incomplete, whose start was not
// observed or that have no estimate don't affect the expected run times.
func TestPartialRunsAreIgnored(t *testing.T) {
	for name, change := range map[string]func(*state.Assignment){
		"not observed":       func(a *state.Assignment) { a.RunningSince = 0 },
		"start not observed": func(a *state.Assignment) { a.StartUnobserved = true },
		"requeued":           func(a *state.Assignment) { a.Job.RequeuedTasks[a.Task.Index] = true },
		"no estimate":        func(a *state.Assignment) { a.Job.Spec.RuntimeSeconds = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			machine := f.addMachine("m-1")
			job := f.addJob(cluster.JobSpec{ID: "j", Class: "c", Tasks: 1, RuntimeSeconds: 10})
			assignment := f.addRunningTask(job, machine)
			assignment.RunningSince = second
			f.loop.Begin(31*second, 1_000_000)
			change(assignment)
			f.Runtimes.RecordRuntime(machine, assignment)
			if ratio := f.Runtimes.RuntimeRatio("c"); ratio != 1 || job.CompletedRuns != 0 {
				t.Errorf("ratio %v with %d completed runs, want 1 with none", ratio, job.CompletedRuns)
			}
		})
	}
}

// TestExpectedRemainingSeconds checks the expected remaining run time of tasks that have
// not started yet, run as expected or run longer.
func TestExpectedRemainingSeconds(t *testing.T) {
	f := newFixture()
	job := f.addJob(cluster.JobSpec{ID: "j", Tasks: 1, RuntimeSeconds: 20})
	assignment := f.addRunningTask(job, f.addMachine("m-1"))
	for _, test := range []struct {
		runningSince, now cluster.Time
		want              float64
	}{
		{0, 2 * second, 22},               // not started: the expected 20 s and an allowance for the start
		{second, 6 * second, 15},          // has run for 5 s of the expected 20 s
		{second, 100 * second, 20.0 / 10}, // has run for longer than expected: a tenth of the expected 20 s
	} {
		assignment.RunningSince = test.runningSince
		f.loop.Begin(test.now, 1_000_000)
		if got := f.Runtimes.ExpectedRemainingSeconds(assignment); got != test.want {
			t.Errorf("running since %v, at %v: %v s, want %v", test.runningSince, test.now, got, test.want)
		}
	}
}

// TestSlowMachineIsDrained checks that a machine is drained if tasks run much longer on it
// than on others, and that its tasks that can save a checkpoint are stopped.
func TestSlowMachineIsDrained(t *testing.T) {
	f := newFixture()
	fast, slow := f.addMachine("m-1"), f.addMachine("m-2")
	f.loop.Begin(second, 1_000_000)
	job := f.addJob(cluster.JobSpec{ID: "j", Tasks: 99, RuntimeSeconds: 10})
	checkpointing := f.addJob(cluster.JobSpec{ID: "checkpointing", Tasks: 1, CheckpointIntervalSeconds: 5})
	runningTask := f.addRunningTask(checkpointing, slow)
	for range 10 {
		f.completeTask(job, fast, 10)
	}
	for range minPaceSamples {
		f.Stragglers.DrainIfSlow(slow)
		if slow.Draining {
			t.Fatalf("drained after %d run times", slow.PaceSamples)
		}
		f.completeTask(job, slow, 100)
	}
	f.Stragglers.DrainIfSlow(fast)
	f.Stragglers.DrainIfSlow(slow)
	if fast.Draining || !slow.Draining || !runningTask.StopRequested {
		t.Errorf("fast machine draining %v, slow one %v (pace %v), its task stopped %v", fast.Draining, slow.Draining, slow.RelativePace, runningTask.StopRequested)
	}
}

// TestMachineWithStragglerIsDrained checks that a machine is drained and its straggler
// stopped, but only after several checks have found the straggler.
func TestMachineWithStragglerIsDrained(t *testing.T) {
	f := newFixture()
	machine := f.addMachine("m-1")
	f.loop.Begin(second, 1_000_000)
	job := f.addJob(cluster.JobSpec{ID: "j", Tasks: 9, RuntimeSeconds: 10})
	for range minRunsToFindStragglers {
		f.completeTask(job, machine, 10)
	}
	assignment := f.addRunningTask(job, machine)
	assignment.RunningSince = f.loop.Now()
	f.loop.Begin(f.loop.Now()+30*second, 1_000_000) // 2.5 times the mean plus 5 s
	f.Stragglers.DrainIfSlow(machine)
	if machine.StragglerChecks != 0 {
		t.Error("a task at the limit counts as a straggler")
	}
	f.loop.Begin(f.loop.Now()+1, 1_000_000)
	for check := 1; check <= stragglerChecksBeforeDrain; check++ {
		if assignment.StopRequested {
			t.Fatalf("task stopped before check %d", check)
		}
		f.Stragglers.DrainIfSlow(machine)
	}
	if !assignment.StopRequested || !machine.Draining {
		t.Errorf("task stopped: %v, machine draining: %v; want both", assignment.StopRequested, machine.Draining)
	}
}
