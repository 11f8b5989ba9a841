package reconcile

import (
	"strings"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// TestStartsWithinHeartbeatLimit guards against starts of tasks that were assigned or taken
// over when the worker could list more: its heartbeats would be rejected.
func TestStartsWithinHeartbeatLimit(t *testing.T) {
	const ended = 10
	h := newHarness(t)
	machine := h.addManyTasks(2000, state.PhaseReady)
	for i := range ended {
		machine.EndedToAcknowledge[state.TaskAttempt{Task: cluster.TaskID{Job: "j-9", Index: i}}] = true
	}
	starts := 0
	for request := range 10 {
		machine.PendingHeartbeat = messages.RequestID(request + 1)
		h.Heartbeats.Answer(machine)
	}
	for _, response := range heartbeatResponses(h.loop.Effects()) {
		for _, command := range response.Commands {
			if command.Kind == cluster.Start {
				starts++
			}
		}
	}
	if want := cluster.MaxTasksPerHeartbeat(0) - ended; starts != want {
		t.Errorf("%d starts sent, want %d", starts, want)
	}
}

// TestUntrackedTasksCount checks that completed tasks of a job whose records are being loaded
// count until a status no longer lists them.
func TestUntrackedTasksCount(t *testing.T) {
	h := newHarness(t)
	job := h.addJob()
	job.ChunksLoading = 1
	machine := h.addMachine()
	done := cluster.TaskStatus{Task: cluster.TaskID{Job: job.Spec.ID}, Attempt: testAttempt, State: cluster.Ended, Cause: cluster.CauseCompleted}
	h.ApplyStatus(machine, statusWithCurrentToken(machine, 2, done), false)
	if count := machine.ListableTaskCount(); count != 1 {
		t.Errorf("%d tasks count, want 1", count)
	}
	h.ApplyStatus(machine, statusWithCurrentToken(machine, 3), false)
	if count := machine.ListableTaskCount(); count != 0 {
		t.Errorf("%d tasks count, want none", count)
	}
}

// TestHeartbeatEncodingLimitsTasks guards against a limit that holds only for compact JSON.
func TestHeartbeatEncodingLimitsTasks(t *testing.T) {
	h := newHarness(t)
	machine := h.addMachine()
	status := statusWithCurrentToken(machine, 2)
	status.FieldOverhead = 10
	h.ApplyStatus(machine, status, false)
	if got, want := machine.MaxTasks(), cluster.MaxTasksPerHeartbeat(10); got != want || got >= cluster.MaxTasksPerHeartbeat(0) {
		t.Errorf("at most %d tasks, want %d, which is less than with compact JSON", got, want)
	}
	h.ApplyStatus(machine, statusWithCurrentToken(machine, 3), false)
	if got := machine.MaxTasks(); got != cluster.MaxTasksPerHeartbeat(0) {
		t.Errorf("at most %d tasks after a compact heartbeat, want %d", got, cluster.MaxTasksPerHeartbeat(0))
	}
}

// addRunningTasks adds a machine on which count tasks of another owner's record run, and
// returns the status that lists them.
func (h *harness) addRunningTasks(count int) (*state.Machine, *cluster.HeartbeatStatus) {
	machine := h.addManyTasks(count, state.PhaseUnverified)
	var tasks []cluster.TaskStatus
	for _, assignment := range machine.SortedAssignments() {
		tasks = append(tasks, cluster.TaskStatus{Task: assignment.Task, Attempt: assignment.Attempt, State: cluster.Running})
	}
	return machine, statusWithCurrentToken(machine, 2, tasks...)
}

// loggedExcess returns the number of log lines about machines with too many tasks.
func loggedExcess(effects []messages.Effect) int {
	lines := 0
	for _, effect := range effects {
		if line, ok := effect.(messages.Log); ok && strings.HasPrefix(line.Message, "machine has more tasks than its heartbeats can list") {
			lines++
		}
	}
	return lines
}

// TestExcessTasksStopped checks that tasks that were taken over are stopped, those that do not
// run yet first, until a heartbeat can list all others, and that this is logged once.
func TestExcessTasksStopped(t *testing.T) {
	h := newHarness(t)
	machine, status := h.addRunningTasks(1240)
	for i := range 100 {
		status.Tasks[i].State = cluster.Fetching
	}
	h.ApplyStatus(machine, status, true)
	stopped, bytes := 0, 0
	for i, assignment := range machine.SortedAssignments() {
		if assignment.StopRequested {
			stopped++
		} else {
			bytes += cluster.TaskEntryBytes(assignment.Task.Job, 0)
		}
		if i < 100 && !assignment.StopRequested {
			t.Fatal("a task that does not run yet goes on, and running tasks were stopped")
		}
	}
	if limit := cluster.MaxTaskEntriesBytes(0); bytes > limit || bytes < limit-1000 {
		t.Errorf("%d tasks stopped, the others have up to %d bytes, the limit is %d", stopped, bytes, limit)
	}
	status.SequenceNumber++
	if h.ApplyStatus(machine, status, true); loggedExcess(h.loop.Effects()) != 1 {
		t.Errorf("%d log lines, want 1", loggedExcess(h.loop.Effects()))
	}
}

// TestExcessStartsWithdrawn checks that starts that were not sent are withdrawn from a machine
// whose heartbeats can no longer list them, so that the tasks start elsewhere.
func TestExcessStartsWithdrawn(t *testing.T) {
	h := newHarness(t)
	machine := h.addManyTasks(400, state.PhaseReady)
	status := statusWithCurrentToken(machine, 2)
	status.FieldOverhead = 20
	h.ApplyStatus(machine, status, false)
	status.SequenceNumber++
	h.ApplyStatus(machine, status, false) // withdraws no more, though the record still lists the tasks
	withdrawn := 0
	for _, assignment := range machine.Assignments {
		if assignment.ConfirmedAbsent {
			withdrawn++
		}
	}
	if want := 400 - cluster.MaxTasksPerHeartbeat(20); withdrawn != want || loggedExcess(h.loop.Effects()) != 1 {
		t.Errorf("%d starts withdrawn, want %d; %d log lines, want 1", withdrawn, want, loggedExcess(h.loop.Effects()))
	}
}

// TestOversizedHeartbeatReadsStatus checks that the owner of a machine with heartbeats above
// the size limit reads its status, assigns no tasks to it, and pushes all its commands.
func TestOversizedHeartbeatReadsStatus(t *testing.T) {
	h := newHarness(t)
	machine, status := h.addRunningTasks(900)
	status.Tasks[899].State, status.Tasks[899].Cause = cluster.Ended, cluster.CauseStopped
	attempt := state.TaskAttempt{Task: cluster.TaskID{Job: "j-9"}, Attempt: testAttempt}
	status.Tasks = append(status.Tasks, cluster.TaskStatus{Task: attempt.Task, Attempt: attempt.Attempt, State: cluster.Ended})
	for request := range 2 {
		h.Heartbeats.HandleOversized(messages.OversizedHeartbeat{Request: messages.RequestID(request + 1), Machine: machine.ID})
	}
	var queries []messages.QueryWorkerStatus
	for _, effect := range h.loop.Effects() {
		switch effect := effect.(type) {
		case messages.Respond:
			if effect.Status != messages.StatusBadRequest {
				t.Errorf("answered %d, want 400", effect.Status)
			}
		case messages.QueryWorkerStatus:
			queries = append(queries, effect)
		}
	}
	if len(queries) != 1 || machine.OversizedSince == 0 {
		t.Fatalf("%d status queries, want 1", len(queries))
	}
	h.loop.Deliver(messages.Reply{Call: queries[0].Call, Body: messages.WorkerReply{Outcome: messages.OK, Status: *status}})
	h.Commands.PushQueued()
	kinds := map[cluster.CommandKind]int{}
	for _, push := range h.pushes() {
		for _, command := range push.Commands {
			kinds[command.Kind]++
		}
	}
	if kinds[cluster.Stop] == 0 || kinds[cluster.Start] > 0 {
		t.Errorf("pushed %v, want stops and no starts", kinds)
	}
	status.SequenceNumber++
	if h.ApplyStatus(machine, status, false); machine.OversizedSince != 0 {
		t.Error("the machine still counts as having too large heartbeats after one was accepted")
	}
}

// TestEndedTasksAcknowledgedByPush checks that ended attempts of a machine whose heartbeats are
// too large are acknowledged by a push, as there is no response in which to do it.
func TestEndedTasksAcknowledgedByPush(t *testing.T) {
	h := newHarness(t)
	machine, attempt := h.addEndedAttempt()
	machine.LastHeartbeat, machine.OversizedSince = h.loop.Now(), h.loop.Now()
	h.Commands.QueuePush(machine)
	h.Commands.PushQueued()
	pushes := h.pushes()
	if len(pushes) != 1 || len(pushes[0].Commands) != 1 || pushes[0].Commands[0].Kind != cluster.Acknowledge || pushes[0].Commands[0].Attempt != attempt.Attempt {
		t.Errorf("pushed %+v, want the acknowledgement", pushes)
	}
}

// TestMachineWithOnlyOversizedHeartbeatsReleased checks that a machine is released if its
// heartbeats stay too large after its worker has lost its lease, and with it all tasks.
func TestMachineWithOnlyOversizedHeartbeatsReleased(t *testing.T) {
	h := newHarness(t)
	machine := h.addMachine()
	machine.OversizedSince = h.loop.Now()
	h.setTime(h.loop.Now() + h.config.WorkerLease + lossMargin)
	machine.LastHeartbeat, machine.IdleSince = h.loop.Now(), h.loop.Now()
	if h.Maintenance.Run(); len(h.releases) != 0 {
		t.Fatalf("released for %v", h.releases)
	}
	h.setTime(h.loop.Now() + 1)
	if h.Maintenance.Run(); len(h.releases) != 1 || h.releases[0] != ReleaseOversizedHeartbeats {
		t.Errorf("released for %v, want %q", h.releases, ReleaseOversizedHeartbeats)
	}
}
