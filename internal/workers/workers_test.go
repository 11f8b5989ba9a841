package workers

import (
	"reflect"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
	"stairrelay/internal/wire/wiretest"
)

// callWorker has a client carry out an effect and returns its reply.
func callWorker(t *testing.T, effect messages.Effect) messages.PushCommandsReply {
	t.Helper()
	return wiretest.Execute[messages.PushCommandsReply](t, func(reply engine.ReplyFunc) { New(0, reply).Do(effect) })
}

// TestRequests checks the requests that a worker gets, byte for byte.
func TestRequests(t *testing.T) {
	stop := cluster.Command{Kind: cluster.Stop, Task: cluster.TaskID{Job: "j-000377", Index: 1}, Attempt: 1, GraceSeconds: 10}
	for name, test := range map[string]struct {
		effect func(address string) messages.Effect
		want   wiretest.Request
	}{
		"pushed commands": {
			func(address string) messages.Effect {
				return messages.PushCommands{Addr: address, FencingToken: 41, Incarnation: 2, Commands: []cluster.Command{stop}}
			},
			wiretest.Request{Method: "POST", URI: "/orders", ContentType: "application/json", Body: `{"baton":41,"shift":2,"dispatches":[{"verb":"halt","leg":"j-000377/1","boarding":1,"layoverS":10}]}`},
		},
		"status query": {
			func(address string) messages.Effect { return messages.QueryWorkerStatus{Addr: address} },
			wiretest.Request{Method: "GET", URI: "/inspect"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			address, requests := wiretest.ServeAndRecord(t, validHeartbeat)
			if reply := callWorker(t, test.effect(address)); reply.Outcome != messages.OK || !reflect.DeepEqual(reply.Status, validStatus()) {
				t.Errorf("reply %+v", reply)
			}
			if got := <-requests; got != test.want {
				t.Errorf("sent %+v, want %+v", got, test.want)
			}
		})
	}
}

// TestOutcomes checks what each response of a worker means: commands that may have been
// executed never count as not applied.
func TestOutcomes(t *testing.T) {
	for name, test := range map[string]struct {
		status int
		body   string
		want   messages.PushCommandsReply
	}{
		"executed":             {200, validHeartbeat, messages.PushCommandsReply{Outcome: messages.OK, Status: validStatus()}},
		"executed, no status":  {200, `{}`, messages.PushCommandsReply{Outcome: messages.UnknownOutcome}},
		"token or incarnation": {409, validHeartbeat, messages.PushCommandsReply{Outcome: messages.Conflict, Status: validStatus()}},
		"refused, no status":   {409, ``, messages.PushCommandsReply{Outcome: messages.UnknownOutcome}},
		"malformed":            {400, ``, messages.PushCommandsReply{Outcome: messages.UnknownOutcome}},
		"unavailable":          {503, ``, messages.PushCommandsReply{Outcome: messages.UnknownOutcome}},
	} {
		t.Run(name, func(t *testing.T) {
			address := wiretest.ServeStatus(t, test.status, test.body)
			if got := callWorker(t, messages.PushCommands{Addr: address}); !reflect.DeepEqual(got, test.want) {
				t.Errorf("reply %+v, want %+v", got, test.want)
			}
		})
	}
}

// TestNoConnection checks that commands to a machine that refuses the connection
// certainly were not executed, and that those to one that closes the connection without
// a response may have been.
func TestNoConnection(t *testing.T) {
	if got := callWorker(t, messages.PushCommands{Addr: wiretest.UnusedAddress(t)}); got.Outcome != messages.NotApplied {
		t.Errorf("refused: outcome %v, want NotApplied", got.Outcome)
	}
	if got := callWorker(t, messages.PushCommands{Addr: wiretest.ServeAbort(t)}); got.Outcome != messages.UnknownOutcome {
		t.Errorf("closed: outcome %v, want UnknownOutcome", got.Outcome)
	}
}
