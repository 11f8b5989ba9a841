package workers

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
	"stairrelay/internal/wire/wiretest"
)

const validHeartbeat = `{"coach":"m-000231","addr":"10.1.0.232:9000","fleet":"g8","yard":"a","standby":true,` +
	`"shift":1,"stamp":88,"baton":41,"recallS":null,"legs":[{"leg":"j-000412/3","boarding":2,"status":"running"}]}`

// maxBodySize is the protocol's limit for the size of a request body.
const maxBodySize = 64 << 10

// validStatus returns the decoded form of validHeartbeat.
func validStatus() cluster.HeartbeatStatus {
	return cluster.HeartbeatStatus{
		Machine:          "m-000231",
		Addr:             "10.1.0.232:9000",
		Type:             "g8",
		Zone:             "a",
		Spot:             true,
		Incarnation:      1,
		SequenceNumber:   88,
		FencingToken:     41,
		PreemptionNotice: -1,
		Tasks: []cluster.TaskStatus{
			{Task: cluster.TaskID{Job: "j-000412", Index: 3}, Attempt: 2, State: cluster.Running},
		},
	}
}

func newTestHandler(requester engine.Requester) http.Handler {
	return Handler(requester, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func serveHeartbeat(t *testing.T, handler http.Handler, body string) *httptest.ResponseRecorder {
	t.Helper()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/checkin", strings.NewReader(body)))
	return recorder
}

// TestHeartbeatResponses checks the event for a heartbeat, and the status, content type and
// body of each kind of response.
func TestHeartbeatResponses(t *testing.T) {
	start := cluster.Command{Kind: cluster.Start, Task: cluster.TaskID{Job: "j-000412", Index: 4}, Attempt: 2}
	commands := &messages.HeartbeatResponse{FencingToken: 41, Commands: []cluster.Command{start}}
	redirect := &messages.HeartbeatResponse{RedirectTo: "landing-2"}
	for name, test := range map[string]struct {
		response    messages.Respond
		status      int
		contentType string
		body        string
	}{
		"commands":      {messages.Respond{Status: messages.StatusOK, Heartbeat: commands}, 200, "application/json", `{"baton":41,"dispatches":[{"verb":"start","leg":"j-000412/4","boarding":2}]}`},
		"redirected":    {messages.Respond{Status: messages.StatusMisdirected, Heartbeat: redirect}, 421, "application/json", `{"dispatcher":"landing-2"}`},
		"owner unknown": {messages.Respond{Status: messages.StatusMisdirected, Heartbeat: &messages.HeartbeatResponse{}}, 421, "application/json", `{}`},
		"unavailable":   {messages.Respond{Status: messages.StatusUnavailable, Error: "not now"}, 503, "text/plain; charset=utf-8", "not now\n"},
	} {
		t.Run(name, func(t *testing.T) {
			requester := &wiretest.FakeRequester{Response: test.response}
			got := serveHeartbeat(t, newTestHandler(requester), validHeartbeat)
			if got.Code != test.status || got.Body.String() != test.body {
				t.Errorf("response %d %q, want %d %q", got.Code, got.Body, test.status, test.body)
			}
			if contentType := got.Header().Get("Content-Type"); contentType != test.contentType {
				t.Errorf("Content-Type %q, want %q", contentType, test.contentType)
			}
			want := []messages.Event{messages.Heartbeat{Request: 1, Status: validStatus()}}
			if events := requester.Events(); !reflect.DeepEqual(events, want) {
				t.Errorf("events %+v, want %+v", events, want)
			}
		})
	}
}

// TestRejectedHeartbeats checks that a heartbeat that can't be decoded is rejected with
// status 400 and not passed to the controller.
func TestRejectedHeartbeats(t *testing.T) {
	for name, test := range map[string]struct{ body, responseBody string }{
		"empty":                      {"", "malformed report\n"},
		"not JSON":                   {"{", "malformed report\n"},
		"no machine":                 {`{"shift":1}`, "malformed report\n"},
		"unknown task":               {strings.Replace(validHeartbeat, "running", "flying", 1), "malformed report\n"},
		"oversized, machine unknown": {"[" + strings.Repeat(" ", maxBodySize), "body unreadable or too large\n"},
	} {
		t.Run(name, func(t *testing.T) {
			requester := &wiretest.FakeRequester{Response: messages.Respond{Status: messages.StatusOK}}
			got := serveHeartbeat(t, newTestHandler(requester), test.body)
			if got.Code != http.StatusBadRequest || got.Body.String() != test.responseBody {
				t.Errorf("response %d %q, want 400 %q", got.Code, got.Body, test.responseBody)
			}
			if events := requester.Events(); len(events) != 0 {
				t.Errorf("events %+v, want none", events)
			}
		})
	}
}

// TestOversizedHeartbeat checks that a heartbeat above the size limit is rejected with status
// 400, and that the controller learns which machine sent it but nothing else of it.
func TestOversizedHeartbeat(t *testing.T) {
	const wantBody = "body unreadable or too large\n"
	requester := &wiretest.FakeRequester{Response: messages.Respond{Status: messages.StatusBadRequest}}
	body := validHeartbeat + strings.Repeat(" ", maxBodySize+1-len(validHeartbeat))
	got := serveHeartbeat(t, newTestHandler(requester), body)
	if got.Code != http.StatusBadRequest || got.Body.String() != wantBody {
		t.Errorf("response %d %q, want 400 %q", got.Code, got.Body, wantBody)
	}
	want := []messages.Event{messages.OversizedHeartbeat{Request: 1, Machine: "m-000231", Reason: unreadableReason}}
	if events := requester.Events(); !reflect.DeepEqual(events, want) {
		t.Errorf("events %+v, want %+v", events, want)
	}
}

// TestLargestHeartbeat checks that a body of the maximum size is accepted.
func TestLargestHeartbeat(t *testing.T) {
	body := validHeartbeat + strings.Repeat(" ", maxBodySize-len(validHeartbeat))
	requester := &wiretest.FakeRequester{Response: messages.Respond{Status: messages.StatusOK, Heartbeat: &messages.HeartbeatResponse{}}}
	if got := serveHeartbeat(t, newTestHandler(requester), body); got.Code != http.StatusOK {
		t.Errorf("response %d %q, want 200", got.Code, got.Body)
	}
}

// TestMalformedHeartbeatLoggedOnce checks that a malformed heartbeat that a host repeats is
// logged once, and that the total number of such log lines is limited.
func TestMalformedHeartbeatLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	handler := Handler(&wiretest.FakeRequester{}, slog.New(slog.NewTextHandler(&log, nil)))
	send := func(remoteAddress string) {
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/checkin", strings.NewReader("{"))
		request.RemoteAddr = remoteAddress
		handler.ServeHTTP(httptest.NewRecorder(), request)
	}
	send("10.1.0.232:40001")
	send("10.1.0.232:40002")
	if lines := strings.Count(log.String(), "\n"); lines != 1 {
		t.Errorf("%d log lines for one host, want 1:\n%s", lines, log.String())
	}
	for host := range 2 * maxLoggedErrors {
		send("host" + strconv.Itoa(host) + ":40001")
	}
	if lines := strings.Count(log.String(), "\n"); lines != maxLoggedErrors+1 {
		t.Errorf("%d log lines in total, want %d", lines, maxLoggedErrors+1)
	}
}

// TestUnansweredHeartbeat checks that the status is 503 if the context of a heartbeat ends
// before the controller responds.
func TestUnansweredHeartbeat(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	recorder := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/checkin", strings.NewReader(validHeartbeat))
	newTestHandler(&wiretest.FakeRequester{NoResponse: true}).ServeHTTP(recorder, request)
	if recorder.Code != http.StatusServiceUnavailable || recorder.Body.String() != "given up\n" {
		t.Errorf("response %d %q, want 503", recorder.Code, recorder.Body)
	}
}

// TestWorkerDisconnects checks that the handler stops waiting for the controller when the
// worker closes the connection, as workers do after a timeout of 4s.
func TestWorkerDisconnects(t *testing.T) {
	wiretest.CheckClientDisconnect(t, newTestHandler, http.MethodPost, "/checkin", validHeartbeat)
}
