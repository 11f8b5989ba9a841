package users

import (
	"context"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
	"stairrelay/internal/wire"
	"stairrelay/internal/wire/wiretest"
)

const validSubmission = `{"id":"j-000412","route":"train","crew":"vision","shape":"sweep","urgency":"urgent","legs":16,` +
	`"vcpus":8.0,"accelerators":1.0,"memoryGb":64.0,"bundle":"img-07","sizeGb":6.2,"fleets":["g8"],"yard":null,` +
	`"samePlace":true,"scatter":false,"standby":true,"runtimeS":240.0,"waypointS":30.0,"stowS":4.0,"dueS":900.0}`

// maxBodySize is the protocol's limit for the size of a request body.
const maxBodySize = 64 << 10

// The response header that names the part of newHandler that served the request, and its
// values.
const (
	handledByHeader = "Handled-By"
	userMiddleware  = "user middleware"
	workerHandler   = "worker handler"
)

// newHandler returns the handler under test, with a middleware and a worker handler that
// identify themselves in a response header.
func newHandler(requester engine.Requester) http.Handler {
	middleware := func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(handledByHeader, userMiddleware)
			next.ServeHTTP(w, r)
		})
	}
	heartbeats := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(handledByHeader, workerHandler)
	})
	return Handler(requester, middleware, heartbeats)
}

func serve(t *testing.T, requester engine.Requester, method, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	recorder := httptest.NewRecorder()
	newHandler(requester).ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body)))
	return recorder
}

// TestResponses checks the status, headers and body of each kind of response.
func TestResponses(t *testing.T) {
	view := &cluster.JobView{ID: "j-000412", Status: cluster.JobRunning, Done: 3, Running: 13}
	const viewBody = `{"id":"j-000412","status":"running","done":3,"running":13}`
	for name, test := range map[string]struct {
		response    messages.Respond
		status      int
		contentType string
		retryAfter  string
		body        string
	}{
		"accepted":      {messages.Respond{Status: messages.StatusCreated, View: view}, 201, "application/json", "", viewBody},
		"exists":        {messages.Respond{Status: messages.StatusOK, View: view}, 200, "application/json", "", viewBody},
		"healthy":       {messages.Respond{Status: messages.StatusOK}, 200, "", "", ""},
		"not found":     {messages.Respond{Status: messages.StatusJobNotFound, Error: "unknown job"}, 404, "text/plain; charset=utf-8", "", "unknown job\n"},
		"unschedulable": {messages.Respond{Status: messages.StatusUnschedulable, Error: "unknown team"}, 422, "text/plain; charset=utf-8", "", "unknown team\n"},
		"rate limited":  {messages.Respond{Status: messages.StatusTooManyRequests, RetryAfter: 7, Error: "busy"}, 429, "text/plain; charset=utf-8", "7", "busy\n"},
		"unavailable":   {messages.Respond{Status: messages.StatusUnavailable, RetryAfter: 2}, 503, "text/plain; charset=utf-8", "2", "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			got := serve(t, &wiretest.FakeRequester{Response: test.response}, http.MethodGet, "/v2/runs/j-000412", "")
			if got.Code != test.status || got.Body.String() != test.body {
				t.Errorf("response %d %q, want %d %q", got.Code, got.Body, test.status, test.body)
			}
			if contentType := got.Header().Get("Content-Type"); contentType != test.contentType {
				t.Errorf("Content-Type %q, want %q", contentType, test.contentType)
			}
			if retryAfter := got.Header().Get("Retry-After"); retryAfter != test.retryAfter {
				t.Errorf("Retry-After %q, want %q", retryAfter, test.retryAfter)
			}
		})
	}
}

