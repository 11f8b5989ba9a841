package jobs

import (
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// TestJobReadyOnceDependenciesAreDone checks that a job is blocked until all its dependencies
// are done, whatever the order in which the records are seen.
func TestJobReadyOnceDependenciesAreDone(t *testing.T) {
	for _, dependentFirst := range []bool{false, true} {
		jobs := newTestJobs(t)
		if dependentFirst {
			jobs.applySpec("c", "red", "a", "b")
			jobs.applySpec("a", "red")
		} else {
			jobs.applySpec("a", "red")
			jobs.applySpec("c", "red", "a", "b")
		}
		done := Record{FinalStatus: cluster.JobDone, Tasks: 1}
		done.Team = "red"
		jobs.apply("a", done)
		job := jobs.state.Jobs.Owned["c"]
		if job == nil || !job.Blocked {
			t.Fatalf("dependent first %v: job is missing or not blocked by an unknown dependency", dependentFirst)
		}
		requests := jobs.scheduler.schedulingRequests
		done.Team = "green"
		jobs.apply("b", done)
		if job.Blocked || jobs.scheduler.schedulingRequests == requests {
			t.Errorf("dependent first %v: blocked %v with %d scheduling requests, want an unblocked job and a request", dependentFirst, job.Blocked, jobs.scheduler.schedulingRequests-requests)
		}
	}
}

// TestCancellationPropagatesToDependents checks that a stored cancellation cancels the
// dependents in all shards, stops the owned ones and enqueues writes of their cancellation.
func TestCancellationPropagatesToDependents(t *testing.T) {
	jobs := newTestJobs(t)
	jobs.applySpec("a", "red")
	jobs.applySpec("b", "green", "a")
	jobs.applySpec("c", "red", "b")
	jobs.applySpec("d", "red", "e")
	jobs.apply("a", Record{FinalStatus: cluster.JobCancelled, Team: "red", Tasks: 1})
	for id, want := range map[cluster.JobID]cluster.JobStatus{"a": cluster.JobCancelled, "b": cluster.JobCancelled, "c": cluster.JobCancelled, "d": ""} {
		if got := jobs.state.Jobs.Known[id].FinalStatus; got != want {
			t.Errorf("%s has final status %q, want %q", id, got, want)
		}
	}
	if !slices.Equal(jobs.tasks.stopped, []cluster.JobID{"c"}) {
		t.Errorf("tasks of %v were stopped, want those of c", jobs.tasks.stopped)
	}
	if job := jobs.state.Jobs.Owned["c"]; job == nil || !job.Cancelling || !job.WriteQueued {
		t.Error("the cancellation of c is not being stored")
	}
	if known := jobs.state.Jobs.Known["c"]; known.FinalRecorded {
		t.Error("implied cancellation of c counts as recorded before it is stored")
	}
}

// TestDependentOwnerNotifiedOfEarlierFinalStatus checks that the owner of a dependent is
// notified of a final status that was stored before the dependent was known.
func TestDependentOwnerNotifiedOfEarlierFinalStatus(t *testing.T) {
	jobs := newTestJobs(t)
	jobs.apply("a", Record{FinalStatus: cluster.JobDone, Team: "red", Tasks: 1})
	jobs.applySpec("b", "green", "a")
	if keys := noticesTo("n1", jobs.runFor(noticeDelay)); !slices.Equal(keys, []string{"jobs/a"}) {
		t.Errorf("n1 was sent %v, want the final record of a", keys)
	}
}

// TestPruneDependencies checks which dependencies a record lists.
func TestPruneDependencies(t *testing.T) {
	registry := state.NewJobRegistry()
	for id, status := range map[cluster.JobID]cluster.JobStatus{"done": cluster.JobDone, "cancelled": cluster.JobCancelled, "open": ""} {
		registry.Known[id] = &state.KnownJob{FinalStatus: status}
	}
	for _, test := range []struct {
		name               string
		dependencies, want []cluster.JobID
	}{
		{"none", nil, nil},
		{"done", []cluster.JobID{"done"}, nil},
		{"duplicate", []cluster.JobID{"open", "done", "open"}, []cluster.JobID{"open"}},
		{"unknown", []cluster.JobID{"other", "open"}, []cluster.JobID{"other", "open"}},
		{"cancelled", []cluster.JobID{"open", "cancelled", "other"}, []cluster.JobID{"cancelled"}},
	} {
		spec := cluster.JobSpec{Dependencies: test.dependencies}
		pruneDependencies(&registry, &spec)
		if !slices.Equal(spec.Dependencies, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, spec.Dependencies, test.want)
		}
	}
}
