package jobs

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// watchCalls returns the calls that read changes.
func watchCalls(effects []messages.Effect) []messages.CallID {
	var calls []messages.CallID
	for _, effect := range effects {
		if watch, ok := effect.(messages.StoreWatch); ok {
			calls = append(calls, watch.Call)
		}
	}
	return calls
}

// TestLinearizableReadStartsAfterRequest checks that a read serves only requests made before
// it started, that later ones share the next read, and that a partial failure is reported.
func TestLinearizableReadStartsAfterRequest(t *testing.T) {
	jobs := newTestJobs(t)
	jobs.state.Jobs.AppliedRevision = 20
	jobs.AdmissionRecords.ApplyAll(nil, 20)
	reads := jobs.Queries.reads
	results := map[string]bool{}
	read := func(name string) { reads.read(func(ok bool) { results[name] = ok }) }
	finish := func(calls []messages.CallID, outcome messages.Outcome) {
		for _, call := range calls {
			jobs.loop.Deliver(messages.Reply{Call: call, Body: messages.WatchReply{Outcome: outcome}})
		}
	}

	read("first")
	first := watchCalls(jobs.runFor(0))
	if len(first) != 2 {
		t.Fatalf("%d reads, want one of the jobs' own records and one of the admission records", len(first))
	}
	read("second")
	finish(first[:1], messages.OK)
	if len(results) != 0 {
		t.Error("answered before both reads were finished")
	}
	finish(first[1:], messages.OK)
	if ok, answered := results["first"]; !ok || !answered || len(results) != 1 {
		t.Errorf("results after the first read: %v, want first alone", results)
	}

	if calls := watchCalls(jobs.runFor(linearizableReadInterval - 1)); len(calls) != 0 {
		t.Errorf("%d reads before the interval has passed, want none", len(calls))
	}
	read("third")
	second := watchCalls(jobs.runFor(1))
	finish(second[:1], messages.UnknownOutcome)
	finish(second[1:], messages.OK)
	for _, name := range []string{"second", "third"} {
		if ok, answered := results[name]; ok || !answered {
			t.Errorf("%s: answered %v with ok %v, want ok false after one of the two reads failed", name, answered, ok)
		}
	}
}

// TestLinearizableReadFailsBeforeInitialLoad checks that a read does not succeed before all
// records were read once.
func TestLinearizableReadFailsBeforeInitialLoad(t *testing.T) {
	for _, test := range []struct {
		name                string
		jobsAppliedRevision cluster.Revision
		admissionsLoaded    bool
	}{
		{"the jobs' own records", 0, true},
		{"the admission records", 20, false},
	} {
		jobs := newTestJobs(t)
		jobs.state.Jobs.AppliedRevision = test.jobsAppliedRevision
		if test.admissionsLoaded {
			jobs.AdmissionRecords.ApplyAll(nil, 20)
		}
		answered, result := false, true
		jobs.Queries.reads.read(func(ok bool) { answered, result = true, ok })
		if !answered || result {
			t.Errorf("without %s: answered %v with ok %v, want ok false", test.name, answered, result)
		}
	}
}