// TestEvents checks the event for each request, and that invalid requests are rejected
// without an event.
func TestEvents(t *testing.T) {
	spec, err := wire.DecodeSubmission([]byte(validSubmission))
	if err != nil {
		t.Fatal(err)
	}
	unknownShape := strings.Replace(validSubmission, "sweep", "gang", 1)
	unknownShapeSpec := cluster.JobSpec{ID: "j-000412"}
	for name, test := range map[string]struct {
		method, path, body string
		event              messages.Event // nil if there is none
		status             int
		responseBody       string
	}{
		"health":               {"GET", "/healthz", "", messages.Health{Request: 1}, 200, ""},
		"submission":           {"POST", "/v2/runs", validSubmission, messages.Submit{Request: 1, Spec: spec}, 200, ""},
		"malformed with an id": {"POST", "/v2/runs", unknownShape, messages.Submit{Request: 1, Spec: unknownShapeSpec, Rejection: messages.StatusBadRequest, Reason: "shape is not known"}, 200, ""},
		"query":                {"GET", "/v2/runs/j-7", "", messages.Query{Request: 1, ID: "j-7"}, 200, ""},
		"cancellation":         {"POST", "/v2/runs/j-7/cancel", "", messages.Cancel{Request: 1, ID: "j-7"}, 200, ""},
		"cancellation, body":   {"POST", "/v2/runs/j-7/cancel", "{}", messages.Cancel{Request: 1, ID: "j-7"}, 200, ""},

		"not JSON":           {"POST", "/v2/runs", "{", nil, 400, "reading submission: unexpected end of JSON input\n"},
		"no id":              {"POST", "/v2/runs", "{}", nil, 400, "id is missing or malformed\n"},
		"not an object":      {"POST", "/v2/runs", "[1]", nil, 400, "reading submission: json: cannot unmarshal array into Go value of type wire.submission\n"},
		"query, bad id":      {"GET", "/v2/runs/j-x", "", nil, 404, "404 page not found\n"},
		"cancel, bad id":     {"POST", "/v2/runs/x-7/cancel", "", nil, 404, "404 page not found\n"},
		"unknown path":       {"GET", "/v2/walks", "", nil, 404, "404 page not found\n"},
		"unknown method":     {"DELETE", "/v2/runs/j-7", "", nil, 405, "Method Not Allowed\n"},
		"heartbeat with GET": {"GET", "/checkin", "", nil, 404, "404 page not found\n"},
	} {
		t.Run(name, func(t *testing.T) {
			requester := &wiretest.FakeRequester{Response: messages.Respond{Status: messages.StatusOK}}
			got := serve(t, requester, test.method, test.path, test.body)
			if got.Code != test.status || got.Body.String() != test.responseBody {
				t.Errorf("response %d %q, want %d %q", got.Code, got.Body, test.status, test.responseBody)
			}
			if handledBy := got.Header().Get(handledByHeader); handledBy != userMiddleware {
				t.Errorf("handled by %q, want %q", handledBy, userMiddleware)
			}
			var want []messages.Event
			if test.event != nil {
				want = append(want, test.event)
			}
			if events := requester.Events(); !reflect.DeepEqual(events, want) {
				t.Errorf("events %+v, want %+v", events, want)
			}
		})
	}
}

// TestMistypedField checks the error that a user gets for a field of the wrong JSON type.
// It contains the name of a Go type, so renaming the type would change the response.
func TestMistypedField(t *testing.T) {
	requester := &wiretest.FakeRequester{Response: messages.Respond{Status: messages.StatusOK}}
	serve(t, requester, http.MethodPost, "/v2/runs", strings.Replace(validSubmission, `"vcpus":8.0`, `"vcpus":"8"`, 1))
	want := messages.Submit{
		Request:   1,
		Spec:      cluster.JobSpec{ID: "j-000412"},
		Rejection: messages.StatusBadRequest,
		Reason:    "reading submission: json: cannot unmarshal string into Go struct field submission.vcpus of type float64",
	}
	if events := requester.Events(); !reflect.DeepEqual(events, []messages.Event{want}) {
		t.Errorf("events %+v, want %+v", events, want)
	}
}

// TestBodyLimit checks that a submission of the maximum size is accepted, and that a larger
// one is rejected without an event.
func TestBodyLimit(t *testing.T) {
	padded := func(length int) string { return validSubmission + strings.Repeat(" ", length-len(validSubmission)) }
	requester := &wiretest.FakeRequester{Response: messages.Respond{Status: messages.StatusCreated}}
	if got := serve(t, requester, http.MethodPost, "/v2/runs", padded(maxBodySize)); got.Code != http.StatusCreated {
		t.Errorf("largest body: response %d %q, want 201", got.Code, got.Body)
	}
	got := serve(t, requester, http.MethodPost, "/v2/runs", padded(maxBodySize+1))
	if got.Code != http.StatusBadRequest || got.Body.String() != "body unreadable or too large\n" {
		t.Errorf("oversized body: response %d %q, want 400", got.Code, got.Body)
	}
	if events := requester.Events(); len(events) != 1 {
		t.Errorf("%d events, want only that for the largest body", len(events))
	}
}

// TestHeartbeatsBypassUserMiddleware checks that a heartbeat is not served through the
// users' middleware, which would mark the connection as a user's.
func TestHeartbeatsBypassUserMiddleware(t *testing.T) {
	got := serve(t, &wiretest.FakeRequester{}, http.MethodPost, "/checkin", "{}")
	if handledBy := got.Header().Get(handledByHeader); handledBy != workerHandler {
		t.Errorf("handled by %q, want %q", handledBy, workerHandler)
	}
}

// TestUnansweredRequest checks that the response is 503 with Retry-After if the context of a
// request ends before the controller responds.
func TestUnansweredRequest(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	recorder := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/v2/runs/j-7", nil)
	newHandler(&wiretest.FakeRequester{NoResponse: true}).ServeHTTP(recorder, request)
	if retryAfter := recorder.Header().Get("Retry-After"); recorder.Code != http.StatusServiceUnavailable || retryAfter != "1" {
		t.Errorf("status %d, Retry-After %q; want 503 and 1", recorder.Code, retryAfter)
	}
}

// TestUserDisconnects checks that the handler stops waiting for the controller when the user
// closes the connection. Otherwise the handler's goroutine would leak.
func TestUserDisconnects(t *testing.T) {
	wiretest.CheckClientDisconnect(t, newHandler, http.MethodGet, "/v2/runs/j-7", "")
}
