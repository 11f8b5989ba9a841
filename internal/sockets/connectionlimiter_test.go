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

// waitTimeout is how long a test waits for an expected event.
const waitTimeout = 5 * time.Second

// startServer starts a limiter's server, which is closed when the test ends, and
// returns its address.
func startServer(t *testing.T, limiter *ConnectionLimiter, handler http.Handler, idleTimeout time.Duration) string {
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
			t.Errorf("Serve returned %v, want http.ErrServerClosed", err)
		}
	})
	return listener.Addr().String()
}

// respondOK is a handler that responds to every request with status 200.
func respondOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// dial opens a connection that is closed when the test ends.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// pipe returns both ends of an in-memory connection that is closed when the test ends.
func pipe(t *testing.T) (serverConn, clientConn net.Conn) {
	t.Helper()
	serverConn, clientConn = net.Pipe()
	t.Cleanup(func() {
		_ = serverConn.Close()
		_ = clientConn.Close()
	})
	return serverConn, clientConn
}

// sendRequest sends a request on a connection and reports whether the response
// announces that the server closes the connection.
func sendRequest(t *testing.T, conn net.Conn, path string) (closeAnnounced bool, err error) {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path); err != nil {
		return false, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false, err
	}
	return response.Close, response.Body.Close()
}

// waitFor waits until condition returns true. After waitTimeout, it fails the test with
// the message that describe returns.
func waitFor(t *testing.T, condition func() bool, describe func() string) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(describe())
		}
	}
}

// waitForAtMostOpen waits until the limiter counts at most the given number of open
// connections. A connection that a client has closed counts until the server notices.
func waitForAtMostOpen(t *testing.T, limiter *ConnectionLimiter, limit int) {
	t.Helper()
	waitFor(t, func() bool { return limiter.OpenConnections() <= limit }, func() string {
		return fmt.Sprintf("%d connections are open, want at most %d", limiter.OpenConnections(), limit)
	})
}

// waitForIdleUsers waits until the server has recorded the wanted number of idle user
// connections.
func waitForIdleUsers(t *testing.T, limiter *ConnectionLimiter, want int) {
	t.Helper()
	idleUsers := func() int {
		limiter.mu.Lock()
		defer limiter.mu.Unlock()
		return limiter.idleUsers.connections.Len()
	}
	waitFor(t, func() bool { return idleUsers() == want }, func() string {
		return fmt.Sprintf("%d user connections are idle, want %d", idleUsers(), want)
	})
}

// addIdleConnection adds an idle connection of a role to a limiter. It returns the
// connection's entry and the client's end.
func addIdleConnection(t *testing.T, limiter *ConnectionLimiter, role role) (entry *connection, clientConn net.Conn) {
	t.Helper()
	serverConn, clientConn := pipe(t)
	limiter.connState(serverConn, http.StateNew)
	entry = limiter.connections[serverConn]
	entry.role = role
	limiter.connState(serverConn, http.StateIdle)
	return entry, clientConn
}

// TestMoreWorkersThanConnections checks that every heartbeat gets a response when there are
// more workers than connections, and that at least half of the allowed connections are used.
func TestMoreWorkersThanConnections(t *testing.T) {
	const limit, workers, rounds = 32, 128, 3
	limiter := NewConnectionLimiter(limit)
	address := startServer(t, limiter, limiter.WorkerMiddleware(http.HandlerFunc(respondOK)), time.Minute)
	connections := map[int]net.Conn{} // by worker
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
				waitForAtMostOpen(t, limiter, len(connections))
			}
			maxOpen = max(maxOpen, limiter.OpenConnections())
		}
	}
	if maxOpen > limit {
		t.Errorf("%d connections were open, want at most %d", maxOpen, limit)
	}
	if maxOpen < limit/2 {
		t.Errorf("at most %d connections were open with a limit of %d, want at least half of the limit", maxOpen, limit)
	}
}

// TestIdleUsersEvictedForWorkers checks that new connections of workers evict the user
// connection that has been idle the longest, and no connections of workers.
func TestIdleUsersEvictedForWorkers(t *testing.T) {
	limiter := NewConnectionLimiter(8)
	mux := http.NewServeMux()
	mux.HandleFunc("/checkin", respondOK)
	mux.Handle("/v2/", limiter.UserMiddleware(http.HandlerFunc(respondOK)))
	address := startServer(t, limiter, mux, 500*time.Millisecond)

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
			t.Errorf("user %d was told to close the connection while others were available", i)
		}
		// The server may mark the connection as idle after the client has read the
		// response. Evictions depend on the order in which connections become idle.
		waitForIdleUsers(t, limiter, i+1)
		users = append(users, user)
	}
	closeAnnounced, err := sendRequest(t, dial(t, address), "/v2/x") // takes the last connection
	if err != nil || !closeAnnounced {
		t.Errorf("the user with the last connection was not told to close it; error %v", err)
	}
	for range 3 { // the last two exceed the limit and evict two idle users
		worker := dial(t, address)
		if _, err := sendRequest(t, worker, "/checkin"); err != nil {
			t.Errorf("a worker could not connect: %v", err)
		}
		workers = append(workers, worker)
	}
	if _, err := sendRequest(t, users[0], "/v2/x"); err == nil {
		t.Error("the connection of the user that was idle the longest was not closed")
	}
	for i, worker := range workers {
		if _, err := sendRequest(t, worker, "/checkin"); err != nil {
			t.Errorf("worker %d lost its connection: %v", i, err)
		}
	}
	waitForAtMostOpen(t, limiter, 0) // after the idle timeout
}

// TestEvictsForEachNewConnection checks that each of several new connections evicts a
// different idle connection, even if no eviction has been reported to connState yet.
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
			t.Errorf("the connection of idle user %d was not closed: read error %v", i, err)
		}
	}
}

// TestShortestIdleWorkerEvicted checks that, if no user connection is idle, the worker
// connection that has been idle the shortest is evicted.
func TestShortestIdleWorkerEvicted(t *testing.T) {
	limiter := NewConnectionLimiter(2)
	longest, _ := addIdleConnection(t, limiter, workerRole)
	shortest, _ := addIdleConnection(t, limiter, workerRole)
	added, _ := pipe(t)
	limiter.connState(added, http.StateNew)
	if !longest.isIdle() || shortest.isIdle() {
		t.Errorf("longest idle worker kept: %v, shortest idle worker kept: %v, want only the longest", longest.isIdle(), shortest.isIdle())
	}
}
