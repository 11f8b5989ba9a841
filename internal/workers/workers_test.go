package workers

import (
	"reflect"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
	"stairrelay/internal/wire/wiretest"
)

// callWorker executes an effect with a new client and returns the reply.
func callWorker(t *testing.T, effect messages.Effect) messages.WorkerReply {
	t.Helper()
	return wiretest.Execute[messages.WorkerReply](t, func(reply engine.ReplyFunc) { New(0, reply).Do(effect) })
}

// TestRequests checks the exact method, URI, content type and body of each request to a
// worker, and that the status in the response is decoded.
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

// TestOutcomes checks the outcomes of responses. Commands that may have been executed must
// not be reported as NotApplied.
func TestOutcomes(t *testing.T) {
	for name, test := range map[string]struct {
		status int
		body   string
		want   messages.WorkerReply
	}{
		"executed":                   {200, validHeartbeat, messages.WorkerReply{Outcome: messages.OK, Status: validStatus()}},
		"executed, no status":        {200, `{}`, messages.WorkerReply{Outcome: messages.UnknownOutcome}},
		"stale token or incarnation": {409, validHeartbeat, messages.WorkerReply{Outcome: messages.Conflict, Status: validStatus()}},
		"rejected, no status":        {409, ``, messages.WorkerReply{Outcome: messages.UnknownOutcome}},
		"malformed":                  {400, ``, messages.WorkerReply{Outcome: messages.UnknownOutcome}},
		"unavailable":                {503, ``, messages.WorkerReply{Outcome: messages.UnknownOutcome}},
	} {
		t.Run(name, func(t *testing.T) {
			address := wiretest.ServeStatus(t, test.status, test.body)
			if got := callWorker(t, messages.PushCommands{Addr: address}); !reflect.DeepEqual(got, test.want) {
				t.Errorf("reply %+v, want %+v", got, test.want)
			}
		})
	}
}

// TestNoConnection checks that the outcome is NotApplied if the connection is refused, and
// UnknownOutcome if it is closed without a response.
func TestNoConnection(t *testing.T) {
	if got := callWorker(t, messages.PushCommands{Addr: wiretest.UnusedAddress(t)}); got.Outcome != messages.NotApplied {
		t.Errorf("refused: outcome %v, want NotApplied", got.Outcome)
	}
	if got := callWorker(t, messages.PushCommands{Addr: wiretest.ServeAbort(t)}); got.Outcome != messages.UnknownOutcome {
		t.Errorf("closed: outcome %v, want UnknownOutcome", got.Outcome)
	}
}
