package jobs

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// watchCalls lists the reads of changes among some effects.
func watchCalls(effects []messages.Effect) []messages.CallID {
	var calls []messages.CallID
	for _, effect := range effects {
		if watch, ok := effect.(messages.StoreWatch); ok {
			calls = append(calls, watch.Call)
		}
	}
	return calls
}

// TestLinearizableReadBeginsAfterTheQuestion shows that a read answers only those who
// asked before it began; the others share one that begins after the interval.
func TestLinearizableReadBeginsAfterTheQuestion(t *testing.T) {
	jobs := newTestJobs(t)
	jobs.state.Jobs.AppliedRevision = 20
	jobs.AdmissionRecords.ApplyAll(nil, 20)
	reads := jobs.Queries.reads
	answers := map[string]bool{}
	ask := func(name string) { reads.read(func(ok bool) { answers[name] = ok }) }
	finish := func(calls []messages.CallID, outcome messages.Outcome) {
		for _, call := range calls {
			jobs.loop.Deliver(messages.Reply{Call: call, Body: messages.WatchReply{Outcome: outcome}})
		}
	}

	ask("first")
	first := watchCalls(jobs.runFor(0))
	if len(first) != 2 {
		t.Fatalf("%d reads, want one of the jobs' records and one of the admission records", len(first))
	}
	ask("second")
	finish(first[:1], messages.OK)
	if len(answers) != 0 {
		t.Error("answered before both reads have ended")
	}
	finish(first[1:], messages.OK)
	if ok, answered := answers["first"]; !ok || !answered || len(answers) != 1 {
		t.Errorf("answers after the first read: %v", answers)
	}

	if calls := watchCalls(jobs.runFor(linearizableReadInterval - 1)); len(calls) != 0 {
		t.Errorf("%d reads before the interval is over", len(calls))
	}
	ask("third")
	second := watchCalls(jobs.runFor(1))
	finish(second[:1], messages.UnknownOutcome)
	finish(second[1:], messages.OK)
	for _, name := range []string{"second", "third"} {
		if ok, answered := answers[name]; ok || !answered {
			t.Errorf("%s: answered %v, with %v, by a read of which half has failed", name, answered, ok)
		}
	}
}

// TestLinearizableReadNeedsFirstReading shows that nothing is vouched for before all
// records were read once.
func TestLinearizableReadNeedsFirstReading(t *testing.T) {
	for _, test := range []struct {
		name             string
		jobsRead         cluster.Revision
		admissionsLoaded bool
	}{
		{"the jobs' own records", 0, true},
		{"the admission records", 20, false},
	} {
		jobs := newTestJobs(t)
		jobs.state.Jobs.AppliedRevision = test.jobsRead
		if test.admissionsLoaded {
			jobs.AdmissionRecords.ApplyAll(nil, 20)
		}
		answered, result := false, true
		jobs.Queries.reads.read(func(ok bool) { answered, result = true, ok })
		if !answered || result {
			t.Errorf("without %s: answered %v, with %v", test.name, answered, result)
		}
	}
}
