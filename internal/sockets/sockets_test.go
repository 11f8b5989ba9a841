package sockets

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// sendRequest makes a request on a connection and returns the answer's headers.
func sendRequest(t *testing.T, c net.Conn, path string) (*http.Response, error) {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
	return http.ReadResponse(bufio.NewReader(c), nil)
}

// A controller that is alone with all machines ran out of sockets: users'
// kept connections took them, and workers and health checks were refused.
// Idle connections of users make room, workers' are left alone.
func TestIdleUsersEvictedForWorkers(t *testing.T) {
	f := NewConnectionLimiter(8)
	mux := http.NewServeMux()
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	mux.Handle("/checkin", answer)
	mux.Handle("/v2/", f.UserMiddleware(answer))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := f.NewServer(mux, 500*time.Millisecond)
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	var workers, users []net.Conn
	for range 4 {
		c := dial()
		if _, err := sendRequest(t, c, "/checkin"); err != nil {
			t.Fatal(err)
		}
		workers = append(workers, c)
	}
	for i := range 3 {
		c := dial()
		r, err := sendRequest(t, c, "/v2/x")
		if err != nil {
			t.Fatal(err)
		}
		if r.Close {
			t.Errorf("user %d was told to close while there was room", i)
		}
		// The server notes that a connection is idle only after its answer has
		// arrived; the order in which they became idle is what is tested below.
		awaitIdleUsers(t, f, i+1)
		users = append(users, c)
	}
	r, err := sendRequest(t, dial(), "/v2/x") // the eighth of eight
	if err != nil || !r.Close {
		t.Errorf("the last user was not told to close: %v", err)
	}
	for range 3 { // three workers too many, with the one above gone: two idle users go
		c := dial()
		if _, err := sendRequest(t, c, "/checkin"); err != nil {
			t.Errorf("a worker was kept out: %v", err)
		}
		workers = append(workers, c)
	}
	if _, err := sendRequest(t, users[0], "/v2/x"); err == nil {
		t.Error("the user idle the longest still has its connection")
	}
	for i, c := range workers {
		if _, err := sendRequest(t, c, "/checkin"); err != nil {
			t.Errorf("worker %d lost its connection: %v", i, err)
		}
	}
	for end := time.Now().Add(5 * time.Second); f.OpenConnections() > 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections that say nothing are still open", f.OpenConnections())
		}
	}
}

// Calls to hundreds of silent machines must not hold up those to others.
func TestUnresponsiveMachinesDoNotBlockOthers(t *testing.T) {
	s := NewCallLimiter(4)
	done, ok := s.Acquire("silent", time.Millisecond)
	if !ok {
		t.Fatal("no slot at the start")
	}
	done(false)
	if _, ok := s.Acquire("silent", time.Millisecond); !ok {
		t.Fatal("the silent one is never called again")
	}
	if _, ok := s.Acquire("silent", time.Millisecond); ok {
		t.Error("a second call to silent places at once")
	}
	for i := range 3 {
		if _, ok := s.Acquire(fmt.Sprint("good", i), time.Millisecond); !ok {
			t.Errorf("call %d to a place that answers was held up", i)
		}
	}
	if _, ok := s.Acquire("good3", time.Millisecond); ok {
		t.Error("more calls at once than allowed")
	}
}

func TestBudget(t *testing.T) {
	for _, c := range []struct{ most, peers, workers int }{{3092, 2, 1884}, {4101, 4, 1827}} {
		p := NewBudget(c.most, c.peers)
		if p.Inbound < c.workers+300 || p.Calls < 300 || p.Inbound+2*p.Calls > c.most-30 {
			t.Errorf("%d sockets: %+v, too few for %d workers and some hundred users", c.most, p, c.workers)
		}
	}
	// One of seven controllers with all 900 machines: they and all calls must fit.
	if p := NewBudget(1200, 6); p.Inbound < 900 || 900+2*p.Calls > 1200-reservedSockets-6*socketsPerPeer {
		t.Errorf("1,200 sockets: %+v, too few for 900 workers", p)
	}
	if p := NewBudget(0, 2); p != (Budget{}) {
		t.Errorf("without a limit: %+v", p)
	}
}

// Connections that come at once each get room of their own: the second must
// not count on the one that is being closed for the first.
func TestEvictsForEachNewConnection(t *testing.T) {
	f := NewConnectionLimiter(2)
	var far []net.Conn
	for range 2 {
		near, other := net.Pipe()
		far = append(far, other)
		f.connState(near, http.StateNew)
		f.connections[near].role = userRole
		f.connState(near, http.StateIdle)
	}
	for range 2 {
		c, _ := net.Pipe()
		f.connState(c, http.StateNew)
	}
	for i, c := range far {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("idle user %d was not closed: %v", i, err)
		}
	}
}

// awaitIdleUsers waits until so many users' connections are known to be idle.
func awaitIdleUsers(t *testing.T, f *ConnectionLimiter, want int) {
	t.Helper()
	idle := func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.idleUsers.Len()
	}
	const patience = 5 * time.Second
	for end := time.Now().Add(patience); idle() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d users' connections are idle, want %d", idle(), want)
		}
	}
}
