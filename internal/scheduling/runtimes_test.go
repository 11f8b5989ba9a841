package scheduling

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// completeTask starts the job's next pending task on a machine and lets it complete
// after some seconds.
func (f *fixture) completeTask(job *state.Job, machine *state.Machine, seconds cluster.Time) {
	assignment := f.addRunningTask(job, machine)
	assignment.RunningSince = f.loop.Now()
	f.loop.Begin(f.loop.Now()+seconds*second, f.loop.WallTime())
	f.RunTimes.RecordRuntime(machine, assignment)
	machine.MarkEnded(assignment, cluster.CauseCompleted)
	job.SetCompleted(assignment.Task.Index)
}

// TestRunTimeRatio checks that the estimates of a class follow its run times.
func TestRunTimeRatio(t *testing.T) {
	f := newFixture()
	machine := f.addMachine("m-1")
	f.loop.Begin(second, 1_000_000)
	job := f.addJob(cluster.JobSpec{ID: "j", Class: "c", Tasks: 9, RuntimeSeconds: 10})
	if got := f.RunTimes.ExpectedSeconds(job); got != 10 {
		t.Errorf("%v s expected before anything ran", got)
	}
	f.completeTask(job, machine, 30)
	if got := f.RunTimes.RuntimeRatio("c"); got != 2 {
		t.Errorf("ratio %v after one run of three times the estimate, want the mean with the estimate", got)
	}
	if got := f.RunTimes.ExpectedSeconds(job); got != 20 {
		t.Errorf("%v s expected", got)
	}
	if got := f.RunTimes.RuntimeRatio("other"); got != 1 {
		t.Errorf("ratio %v of another class", got)
	}
}

// TestRunTimesOfPartialRuns checks that only whole runs seen from their start count.
func TestPartialRunsAreIgnored(t *testing.T) {
	for name, change := range map[string]func(*state.Assignment){
		"never seen running": func(a *state.Assignment) { a.RunningSince = 0 },
		"start not observed": func(a *state.Assignment) { a.StartUnobserved = true },
		"restarted":          func(a *state.Assignment) { a.Job.RestartedTasks[a.Task.Index] = true },
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
			f.RunTimes.RecordRuntime(machine, assignment)
			if ratio := f.RunTimes.RuntimeRatio("c"); ratio != 1 || job.CompletedRuns != 0 {
				t.Errorf("ratio %v, %d runs", ratio, job.CompletedRuns)
			}
		})
	}
}

// TestExpectedRemaining checks how long a task is expected to run on.
func TestExpectedRemainingSeconds(t *testing.T) {
	f := newFixture()
	job := f.addJob(cluster.JobSpec{ID: "j", Tasks: 1, RuntimeSeconds: 20})
	assignment := f.addRunningTask(job, f.addMachine("m-1"))
	for _, test := range []struct {
		runningSince, now cluster.Time
		want              float64
	}{
		{0, 2 * second, 22},               // not running yet
		{second, 6 * second, 15},          // of 20 s
		{second, 100 * second, 20.0 / 10}, // longer than expected
	} {
		assignment.RunningSince = test.runningSince
		f.loop.Begin(test.now, 1_000_000)
		if got := f.RunTimes.ExpectedRemainingSeconds(assignment); got != test.want {
			t.Errorf("running since %v, at %v: %v s, want %v", test.runningSince, test.now, got, test.want)
		}
	}
}

// TestSlowMachineIsDrained checks that a machine on which a job's tasks run much longer
// than elsewhere is drained, and that its tasks that can save a checkpoint are stopped.
func TestSlowMachineIsDrained(t *testing.T) {
	f := newFixture()
	fast, slow := f.addMachine("m-1"), f.addMachine("m-2")
	f.loop.Begin(second, 1_000_000)
	job := f.addJob(cluster.JobSpec{ID: "j", Tasks: 99, RuntimeSeconds: 10})
	checkpointing := f.addJob(cluster.JobSpec{ID: "saves", Tasks: 1, CheckpointSeconds: 5})
	runningTask := f.addRunningTask(checkpointing, slow)
	for range 10 {
		f.completeTask(job, fast, 10)
	}
	for range minPaceSamples {
		f.Stragglers.HandleSlowMachine(slow)
		if slow.Draining {
			t.Fatalf("drained after %d run times", slow.PaceSamples)
		}
		f.completeTask(job, slow, 100)
	}
	f.Stragglers.HandleSlowMachine(fast)
	f.Stragglers.HandleSlowMachine(slow)
	if fast.Draining || !slow.Draining || !runningTask.StopRequested {
		t.Errorf("fast machine draining %v, slow one %v (pace %v), its task stopped %v", fast.Draining, slow.Draining, slow.RelativePace, runningTask.StopRequested)
	}
}

// TestStragglerIsRestarted checks that a task which runs far longer than its job's
// others is stopped, but only after it was found so several times.
func TestStragglerIsRestarted(t *testing.T) {
	f := newFixture()
	machine := f.addMachine("m-1")
	f.loop.Begin(second, 1_000_000)
	job := f.addJob(cluster.JobSpec{ID: "j", Tasks: 9, RuntimeSeconds: 10})
	for range minRunsToFindStragglers {
		f.completeTask(job, machine, 10)
	}
	assignment := f.addRunningTask(job, machine)
	assignment.RunningSince = f.loop.Now()
	f.loop.Begin(f.loop.Now()+30*second, 1_000_000) // 2.5 times the mean and 5 s
	f.Stragglers.HandleSlowMachine(machine)
	if machine.LateChecks != 0 {
		t.Error("counts as late just at the limit")
	}
	f.loop.Begin(f.loop.Now()+1, 1_000_000)
	for check := 1; check <= lateChecksBeforeDrain; check++ {
		if assignment.StopRequested {
			t.Fatalf("stopped before check %d", check)
		}
		f.Stragglers.HandleSlowMachine(machine)
	}
	if !assignment.StopRequested || !machine.Draining {
		t.Errorf("stopped %v, machine draining %v", assignment.StopRequested, machine.Draining)
	}
}
