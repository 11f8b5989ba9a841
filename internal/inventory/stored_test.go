package inventory

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// fakeWorkers records the machines to which commands are pushed.
type fakeWorkers struct{ pushed []cluster.MachineID }

func (w *fakeWorkers) ConfirmAbsent(m *state.Machine, a *state.Assignment) { m.MarkConfirmedAbsent(a) }

func (w *fakeWorkers) QueueCommandPush(m *state.Machine) { w.pushed = append(w.pushed, m.ID) }

func (w *fakeWorkers) RecheckHeldHeartbeat(*state.Machine) {}

func (w *fakeWorkers) RedirectWorker(messages.RequestID, cluster.NodeID) {}

// fakeScheduler ignores all requests.
type fakeScheduler struct{}

func (fakeScheduler) RequestScheduling() {}

func (fakeScheduler) MaintainMachines() {}

// newHarnessWithMachine returns a harness with an owned shard and a machine, which has one
// assignment in each of the given phases.
func newHarnessWithMachine(t *testing.T, phases ...state.AssignmentPhase) (*harness, *fakeWorkers, *state.Machine) {
	t.Helper()
	h, workers := newHarness(t, "n0"), &fakeWorkers{}
	h.workers, h.scheduler = workers, fakeScheduler{}
	shard := h.state.Shards[0]
	shard.Owned, shard.ClaimRevision, shard.ModRevision = true, 30, 30
	entry := grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a"}}
	m := h.AddMachine(h.state.AddGroup(shard, "g", 31), entry, 31)
	job := state.NewJob(cluster.JobSpec{ID: "j-1", Team: "red", Tasks: len(phases)}, shard.ID, 0, 0)
	h.state.AddOwnedJob(job)
	for i, phase := range phases {
		a := &state.Assignment{Task: cluster.TaskID{Job: "j-1", Index: i}, Job: job, MachineID: m.ID, Attempt: cluster.Attempt(i + 1), Phase: phase}
		m.AddAssignment(a)
		job.SetAssigned(i, a)
	}
	return h, workers, m
}

// storeQueuedWrite builds the group's queued write and reports it as applied at the given
// revision.
func (h *harness) storeQueuedWrite(t *testing.T, group *state.MachineGroup, revision cluster.Revision) {
	t.Helper()
	write := group.QueuedWrite
	if write == nil {
		t.Fatal("no write is queued")
	}
	h.writes.Cancel(write)
	if operations, _ := write.Build("w"); len(operations) != 1 {
		t.Fatalf("write has %d operations, want 1", len(operations))
	}
	write.OnApplied(revision)
}

// TestStartFollowsStoredRecord checks that a task is started only after the stored record
// lists it, even if it was assigned while a write of the record was in flight.
func TestStartFollowsStoredRecord(t *testing.T) {
	h, workers, m := newHarnessWithMachine(t, state.PhaseRecording, state.PhaseRecording)
	assignments := m.SortedAssignments()
	late := assignments[1]
	delete(m.Assignments, late.Task)
	h.WriteMachine(m, writequeue.PriorityStart)
	write := m.Group.QueuedWrite
	h.writes.Cancel(write)
	write.Build("w")
	m.AddAssignment(late)
	h.WriteMachine(m, writequeue.PriorityStart)
	if len(workers.pushed) != 0 || assignments[0].Phase != state.PhaseRecording {
		t.Fatal("task was started before the record was stored")
	}
	write.OnApplied(40)
	if assignments[0].Phase != state.PhaseReady || late.Phase != state.PhaseRecording || len(workers.pushed) != 1 {
		t.Fatalf("phases are %d and %d after %d pushes, want ready and recording after 1", assignments[0].Phase, late.Phase, len(workers.pushed))
	}
	h.storeQueuedWrite(t, m.Group, 41)
	if late.Phase != state.PhaseReady || m.Group.ModRevision != 41 {
		t.Errorf("phase is %d at mod revision %d, want ready at 41", late.Phase, m.Group.ModRevision)
	}
}

// TestAbsentTaskFreedByStoredRecord checks that an absent task becomes pending only after the
// stored record no longer lists it. Otherwise the task could run twice.
func TestAbsentTaskFreedByStoredRecord(t *testing.T) {
	h, _, m := newHarnessWithMachine(t, state.PhaseAcknowledged)
	a := m.SortedAssignments()[0]
	m.MarkConfirmedAbsent(a)
	h.WriteMachine(m, writequeue.PriorityStart)
	if a.Job.PendingCount() != 0 {
		t.Fatal("task is pending while the record lists it")
	}
	h.storeQueuedWrite(t, m.Group, 40)
	if len(m.Assignments) != 0 || a.Job.PendingCount() != 1 {
		t.Errorf("%d assignments and %d pending tasks, want 0 and 1", len(m.Assignments), a.Job.PendingCount())
	}
}

// TestCompletedTaskKeptUntilOutcomeStored checks that a completed task whose outcome is not
// stored stays assigned when the stored record no longer lists it.
func TestCompletedTaskKeptUntilOutcomeStored(t *testing.T) {
	h, _, m := newHarnessWithMachine(t, state.PhaseAcknowledged)
	a := m.SortedAssignments()[0]
	m.MarkEnded(a, cluster.CauseCompleted)
	a.Job.SetCompleted(a.Task.Index)
	h.WriteMachine(m, writequeue.PriorityStart)
	h.storeQueuedWrite(t, m.Group, 40)
	if len(m.Assignments) != 1 || !a.RemovedFromRecord {
		t.Errorf("%d assignments, removed from the record: %v; want 1, true", len(m.Assignments), a.RemovedFromRecord)
	}
}

// TestTokenIsRevisionOfItsRecord checks that a raised token is the revision of the write
// of the record, and that the worker has yet to acknowledge the token.
func TestTokenIsRevisionOfItsRecord(t *testing.T) {
	h, _, m := newHarnessWithMachine(t, state.PhaseAcknowledged)
	m.TokenAcknowledged = true
	h.RaiseToken(m)
	if m.Token != 31 || !m.RaisingToken {
		t.Fatalf("token is %d before the record is stored, want 31 and marked as being raised", m.Token)
	}
	h.storeQueuedWrite(t, m.Group, 40)
	if m.Token != 40 || m.TokenAcknowledged || m.RaisingToken {
		t.Errorf("token is %d, acknowledged %v, raising %v; want 40, false, false", m.Token, m.TokenAcknowledged, m.RaisingToken)
	}
	if m.IsTokenAcknowledgedBy(31) || !m.IsTokenAcknowledgedBy(40) {
		t.Error("the token before the raise counts as an acknowledgement, or the raised one does not")
	}
}
