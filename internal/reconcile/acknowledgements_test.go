package reconcile

import (
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// storedRevision is the revision at which a record without an ended attempt was stored.
const storedRevision = 35

// addEndedAttempt adds a machine whose worker reports an ended attempt that the record no
// longer lists, and whose record was stored after the attempt's start.
func (h *harness) addEndedAttempt() (*state.Machine, state.TaskAttempt) {
	machine := h.addMachine()
	machine.Group.ModRevision = storedRevision
	attempt := state.TaskAttempt{Task: cluster.TaskID{Job: "j-1"}, Attempt: testAttempt}
	machine.EndedToAcknowledge[attempt] = true
	return machine, attempt
}

// acknowledgementCase is a state of a machine with an ended attempt. Its record is stored at
// storedRevision, and its token is lower.
type acknowledgementCase struct {
	name     string
	prepare  func(*state.Machine)
	sent     bool
	advanced bool // the response has a higher token than before
	writes   []writequeue.Priority
}

var acknowledgementCases = []acknowledgementCase{
	{name: "no start was pushed", prepare: func(*state.Machine) {}, sent: true},
	{
		name:    "start pushed under an earlier token",
		prepare: func(machine *state.Machine) { machine.PushedStartToken = machine.Token - 1 },
		sent:    true,
	},
	{
		name:    "start pushed under the present token",
		prepare: func(machine *state.Machine) { machine.MarkStartsPushed() },
		sent:    true, advanced: true,
	},
	{
		name: "start pushed, another push in flight",
		prepare: func(machine *state.Machine) {
			machine.MarkStartsPushed()
			machine.PushInFlight = true
		},
	},
	{
		name: "start pushed, in doubt",
		prepare: func(machine *state.Machine) {
			machine.MarkStartsPushed()
			machine.MarkStartInDoubt()
		},
	},
	{
		name: "start pushed, token being raised",
		prepare: func(machine *state.Machine) {
			machine.MarkStartsPushed()
			machine.RaisingToken = true
		},
	},
	{
		name: "start pushed, record not stored since the token was raised",
		prepare: func(machine *state.Machine) {
			machine.Token = storedRevision
			machine.MarkStartsPushed()
		},
		writes: []writequeue.Priority{writequeue.PriorityBackground},
	},
	{
		name: "start pushed, record not stored since the token was raised, write queued",
		prepare: func(machine *state.Machine) {
			machine.Token = storedRevision
			machine.MarkStartsPushed()
			machine.Group.WritePending = true
		},
	},
}

// TestAcknowledgedOnlyUnderHigherToken guards against ran_twice and ran_cancelled: the worker
// forgets an acknowledged attempt, and a late copy of its pushed start must then be rejected.
func TestAcknowledgedOnlyUnderHigherToken(t *testing.T) {
	for _, test := range acknowledgementCases {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			machine, attempt := h.addEndedAttempt()
			test.prepare(machine)
			before := machine.Token
			machine.PendingHeartbeat = testRequest
			h.Heartbeats.Answer(machine)
			response := h.response().Heartbeat
			acknowledgement := cluster.Command{Kind: cluster.Acknowledge, Task: attempt.Task, Attempt: attempt.Attempt}
			if sent := slices.Contains(response.Commands, acknowledgement); sent != test.sent {
				t.Errorf("acknowledged: %v, want %v", sent, test.sent)
			}
			want := before
			if test.advanced {
				want = storedRevision
			}
			if response.FencingToken != want {
				t.Errorf("answered with token %d, want %d", response.FencingToken, want)
			}
			if !slices.Equal(h.writes, test.writes) {
				t.Errorf("queued writes with priorities %v, want %v", h.writes, test.writes)
			}
		})
	}
}

// TestAdvancedTokenNeedsNoAcknowledgement checks that a machine whose token was advanced
// can get tasks and be found without tasks before its worker has seen the higher token.
func TestAdvancedTokenNeedsNoAcknowledgement(t *testing.T) {
	for _, test := range []struct {
		name         string
		seen         cluster.FencingToken
		acknowledged bool
	}{
		{"of an earlier owner", 30, false},
		{"before the advance", 31, true},
		{"after the advance", storedRevision, true},
		{"of a later owner", storedRevision + 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			machine, _ := h.addEndedAttempt()
			if !machine.AdvanceToken() || machine.AdvanceToken() {
				t.Fatal("the token was not advanced exactly once")
			}
			status := statusWithCurrentToken(machine, machine.SequenceNumber+1)
			status.FencingToken = test.seen
			h.ApplyStatus(machine, status, false)
			if machine.TokenAcknowledged != test.acknowledged {
				t.Errorf("token %d seen, with tokens from %d to %d in force: acknowledged %v, want %v", test.seen, machine.RequiredToken, machine.Token, machine.TokenAcknowledged, test.acknowledged)
			}
		})
	}
}
