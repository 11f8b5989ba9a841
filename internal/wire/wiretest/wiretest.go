// Package wiretest helps to test the actors: the clients that carry out the
// controller's effects, and the handlers that turn requests into its events.
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

// replyTimeout is how long a test waits for the reply to an effect. It is longer
// than any call of the actors takes.
const replyTimeout = 10 * time.Second

// Serve starts a server that ends with the test and returns its address.
func Serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Execute has an actor carry out an effect and returns the body of its reply. The
// function start makes the actor with the given ReplyFunc and hands it the effect.
func Execute[T any](t *testing.T, start func(engine.ReplyFunc)) T {
	t.Helper()
	replies := make(chan any, 1)
	start(func(_ messages.CallID, body messages.ReplyBody) { replies <- body })
	select {
	case body := <-replies:
		reply, ok := body.(T)
		if !ok {
			t.Fatalf("reply is a %T, want a %T", body, reply)
		}
		return reply
	case <-time.After(replyTimeout):
		t.Fatal("no reply")
	}
	panic("unreachable")
}

// Requester is an engine.Requester that keeps the events it is given and answers
// all of them alike.
type FakeRequester struct {
	// Response is the answer to each request.
	Response messages.Respond
	// NoResponse makes Request wait until the context of the request has ended.
	NoResponse bool

	mu     sync.Mutex
	events []messages.Event
}

// requestID is the id of all requests, which a Requester does not tell apart.
const requestID = 1

// Request keeps the event and gives the answer.
func (r *FakeRequester) Request(ctx context.Context, event func(messages.RequestID) messages.Event) (messages.Respond, bool) {
	r.mu.Lock()
	r.events = append(r.events, event(requestID))
	r.mu.Unlock()
	if r.NoResponse {
		waitForEnd(ctx)
		return messages.Respond{}, false
	}
	return r.Response, true
}

// Events returns the events so far.
func (r *FakeRequester) Events() []messages.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]messages.Event(nil), r.events...)
}

// CheckClientDisconnect checks that a handler stops to wait for the controller's answer
// when the client closes the connection.
func CheckClientDisconnect(t *testing.T, newHandler func(engine.Requester) http.Handler, method, path, body string) {
	t.Helper()
	requester := &disconnectRequester{waiting: make(chan struct{}), ended: make(chan struct{})}
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
		t.Fatalf("answered %d, want no answer", response.StatusCode)
	}
	select {
	case <-requester.ended:
	case <-time.After(replyTimeout):
		t.Error("the request still waits for an answer")
	}
}

// disconnectRequester is an engine.Requester for one request, which it never answers.
type disconnectRequester struct {
	waiting chan struct{} // closed when the request has come
	ended   chan struct{} // closed when its context has ended
}

// Request waits until the context of the request has ended.
func (r *disconnectRequester) Request(ctx context.Context, _ func(messages.RequestID) messages.Event) (messages.Respond, bool) {
	close(r.waiting)
	if waitForEnd(ctx) {
		close(r.ended)
	}
	return messages.Respond{}, false
}

// waitForEnd waits until a context has ended, and tells whether it has. It gives up after
// a while, so that a handler that does not pass its context on fails the test
// instead of blocking it.
func waitForEnd(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	case <-time.After(replyTimeout):
		return false
	}
}

// UnusedAddress returns an address at which nothing listens.
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

// ServeAbort returns the address of a server that reads each request and closes
// the connection without a response.
func ServeAbort(t *testing.T) string {
	t.Helper()
	return Serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
}
