package reconcile

import (
	"math"
	"strings"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/wire"
)

// longestAttempt and longestGrace have the longest encodings that a command can contain.
const (
	longestAttempt = cluster.Attempt(math.MaxUint64)
	longestGrace   = 0.0000012345678901234567
)

// longestJobID is the longest ID of a job.
var longestJobID = cluster.JobID("j-" + strings.Repeat("9", 40))

// addManyTasks adds a machine with count assignments of a job with the longest ID.
func (h *harness) addManyTasks(count int, phase state.AssignmentPhase) *state.Machine {
	machine := h.addMachine()
	job := state.NewJob(cluster.JobSpec{ID: longestJobID, Team: "red", Tasks: 100_000}, 0, 0, h.loop.Now())
	h.state.AddOwnedJob(job)
	for i := range count {
		assignment := &state.Assignment{
			Task:      cluster.TaskID{Job: longestJobID, Index: 99_999 - i},
			Job:       job,
			MachineID: machine.ID,
			Attempt:   longestAttempt,
			Phase:     phase,
			State:     cluster.Running,
		}
		machine.AddAssignment(assignment)
		job.SetAssigned(assignment.Task.Index, assignment)
	}
	return machine
}

// manyCommands are states of a machine for which more commands are due than fit into a
// message.
var manyCommands = map[string]func(*harness) *state.Machine{
	"starts": func(h *harness) *state.Machine { return h.addManyTasks(2000, state.PhaseReady) },
	"stops": func(h *harness) *state.Machine {
		machine := h.addManyTasks(2000, state.PhaseAcknowledged)
		for _, assignment := range machine.Assignments {
			assignment.RequestStop(longestGrace, h.loop.Now())
		}
		return machine
	},
	"stops of unrecorded tasks": func(h *harness) *state.Machine {
		machine := h.addManyTasks(0, state.PhaseReady)
		for i := range 2000 {
			machine.UnrecordedToStop[state.TaskAttempt{Task: cluster.TaskID{Job: longestJobID, Index: i}, Attempt: longestAttempt}] = true
		}
		return machine
	},
	"acknowledgements": func(h *harness) *state.Machine {
		machine := h.addManyTasks(0, state.PhaseReady)
		for i := range 2000 {
			machine.EndedToAcknowledge[state.TaskAttempt{Task: cluster.TaskID{Job: longestJobID, Index: i}, Attempt: longestAttempt}] = true
		}
		return machine
	},
	"invalid job IDs": func(h *harness) *state.Machine {
		machine := h.addManyTasks(0, state.PhaseReady)
		for i := range 20 {
			id := cluster.JobID(strings.Repeat("<", 4000))
			machine.EndedToAcknowledge[state.TaskAttempt{Task: cluster.TaskID{Job: id, Index: i}}] = true
		}
		return machine
	},
}

// heartbeatResponses returns the responses to heartbeats among effects.
func heartbeatResponses(effects []messages.Effect) []*messages.HeartbeatResponse {
	var responses []*messages.HeartbeatResponse
	for _, effect := range effects {
		if response, ok := effect.(messages.Respond); ok && response.Heartbeat != nil {
			responses = append(responses, response.Heartbeat)
		}
	}
	return responses
}

// TestCommandsFitIntoMessage guards against responses with a line above 64 KiB, and against
// pushes above 64 KiB, which a worker rejects.
func TestCommandsFitIntoMessage(t *testing.T) {
	for name, prepare := range manyCommands {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			machine := prepare(h)
			machine.PendingHeartbeat = 9
			h.Heartbeats.Answer(machine)
			response := heartbeatResponses(h.loop.Effects())[0]
			if size := len(wire.EncodeHeartbeatResponse(messages.StatusOK, *response)); size > wire.MaxBodySize || len(response.Commands) == 0 {
				t.Errorf("response of %d bytes with %d commands", size, len(response.Commands))
			}
		})
		t.Run(name+" pushed", func(t *testing.T) {
			h := newHarness(t)
			machine := prepare(h)
			machine.LastHeartbeat = h.loop.Now()
			h.Commands.QueuePush(machine)
			h.Commands.PushQueued()
			for _, push := range h.pushes() {
				if size := len(wire.EncodePushCommands(push)); size > wire.MaxBodySize {
					t.Errorf("push of %d bytes with %d commands", size, len(push.Commands))
				}
			}
		})
	}
}

// TestStopsBeyondMessageAreSentLater checks that stops that did not fit into a push are not
// marked as sent, and are pushed after the reply.
func TestStopsBeyondMessageAreSentLater(t *testing.T) {
	h := newHarness(t)
	machine := manyCommands["stops"](h)
	machine.LastHeartbeat = h.loop.Now()
	h.Commands.QueuePush(machine)
	stopped := map[cluster.TaskID]bool{}
	for range 10 {
		h.Commands.PushQueued()
		for _, push := range h.pushes() {
			for _, command := range push.Commands {
				stopped[command.Task] = true
			}
			status := statusWithCurrentToken(machine, machine.SequenceNumber)
			h.loop.Deliver(messages.Reply{Call: push.Call, Body: messages.WorkerReply{Outcome: messages.OK, Status: *status}})
		}
	}
	if len(stopped) != len(machine.Assignments) {
		t.Errorf("%d of %d tasks stopped", len(stopped), len(machine.Assignments))
	}
}
