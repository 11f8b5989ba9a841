package jobs

import (
	"fmt"
	"strings"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// enqueueTestAdmissions adds submissions to the queue without enqueuing a write. The
// returned map collects their responses.
func enqueueTestAdmissions(jobs *testJobs, specs ...cluster.JobSpec) (*admissionQueue, map[cluster.JobID][]messages.Respond) {
	queue := jobs.Submissions.queue
	responses := map[cluster.JobID][]messages.Respond{}
	for _, spec := range specs {
		respond := func(response messages.Respond) { responses[spec.ID] = append(responses[spec.ID], response) }
		queue.waiting = append(queue.waiting, &pendingAdmission{spec: spec, respond: respond, deadline: jobs.loop.Now() + second})
	}
	return queue, responses
}

// TestAdmissionBatchWithinLimits checks that a batch exceeds neither the transaction limit
// nor the record size limit, and that a single oversized job does not block the queue.
func TestAdmissionBatchWithinLimits(t *testing.T) {
	large := strings.Repeat("x", 1500)
	for _, test := range []struct {
		name  string
		jobs  int
		image string
		want  []int
	}{
		{"small", 6, "", []int{4, 2}},
		{"large", 3, large, []int{2, 1}},
		{"too large", 2, strings.Repeat("x", 5000), []int{1, 1}},
	} {
		var specs []cluster.JobSpec
		for i := range test.jobs {
			specs = append(specs, cluster.JobSpec{ID: cluster.JobID(fmt.Sprintf("j-%d", i)), Team: "red", Tasks: 1, Image: test.image})
		}
		queue, _ := enqueueTestAdmissions(newTestJobs(t), specs...)
		for i, want := range test.want {
			if batch := queue.takeBatch(); len(batch) != want {
				t.Errorf("%s: batch %d has %d jobs, want %d", test.name, i, len(batch), want)
			}
		}
		if len(queue.waiting) != 0 {
			t.Errorf("%s: %d submissions are left in the queue, want none", test.name, len(queue.waiting))
		}
	}
}

// TestAdmissionBatchSkipsAnsweredAndExpired checks that a batch has no submission that
// was answered or whose deadline has passed.
func TestAdmissionBatchSkipsAnsweredAndExpired(t *testing.T) {
	jobs := newTestJobs(t)
	queue, _ := enqueueTestAdmissions(jobs, cluster.JobSpec{ID: "j-1"}, cluster.JobSpec{ID: "j-2"}, cluster.JobSpec{ID: "j-3"})
	queue.waiting[0].answered = true
	queue.waiting[1].deadline = jobs.loop.Now() - 1
	if batch := queue.takeBatch(); len(batch) != 1 || batch[0].spec.ID != "j-3" {
		t.Errorf("batch has %d jobs, want only j-3", len(batch))
	}
}

// TestIdempotentRetryJoinsBatch checks that two submissions with the same ID are taken as
// one, and that both are answered.
func TestIdempotentRetryJoinsBatch(t *testing.T) {
	jobs := newTestJobs(t)
	queue, responses := enqueueTestAdmissions(jobs, cluster.JobSpec{ID: "j-1"}, cluster.JobSpec{ID: "j-1"})
	batch := queue.takeBatch()
	if len(batch) != 1 {
		t.Fatalf("batch has %d jobs, want 1", len(batch))
	}
	batch[0].answer(messages.Respond{Status: messages.StatusUnavailable})
	if len(responses["j-1"]) != 2 {
		t.Errorf("got %d responses, want 2", len(responses["j-1"]))
	}
}

// TestDependentOfUnseenCancelledJob guards against orphaned: a job whose indirect dependency
// was cancelled, which this controller has not read yet, must not be answered as pending.
func TestDependentOfUnseenCancelledJob(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome messages.Outcome
		want    messages.ResponseStatus
	}{
		{"changes read", messages.OK, messages.StatusCreated},
		{"changes not read", messages.UnknownOutcome, messages.StatusUnavailable},
	} {
		jobs := newTestJobs(t)
		jobs.state.Jobs.AppliedRevision = 20
		jobs.AdmissionRecords.ApplyAll(nil, 20)
		jobs.applySpec("j-2", "green", "j-1") // the record of j-1 is unseen
		jobs.applySpec("j-3", "red", "j-2")
		queue, responses := enqueueTestAdmissions(jobs, cluster.JobSpec{ID: "j-3", Team: "red", Tasks: 1})
		queue.answerAdmitted(queue.waiting[0], 20)
		calls := watchCalls(jobs.runFor(linearizableReadInterval))
		if len(responses["j-3"]) != 0 || len(calls) != 2 {
			t.Fatalf("%s: answered %+v with %d reads, want no answer before two reads", test.name, responses["j-3"], len(calls))
		}
		record := Record{FinalStatus: cluster.JobCancelled, Team: "red", Tasks: 1}
		changes := messages.WatchReply{Outcome: test.outcome}
		if test.outcome == messages.OK {
			changes.Items = []messages.KV{{Key: "jobs/j-1", Value: record.encode(), ModRevision: 21}}
		}
		jobs.loop.Deliver(messages.Reply{Call: calls[0], Body: messages.WatchReply{Outcome: messages.OK}})
		jobs.loop.Deliver(messages.Reply{Call: calls[1], Body: changes})
		got := responses["j-3"]
		if len(got) != 1 || got[0].Status != test.want {
			t.Fatalf("%s: answered %+v, want status %d", test.name, got, test.want)
		}
		if test.want == messages.StatusCreated && got[0].View.Status != cluster.JobCancelled {
			t.Errorf("%s: answered %+v, want cancelled", test.name, got[0].View)
		}
	}
}
