package jobs

import (
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// TestJobReadyOnceDependenciesAreDone shows that a job is blocked until all that it
// depends on is stored as done, in whichever order their records are seen.
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
			t.Fatalf("dependent first %v: not blocked by a job of which nothing is known", dependentFirst)
		}
		requests := jobs.scheduler.schedulingRequests
		done.Team = "green"
		jobs.apply("b", done)
		if job.Blocked || jobs.scheduler.schedulingRequests == requests {
			t.Errorf("dependent first %v: blocked %v, and %d requests to schedule it", dependentFirst, job.Blocked, jobs.scheduler.schedulingRequests-requests)
		}
	}
}

// TestCancellationReachesDependents shows that the stored cancellation of a job implies
// that of its direct and indirect dependents, over shards, that the owned ones are
// stopped and that the owner of the others is told. What is done stays done.
func TestCancellationReachesDependents(t *testing.T) {
	jobs := newTestJobs(t)
	jobs.applySpec("a", "red")
	jobs.applySpec("b", "green", "a")
	jobs.applySpec("c", "red", "b")
	jobs.applySpec("d", "red", "e")
	jobs.apply("a", Record{FinalStatus: cluster.JobCancelled, Team: "red", Tasks: 1})
	for id, want := range map[cluster.JobID]cluster.JobStatus{"a": cluster.JobCancelled, "b": cluster.JobCancelled, "c": cluster.JobCancelled, "d": ""} {
		if got := jobs.state.Jobs.Known[id].FinalStatus; got != want {
			t.Errorf("%s has the final status %q, want %q", id, got, want)
		}
	}
	if !slices.Equal(jobs.tasks.stopped, []cluster.JobID{"c"}) {
		t.Errorf("the tasks of %v were stopped, want those of c", jobs.tasks.stopped)
	}
	if job := jobs.state.Jobs.Owned["c"]; job == nil || !job.Cancelling || !job.WriteQueued {
		t.Error("the cancellation of c is not being stored")
	}
	if known := jobs.state.Jobs.Known["c"]; known.FinalRecorded {
		t.Error("the implied cancellation of c counts as recorded")
	}
}

// TestDependentOwnerLearnsOfEarlierEnd shows that the owner of a dependent is told of an
// end that was stored before its owner knew that the other depends on it.
func TestDependentOwnerLearnsOfEarlierEnd(t *testing.T) {
	jobs := newTestJobs(t)
	jobs.apply("a", Record{FinalStatus: cluster.JobDone, Team: "red", Tasks: 1})
	jobs.applySpec("b", "green", "a")
	if keys := noticesTo("n1", jobs.runFor(noticeDelay)); !slices.Equal(keys, []string{"jobs/a"}) {
		t.Errorf("n1 is sent %v, want the end of a", keys)
	}
}

// TestPruneDependencies shows which dependencies a record names.
func TestPruneDependencies(t *testing.T) {
	registry := state.NewJobRegistry()
	for id, status := range map[cluster.JobID]cluster.JobStatus{"done": cluster.JobDone, "cancelled": cluster.JobCancelled, "open": ""} {
		registry.Known[id] = &state.KnownJob{FinalStatus: status}
	}
	for _, test := range []struct {
		name        string
		given, want []cluster.JobID
	}{
		{"none", nil, nil},
		{"a finished one", []cluster.JobID{"done"}, nil},
		{"a repeated one", []cluster.JobID{"open", "done", "open"}, []cluster.JobID{"open"}},
		{"an unknown one", []cluster.JobID{"other", "open"}, []cluster.JobID{"other", "open"}},
		{"a cancelled one", []cluster.JobID{"open", "cancelled", "other"}, []cluster.JobID{"cancelled"}},
	} {
		spec := cluster.JobSpec{Dependencies: test.given}
		pruneDependencies(&registry, &spec)
		if !slices.Equal(spec.Dependencies, test.want) {
			t.Errorf("%s: %v, want %v", test.name, spec.Dependencies, test.want)
		}
	}
}
