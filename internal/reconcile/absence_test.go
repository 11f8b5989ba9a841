package reconcile

import (
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

const (
	// dispatchSequence is the sequence number of the heartbeat in whose response the start
	// was sent.
	dispatchSequence = cluster.SequenceNumber(5)
	// lastIncarnation is the worker's incarnation before the status is applied.
	lastIncarnation = cluster.Incarnation(2)
)

// lostStartCase is a status that does not list a task whose start was dispatched. By
// default, the start was sent in the response to the last heartbeat.
type lostStartCase struct {
	name        string
	prepare     func(*state.Machine, *state.Assignment)
	status      func(*cluster.HeartbeatStatus)
	pushed      bool // the status is the reply to a push
	lost        bool
	raisesToken bool // a higher token is requested, because responses may not reach the machine
}

var lostStartCases = []lostStartCase{
	{name: "sent in the response to an earlier heartbeat", lost: true, raisesToken: true},
	{
		name:   "status is the reply to a push",
		pushed: true,
	},
	{
		name:    "sent in the response to this heartbeat",
		prepare: func(machine *state.Machine, _ *state.Assignment) { machine.SequenceNumber = dispatchSequence - 1 },
		status:  func(status *cluster.HeartbeatStatus) { status.SequenceNumber = dispatchSequence },
	},
	{
		name:   "new incarnation of the worker",
		status: func(status *cluster.HeartbeatStatus) { status.Incarnation = lastIncarnation + 1 },
		lost:   true, raisesToken: true,
	},
	{
		name:    "pushed, reply received",
		prepare: func(_ *state.Machine, assignment *state.Assignment) { assignment.Pushed = true },
		lost:    true,
	},
	{
		name: "pushed, no reply yet",
		prepare: func(machine *state.Machine, assignment *state.Assignment) {
			assignment.Pushed, machine.PushInFlight = true, true
		},
	},
	{
		name: "pushed, outcome unknown",
		prepare: func(machine *state.Machine, assignment *state.Assignment) {
			machine.MarkStartsPushed()
			assignment.Pushed, machine.StartInDoubt, machine.RaisingToken = true, true, true
		},
	},
	{
		name:   "token not acknowledged",
		status: func(status *cluster.HeartbeatStatus) { status.FencingToken-- },
	},
}

// TestLostStartRequeuedOnlyWithProof checks that a dispatched start is requeued only when it
// can no longer be executed. Otherwise the task could run twice.
func TestLostStartRequeuedOnlyWithProof(t *testing.T) {
	for _, test := range lostStartCases {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			machine := h.addMachine()
			assignment := h.assign(machine, h.addJob(), state.PhaseDispatched)
			machine.Incarnation, machine.SequenceNumber, assignment.DispatchedAtSequence = lastIncarnation, dispatchSequence, dispatchSequence
			if test.prepare != nil {
				test.prepare(machine, assignment)
			}
			status := statusWithCurrentToken(machine, dispatchSequence+1)
			if test.status != nil {
				test.status(status)
			}
			h.ApplyStatus(machine, status, test.pushed)
			want := state.PhaseDispatched
			if test.lost {
				want = state.PhaseReady
			}
			if assignment.Phase != want || assignment.ConfirmedAbsent {
				t.Errorf("phase %d, confirmed absent %v; want phase %d, not absent", assignment.Phase, assignment.ConfirmedAbsent, want)
			}
			if raised := slices.Contains(h.raisedTokens, machine.ID); raised != test.raisesToken {
				t.Errorf("token raised: %v, want %v", raised, test.raisesToken)
			}
		})
	}
}
