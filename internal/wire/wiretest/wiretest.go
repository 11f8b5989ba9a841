// Package wiretest provides helpers for tests of the clients that execute the
// controller's effects, and of the handlers that convert requests to its events.
package wiretest

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
)

// replyTimeout is how long a test waits for the reply to an effect or for a
// cancellation. It is longer than the timeouts of the calls under test.
const replyTimeout = 10 * time.Second

// Serve starts a server, which is closed when the test ends, and returns its address.
func Serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Execute executes an effect and returns the body of the reply. The function start must
// create a client with the given ReplyFunc and pass the effect to it.
func Execute[T any](t *testing.T, start func(engine.ReplyFunc)) T {
	t.Helper()
	replies := make(chan any, 1)
	start(func(_ messages.CallID, body messages.ReplyBody) { replies <- body })
	select {
	case body := <-replies:
		reply, ok := body.(T)
		if !ok {
			t.Fatalf("reply has type %T, want %T", body, reply)
		}
		return reply
	case <-time.After(replyTimeout):
		t.Fatal("no reply before the timeout")
	}
	panic("unreachable")
}

// FakeRequester is an engine.Requester that records events and returns the same
// response to all of them.
type FakeRequester struct {
	// Response is the response to each request.
	Response messages.Respond
	// NoResponse makes Request wait until the context is cancelled, and then return
	// no response.
	NoResponse bool

	mu     sync.Mutex
	events []messages.Event
}

// requestID is the ID of all requests.
const requestID = 1

// Request records the event and returns the response.
func (r *FakeRequester) Request(ctx context.Context, makeEvent func(messages.RequestID) messages.Event) (messages.Respond, bool) {
	r.mu.Lock()
	r.events = append(r.events, makeEvent(requestID))
	r.mu.Unlock()
	if r.NoResponse {
		waitForCancellation(ctx)
		return messages.Respond{}, false
	}
	return r.Response, true
}

// Events returns the events recorded so far.
func (r *FakeRequester) Events() []messages.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]messages.Event(nil), r.events...)
}

// CheckClientDisconnect checks that a handler stops waiting for the controller's
// response when the client closes the connection.
func CheckClientDisconnect(t *testing.T, newHandler func(engine.Requester) http.Handler, method, path, body string) {
	t.Helper()
	requester := &disconnectRequester{waiting: make(chan struct{}), cancelled: make(chan struct{})}
	address := Serve(t, newHandler(requester))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		<-requester.waiting
		cancel()
	}()
	if response, err := http.DefaultClient.Do(request); err == nil {
		response.Body.Close()
		t.Fatalf("got a response with status %d, want none", response.StatusCode)
	}
	select {
	case <-requester.cancelled:
	case <-time.After(replyTimeout):
		t.Error("the handler did not cancel the request to the controller")
	}
}

// disconnectRequester is an engine.Requester for a single request, which gets no
// response.
type disconnectRequester struct {
	waiting   chan struct{} // closed when the request has arrived
	cancelled chan struct{} // closed when the context of the request is cancelled
}

// Request waits until the context of the request is cancelled.
func (r *disconnectRequester) Request(ctx context.Context, _ func(messages.RequestID) messages.Event) (messages.Respond, bool) {
	close(r.waiting)
	if waitForCancellation(ctx) {
		close(r.cancelled)
	}
	return messages.Respond{}, false
}

// waitForCancellation waits until ctx is cancelled and reports whether it was. It returns
// false after replyTimeout, so that a handler that does not pass on its context fails the
// test instead of blocking it.
func waitForCancellation(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	case <-time.After(replyTimeout):
		return false
	}
}

// UnusedAddress returns an address at which connections are refused.
func UnusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// ServeAbort starts a server that closes the connection of each request without a
// response, and returns its address.
func ServeAbort(t *testing.T) string {
	t.Helper()
	return Serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
}
