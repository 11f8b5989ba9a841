package reconcile

import (
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// testRequest is the request ID of the heartbeats in these tests.
const testRequest = messages.RequestID(1)

// response returns the response to the request testRequest that was sent in the current
// event loop step, or nil if there is none.
func (h *harness) response() *messages.Respond {
	h.t.Helper()
	for _, effect := range h.loop.Effects() {
		if response, ok := effect.(messages.Respond); ok && response.Request == testRequest {
			return &response
		}
	}
	return nil
}

// TestHeartbeatNotAccepted checks that a heartbeat is redirected or rejected if the
// controller may not own the machine, has not loaded its shard or knows a later incarnation.
func TestHeartbeatNotAccepted(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(*harness, *state.Machine)
		status  messages.ResponseStatus
	}{
		{"owner", func(*harness, *state.Machine) {}, messages.StatusOK},
		{"isolated", func(h *harness, _ *state.Machine) { h.isolated = true }, messages.StatusMisdirected},
		{"ownership lease expired", func(h *harness, _ *state.Machine) { h.cannotAnswer = true }, messages.StatusMisdirected},
		{"shard not loaded yet", func(h *harness, _ *state.Machine) { h.state.Shards[0].Ready = false }, messages.StatusUnavailable},
		{"fenced off by a newer token", func(_ *harness, machine *state.Machine) { machine.Token -= 2 }, messages.StatusMisdirected},
		{"earlier incarnation", func(_ *harness, machine *state.Machine) { machine.Incarnation++ }, messages.StatusMisdirected},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			machine := h.addMachine()
			status := statusWithCurrentToken(machine, machine.SequenceNumber+1)
			test.prepare(h, machine)
			h.Heartbeats.Handle(messages.Heartbeat{Request: testRequest, Status: *status})
			h.Heartbeats.AnswerReady()
			response := h.response()
			if response == nil || response.Status != test.status {
				t.Fatalf("answered with %+v, want status %v", response, test.status)
			}
			if fenced := status.FencingToken > machine.Token; fenced != (len(h.checkedOwners) == 1) {
				t.Errorf("owners checked for machines %v", h.checkedOwners)
			}
		})
	}
}

// holdHeartbeat sends a heartbeat from a machine with a start whose record is not stored
// yet, and checks that the heartbeat is held.
func (h *harness) holdHeartbeat() (*state.Machine, *state.Assignment) {
	h.t.Helper()
	machine := h.addMachine()
	assignment := h.assign(machine, h.addJob(), state.PhaseRecording)
	h.Heartbeats.Handle(messages.Heartbeat{Request: testRequest, Status: *statusWithCurrentToken(machine, machine.SequenceNumber+1)})
	h.Heartbeats.AnswerReady()
	if h.response() != nil {
		h.t.Fatal("heartbeat answered before the record was stored")
	}
	return machine, assignment
}

// TestHeartbeatHeldForRecord checks that the response to a heartbeat is held until the
// record of a start is stored, so that the response contains the start.
func TestHeartbeatHeldForRecord(t *testing.T) {
	h := newHarness(t)
	machine, assignment := h.holdHeartbeat()
	assignment.MarkRecorded()
	h.Heartbeats.Recheck(machine)
	h.Heartbeats.AnswerReady()
	response := h.response()
	if response == nil {
		t.Fatal("no response after the record was stored")
	}
	want := []cluster.Command{{Kind: cluster.Start, Task: assignment.Task, Attempt: assignment.Attempt}}
	if got := response.Heartbeat.Commands; !slices.Equal(got, want) {
		t.Errorf("answered with %+v, want %+v", got, want)
	}
}

// TestHeldHeartbeatAnsweredInTime checks that a held heartbeat is answered at the first scan
// after its deadline, without the start whose record is not stored.
func TestHeldHeartbeatAnsweredInTime(t *testing.T) {
	h := newHarness(t)
	h.holdHeartbeat()
	begin := h.loop.Now()
	for h.response() == nil && h.loop.Now() < begin+second {
		h.setTime(h.loop.Now() + 50*millisecond)
		h.loop.RunTimers()
		h.Heartbeats.AnswerReady()
	}
	if held := h.loop.Now() - begin; held < MaxHeartbeatHold || held > MaxHeartbeatHold+heldHeartbeatScanInterval {
		t.Errorf("held for %d ms, want MaxHeartbeatHold plus at most one scan interval", held/millisecond)
	}
	if response := h.response(); response == nil || len(response.Heartbeat.Commands) != 0 {
		t.Errorf("answered with %+v, want no commands", response)
	}
}
