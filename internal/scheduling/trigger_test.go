package scheduling

import (
	"testing"

	"stairrelay/internal/cluster"
)

// TestTriggerInterval checks that requests within the minimum interval are handled by one
// run at the end of the interval, and that only one timer is set.
func TestTriggerInterval(t *testing.T) {
	f := newFixture()
	f.addMachine("m-1")
	run := func(now cluster.Time) int {
		f.loop.Begin(now, 1_000_000)
		f.loop.RunTimers()
		before := len(f.written)
		f.RunIfRequested()
		return len(f.written) - before
	}
	job := f.addJob(cluster.JobSpec{ID: "j", Tasks: 1, SubmittedAt: 1_000_000})
	if started := run(second); started != 0 {
		t.Errorf("%d tasks started without a request", started)
	}
	f.Trigger.Request()
	if started := run(second); started != 1 {
		t.Errorf("%d tasks started, want 1", started)
	}
	if _, set := f.loop.NextWake(); set {
		t.Error("a timer is set though no request is pending")
	}
	f.addMachine("m-2")
	job.Spec.Tasks, job.TaskStates = 2, append(job.TaskStates, 0)
	f.Trigger.Request()
	for range 2 {
		if started := run(second + MinInterval/2); started != 0 {
			t.Errorf("%d tasks started within the interval, want none", started)
		}
		f.Trigger.Request()
	}
	if next, set := f.loop.NextWake(); !set || next != second+MinInterval {
		t.Errorf("next wake-up at %v, timer set: %v; want one at the end of the interval", next, set)
	}
	if started := run(second + MinInterval); started != 1 {
		t.Errorf("%d tasks started after the interval, want 1", started)
	}
}
