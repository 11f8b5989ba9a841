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

// patience is how long a test waits for what has to happen.
const patience = 5 * time.Second

// serve serves a handler with a limiter's server until the test ends, and returns its
// address.
func serve(t *testing.T, limiter *ConnectionLimiter, handler http.Handler, idleTimeout time.Duration) string {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := limiter.NewServer(handler, idleTimeout)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("the server ended with %v", err)
		}
	})
	return listener.Addr().String()
}

// answerOK is a handler that answers every request.
func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// pipe returns both ends of a connection that is closed at the end of the test.
func pipe(t *testing.T) (near, far net.Conn) {
	t.Helper()
	near, far = net.Pipe()
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

// sendRequest makes a request on a connection. It tells whether the answer announces that
// the server closes the connection.
func sendRequest(t *testing.T, conn net.Conn, path string) (closeAnnounced bool, err error) {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(patience))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path); err != nil {
		return false, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false, err
	}
	return response.Close, response.Body.Close()
}

// await waits until the condition holds; describe says what it is about.
func await(t *testing.T, condition func() bool, describe func() string) {
	t.Helper()
	for deadline := time.Now().Add(patience); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(describe())
		}
	}
}

// awaitOpenConnections waits until the server has noticed the closing of all connections
// but so many. Until then each counts, and on a busy machine the next worker might be
// given the place of another.
func awaitOpenConnections(t *testing.T, limiter *ConnectionLimiter, want int) {
	t.Helper()
	await(t, func() bool { return limiter.OpenConnections() <= want }, func() string {
		return fmt.Sprintf("%d connections are open, want %d", limiter.OpenConnections(), want)
	})
}

// awaitIdleUsers waits until so many users' connections are known to be idle.
func awaitIdleUsers(t *testing.T, limiter *ConnectionLimiter, want int) {
	t.Helper()
	idleUsers := func() int {
		limiter.mu.Lock()
		defer limiter.mu.Unlock()
		return limiter.idleUsers.connections.Len()
	}
	await(t, func() bool { return idleUsers() == want }, func() string {
		return fmt.Sprintf("%d users' connections are idle, want %d", idleUsers(), want)
	})
}

// addIdleConnection gives a limiter an idle connection of a role, and returns its entry
// and the client's end.
func addIdleConnection(t *testing.T, limiter *ConnectionLimiter, role role) (entry *connection, far net.Conn) {
	t.Helper()
	near, far := pipe(t)
	limiter.connState(near, http.StateNew)
	entry = limiter.connections[near]
	entry.role = role
	limiter.connState(near, http.StateIdle)
	return entry, far
}

// TestMoreWorkersThanConnections plays a controller that is left alone and has more
// machines than it may have connections. Every heartbeat of each worker is answered, on
// a connection that the worker is told to close where nearly all are taken. Kept open,
// the first workers' connections would keep the others out until their leases expired.
func TestMoreWorkersThanConnections(t *testing.T) {
	const limit, workers, rounds = 32, 128, 3
	limiter := NewConnectionLimiter(limit)
	address := serve(t, limiter, limiter.WorkerMiddleware(http.HandlerFunc(answerOK)), time.Minute)
	connections := map[int]net.Conn{} // of the workers that have one
	maxOpen := 0
	for range rounds {
		for worker := range workers {
			if connections[worker] == nil {
				connections[worker] = dial(t, address)
			}
			closeAnnounced, err := sendRequest(t, connections[worker], "/checkin")
			if err != nil {
				t.Fatalf("worker %d: %v", worker, err)
			}
			if closeAnnounced {
				_ = connections[worker].Close()
				delete(connections, worker)
				awaitOpenConnections(t, limiter, len(connections))
			}
			maxOpen = max(maxOpen, limiter.OpenConnections())
		}
	}
	// A connection counts until the server has noticed that it was closed.
	if maxOpen > limit {
		t.Errorf("%d connections were open, %d are allowed", maxOpen, limit)
	}
	if maxOpen < limit/2 {
		t.Errorf("only %d connections were ever open of %d", maxOpen, limit)
	}
}

// TestIdleUsersEvictedForWorkers plays a controller that is left alone with all
// machines. Without the limiter, users' idle connections took all sockets, and workers
// and health checks were refused. Idle connections of users make room; those of workers
// stay.
func TestIdleUsersEvictedForWorkers(t *testing.T) {
	limiter := NewConnectionLimiter(8)
	mux := http.NewServeMux()
	mux.HandleFunc("/checkin", answerOK)
	mux.Handle("/v2/", limiter.UserMiddleware(http.HandlerFunc(answerOK)))
	address := serve(t, limiter, mux, 500*time.Millisecond)

	var workers, users []net.Conn
	for range 4 {
		worker := dial(t, address)
		if _, err := sendRequest(t, worker, "/checkin"); err != nil {
			t.Fatal(err)
		}
		workers = append(workers, worker)
	}
	for i := range 3 {
		user := dial(t, address)
		closeAnnounced, err := sendRequest(t, user, "/v2/x")
		if err != nil {
			t.Fatal(err)
		}
		if closeAnnounced {
			t.Errorf("user %d was told to close while there was room", i)
		}
		// The server records that a connection is idle only after its answer has
		// arrived; the order in which they became idle is what is tested below.
		awaitIdleUsers(t, limiter, i+1)
		users = append(users, user)
	}
	closeAnnounced, err := sendRequest(t, dial(t, address), "/v2/x") // the eighth of eight
	if err != nil || !closeAnnounced {
		t.Errorf("the last user was not told to close: %v", err)
	}
	for range 3 { // with the one above closed, two too many: two idle users are evicted
		worker := dial(t, address)
		if _, err := sendRequest(t, worker, "/checkin"); err != nil {
			t.Errorf("a worker was kept out: %v", err)
		}
		workers = append(workers, worker)
	}
	if _, err := sendRequest(t, users[0], "/v2/x"); err == nil {
		t.Error("the user idle the longest still has its connection")
	}
	for i, worker := range workers {
		if _, err := sendRequest(t, worker, "/checkin"); err != nil {
			t.Errorf("worker %d lost its connection: %v", i, err)
		}
	}
	awaitOpenConnections(t, limiter, 0) // after the idle time-out
}

// TestEvictsForEachNewConnection checks that new connections which arrive at the same
// time each get room of their own: the second must not count on the one that is being
// closed for the first.
func TestEvictsForEachNewConnection(t *testing.T) {
	limiter := NewConnectionLimiter(2)
	var users []net.Conn
	for range 2 {
		_, user := addIdleConnection(t, limiter, userRole)
		users = append(users, user)
	}
	for range 2 {
		added, _ := pipe(t)
		limiter.connState(added, http.StateNew)
	}
	for i, user := range users {
		_ = user.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := user.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("idle user %d was not closed: %v", i, err)
		}
	}
}

// TestShortestIdleWorkerEvicted checks that without idle users a new connection gets the
// place of the worker that had its answer last. The one idle the longest is about to
// send its next heartbeat: if its connection were closed meanwhile, the worker would
// have to go through all controllers.
func TestShortestIdleWorkerEvicted(t *testing.T) {
	limiter := NewConnectionLimiter(2)
	longest, _ := addIdleConnection(t, limiter, workerRole)
	shortest, _ := addIdleConnection(t, limiter, workerRole)
	added, _ := pipe(t)
	limiter.connState(added, http.StateNew)
	if !longest.isIdle() || shortest.isIdle() {
		t.Errorf("kept: the longest idle %v, the shortest %v", longest.isIdle(), shortest.isIdle())
	}
}
