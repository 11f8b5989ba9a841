package e2e

import (
	"sync"
	"testing"
	"time"

	"syscall"
)

const (
	// fleetWorkers is how many workers send heartbeats to one controller.
	fleetWorkers = 4000
	// workerAnswerTimeout is how long a worker waits for an answer.
	workerAnswerTimeout = 4 * time.Second
	// reservedFiles are left to the test's other files.
	reservedFiles = 200
)

// workersWithinFileLimit is how many workers' connections the machine permits, both ends of
// which are this process's.
func workersWithinFileLimit(t *testing.T) int {
	t.Helper()
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		t.Fatal(err)
	}
	const ends = 2
	return min(fleetWorkers, (int(files.Cur)-reservedFiles)/ends)
}

// TestFleetHeartbeatsWithinConnectionLimit: all workers of a large fleet send a heartbeat to one
// controller at once, round after round. It has a connection for each, or room for a
// quarter of them. Each heartbeat is answered before its worker gives up and turns to
// another controller.
func TestFleetHeartbeatsWithinConnectionLimit(t *testing.T) {
	workers := workersWithinFileLimit(t)
	for _, test := range []struct {
		name  string
		limit int
	}{
		{"a connection for each", 0},
		{"connections for a quarter", workers / 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr, front := startHeartbeatServer(t, test.limit)
			senders := make([]*heartbeatSender, workers)
			for range 3 {
				slowest := sendAllHeartbeats(t, addr, senders, test.limit)
				t.Logf("%d workers, %d connections open, the slowest answer after %v", workers, front.OpenConnections(), slowest)
				if slowest > workerAnswerTimeout {
					t.Errorf("an answer took %v; a worker waits %v", slowest, workerAnswerTimeout)
				}
				if test.limit > 0 && front.OpenConnections() > test.limit {
					t.Errorf("%d connections are open of %d", front.OpenConnections(), test.limit)
				}
			}
		})
	}
}

// sendAllHeartbeats lets all workers send a heartbeat, at the same time as many as there
// are connections for, and returns how long the slowest answer took. Those without a
// connection make one; those whose answer says so close theirs.
func sendAllHeartbeats(t *testing.T, addr string, senders []*heartbeatSender, limit int) time.Duration {
	t.Helper()
	atOnce := len(senders)
	if limit > 0 {
		atOnce = limit / 2 // spread over the interval as heartbeats are
	}
	var slowest time.Duration
	var mu sync.Mutex
	var all sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	for i := range senders {
		all.Add(1)
		slots <- struct{}{}
		go func() {
			defer all.Done()
			defer func() { <-slots }()
			begun := time.Now()
			if senders[i] != nil && senders[i].isClosedByServer() {
				senders[i] = nil
			}
			if senders[i] == nil {
				senders[i] = dialHeartbeatSender(t, addr)
			}
			if err := senders[i].sendHeartbeat(); err != nil {
				t.Errorf("worker %d: %v", i, err)
			}
			if senders[i].closeAnnounced {
				_ = senders[i].connection.Close()
				senders[i] = nil
			}
			mu.Lock()
			defer mu.Unlock()
			slowest = max(slowest, time.Since(begun))
		}()
	}
	all.Wait()
	return slowest
}
