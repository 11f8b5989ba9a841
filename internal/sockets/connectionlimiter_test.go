package sockets

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// serveWorkers serves workers' reports behind a Front, and returns its address.
func serveWorkers(t *testing.T, f *ConnectionLimiter) string {
	t.Helper()
	report := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := f.NewServer(f.WorkerMiddleware(report), time.Minute)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// awaitClosed waits until the server has noticed the closing of all connections
// but those that are kept: until then each counts, and on a busy machine the next
// worker might be given another's place.
func awaitClosed(t *testing.T, f *ConnectionLimiter, connections []net.Conn) {
	t.Helper()
	kept := 0
	for _, c := range connections {
		if c != nil {
			kept++
		}
	}
	for end := time.Now().Add(5 * time.Second); f.OpenConnections() > kept; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are open, %d are kept", f.OpenConnections(), kept)
		}
	}
}

// TestMoreWorkersThanConnections: a controller that is left alone has more
// machines than it may have connections. Each worker's every report is answered,
// on a connection of its own that it is told to close where nearly all are
// taken. Kept open, the first workers' connections would keep the others out
// until their leases ran out.
func TestMoreWorkersThanConnections(t *testing.T) {
	const limit, workers, rounds = 32, 128, 3
	f := NewConnectionLimiter(limit)
	address := serveWorkers(t, f)
	connections := make([]net.Conn, workers)
	t.Cleanup(func() {
		for _, c := range connections {
			if c != nil {
				_ = c.Close()
			}
		}
	})
	mostOpen := 0
	for range rounds {
		for i := range connections {
			if connections[i] == nil {
				c, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				connections[i] = c
			}
			response, err := sendRequest(t, connections[i], "/checkin")
			if err != nil {
				t.Fatalf("worker %d: %v", i, err)
			}
			if response.Close {
				_ = connections[i].Close()
				connections[i] = nil
				awaitClosed(t, f, connections)
			}
			mostOpen = max(mostOpen, f.OpenConnections())
		}
	}
	// A connection counts until the server has noticed that it was closed.
	if mostOpen > limit {
		t.Errorf("%d connections were open, %d are allowed", mostOpen, limit)
	}
	if mostOpen < limit/2 {
		t.Errorf("only %d connections were ever open of %d", mostOpen, limit)
	}
}

// TestShortestIdleWorkerEvicted: without idle users a new connection gets the
// room of a worker that has just had its answer. That of the one idle the longest
// is about to be used: closed under its next report, it would cost the worker a
// round through all controllers.
func TestShortestIdleWorkerEvicted(t *testing.T) {
	f := NewConnectionLimiter(2)
	var idle []*connection
	for range 2 {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		f.connState(near, http.StateNew)
		f.connections[near].role = workerRole
		f.connState(near, http.StateIdle)
		idle = append(idle, f.connections[near])
	}
	added, _ := net.Pipe()
	f.connState(added, http.StateNew)
	if idle[0].idleElement == nil || idle[1].idleElement != nil {
		t.Errorf("kept: the longest idle %v, the shortest %v", idle[0].idleElement != nil, idle[1].idleElement != nil)
	}
}
