package wiretest

import (
	"io"
	"net/http"
	"reflect"
	"strconv"
	"testing"

	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
)

// ExecutorFactory creates a client for the service at an address and returns the
// client's method that executes effects.
type ExecutorFactory func(address string, reply engine.ReplyFunc) func(messages.Effect)

// execute executes an effect with a client for the service at an address and returns
// the reply.
func (f ExecutorFactory) execute(t *testing.T, address string, effect messages.Effect) any {
	t.Helper()
	return Execute[any](t, func(reply engine.ReplyFunc) { f(address, reply)(effect) })
}

// Request is the part of a recorded request that tests compare.
type Request struct {
	Method      string
	URI         string
	ContentType string
	Body        string
}

// RequestTest is an effect and the request that the service must receive for it.
type RequestTest struct {
	Name   string
	Effect messages.Effect
	Want   Request
}

// CheckRequests checks the requests that a client sends for effects.
func CheckRequests(t *testing.T, newExecutor ExecutorFactory, tests []RequestTest) {
	t.Helper()
	for _, test := range tests {
		t.Run(test.Name, func(t *testing.T) {
			address, requests := ServeAndRecord(t, "")
			newExecutor.execute(t, address, test.Effect)
			if got := <-requests; got != test.Want {
				t.Errorf("sent %+v, want %+v", got, test.Want)
			}
		})
	}
}

// maxRecordedRequests is the number of requests that a server records before it blocks
// until the test has received one.
const maxRecordedRequests = 16

// ServeAndRecord starts a server that responds to each request with status 200 and the
// same body. It returns the server's address and a channel of the requests that the server
// receives.
func ServeAndRecord(t *testing.T, responseBody string) (address string, requests <-chan Request) {
	t.Helper()
	recorded := make(chan Request, maxRecordedRequests)
	address = Serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		recorded <- Request{
			Method:      r.Method,
			URI:         r.RequestURI,
			ContentType: r.Header.Get("Content-Type"),
			Body:        string(body),
		}
		_, _ = io.WriteString(w, responseBody)
	}))
	return address, recorded
}

// ServeStatus starts a server that responds to each request with the same status and
// body, and returns its address.
func ServeStatus(t *testing.T, status int, body string) string {
	t.Helper()
	return Serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
}

// StatusTest is an effect and its outcome for each status of a response whose body
// cannot be decoded.
type StatusTest struct {
	Name   string
	Effect messages.Effect
	Reply  func(messages.Outcome) any // returns a reply with only the outcome
	Want   map[int]messages.Outcome   // by status
}

// CheckStatuses checks the outcome of effects for each status of a response whose body
// cannot be decoded.
func CheckStatuses(t *testing.T, newExecutor ExecutorFactory, tests []StatusTest) {
	t.Helper()
	for _, test := range tests {
		for status, outcome := range test.Want {
			t.Run(test.Name+" "+strconv.Itoa(status), func(t *testing.T) {
				got := newExecutor.execute(t, ServeStatus(t, status, "<html>"), test.Effect)
				if want := test.Reply(outcome); !reflect.DeepEqual(got, want) {
					t.Errorf("reply %+v, want %+v", got, want)
				}
			})
		}
	}
}

// ReplyTest is an effect and its expected reply.
type ReplyTest struct {
	Effect messages.Effect
	Want   any
}

// CheckReplies checks the replies to effects that a client executes at an address.
func CheckReplies(t *testing.T, newExecutor ExecutorFactory, address string, tests []ReplyTest) {
	t.Helper()
	for _, test := range tests {
		if got := newExecutor.execute(t, address, test.Effect); !reflect.DeepEqual(got, test.Want) {
			t.Errorf("%T: reply %+v, want %+v", test.Effect, got, test.Want)
		}
	}
}
