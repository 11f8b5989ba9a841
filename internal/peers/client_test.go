package peers

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
	"stairrelay/internal/wire/wiretest"
)

const remote = cluster.NodeID("n2")

var ping = messages.PeerMessage{Version: 2, From: "n1", Ping: &messages.Ping{InstanceID: "b"}}

// callPeer sends a message to a controller with a new client and returns the reply.
func callPeer(t *testing.T, address string, message messages.PeerMessage) messages.PeerReply {
	t.Helper()
	addresses := map[cluster.NodeID]string{remote: address}
	call := messages.PeerCall{To: remote, Timeout: 5 * cluster.Second, Message: message}
	return wiretest.Execute[messages.PeerReply](t, func(reply engine.ReplyFunc) { New(addresses, reply).Do(call) })
}

// TestCallPeer checks the request that is sent to another controller, and that its response
// is decoded.
func TestCallPeer(t *testing.T) {
	data, err := Encode(ping)
	if err != nil {
		t.Fatal(err)
	}
	address, requests := wiretest.ServeAndRecord(t, string(data))
	want := messages.PeerReply{Outcome: messages.OK, Message: ping}
	if got := callPeer(t, address, ping); !reflect.DeepEqual(got, want) {
		t.Errorf("reply %+v, want %+v", got, want)
	}
	wantRequest := wiretest.Request{Method: "POST", URI: "/peer", ContentType: "application/cbor", Body: string(data)}
	if got := <-requests; got != wantRequest {
		t.Errorf("sent %+v, want %+v", got, wantRequest)
	}
}

// TestFailedCalls checks that the outcome of a failed call is UnknownOutcome, or NotApplied
// if the message was too large to be sent.
func TestFailedCalls(t *testing.T) {
	for name, address := range map[string]string{
		"refused connection": wiretest.UnusedAddress(t),
		"closed connection":  wiretest.ServeAbort(t),
		"rejected message":   wiretest.ServeStatus(t, 400, "malformed"),
		"malformed response": wiretest.ServeStatus(t, 200, "<html>"),
	} {
		want := messages.PeerReply{Outcome: messages.UnknownOutcome}
		if got := callPeer(t, address, ping); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: reply %+v, want %+v", name, got, want)
		}
	}
	oversized := messages.PeerMessage{Version: 2, From: "n1", Reason: strings.Repeat("x", MaxMessageSize)}
	want := messages.PeerReply{Outcome: messages.NotApplied}
	if got := callPeer(t, wiretest.UnusedAddress(t), oversized); !reflect.DeepEqual(got, want) {
		t.Errorf("oversized message: reply %+v, want %+v", got, want)
	}
}

// TestUnansweredMessage checks that the status is 400, with the controller's error as the
// body, if its response has no message, and that the handler notices a disconnect.
func TestUnansweredMessage(t *testing.T) {
	data, err := Encode(ping)
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	requester := &wiretest.FakeRequester{Response: messages.Respond{Error: "unknown sender"}}
	recorder := httptest.NewRecorder()
	Handler(requester, log).ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodPost, messagePath, strings.NewReader(string(data))))
	if recorder.Code != http.StatusBadRequest || recorder.Body.String() != "unknown sender\n" {
		t.Errorf("response %d %q, want 400 with the controller's error", recorder.Code, recorder.Body)
	}
	newHandler := func(requester engine.Requester) http.Handler { return Handler(requester, log) }
	wiretest.CheckClientDisconnect(t, newHandler, http.MethodPost, messagePath, string(data))
}
