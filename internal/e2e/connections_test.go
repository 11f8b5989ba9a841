package e2e

import (
	"sync"
	"testing"
	"time"

	"syscall"
)

const (
	// manyWorkers is how many workers report to one controller.
	manyWorkers = 4000
	// workerPatience is how long a worker waits for an answer.
	workerPatience = 4 * time.Second
	// spareFiles are left to the test's other files.
	spareFiles = 200
)

// workersWithin is how many workers' connections the box permits, both ends of
// which are this process's.
func workersWithin(t *testing.T) int {
	t.Helper()
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		t.Fatal(err)
	}
	const ends = 2
	return min(manyWorkers, (int(files.Cur)-spareFiles)/ends)
}

// TestManyConnections: all workers of a large fleet report to one controller at
// once, round after round. It has a connection for each, or room for a quarter of
// them. Each report is answered before its worker gives up and turns to another
// controller.
func TestManyConnections(t *testing.T) {
	workers := workersWithin(t)
	for _, test := range []struct {
		name  string
		limit int
	}{
		{"a connection for each", 0},
		{"connections for a quarter", workers / 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr, front := serveReports(t, test.limit)
			senders := make([]*reportSender, workers)
			for range 3 {
				slowest := reportAll(t, addr, senders, test.limit)
				t.Logf("%d workers, %d connections open, the slowest answer after %v", workers, front.Open(), slowest)
				if slowest > workerPatience {
					t.Errorf("an answer took %v; a worker waits %v", slowest, workerPatience)
				}
				if test.limit > 0 && front.Open() > test.limit {
					t.Errorf("%d connections are open of %d", front.Open(), test.limit)
				}
			}
		})
	}
}

// reportAll has all workers report, at the same time as many as there are
// connections for, and returns how long the slowest answer took. Those without a
// connection make one; those whose answer says so close theirs.
func reportAll(t *testing.T, addr string, senders []*reportSender, limit int) time.Duration {
	t.Helper()
	atOnce := len(senders)
	if limit > 0 {
		atOnce = limit / 2 // spread over the interval as reports are
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
			if senders[i] != nil && senders[i].closedByServer() {
				senders[i] = nil
			}
			if senders[i] == nil {
				senders[i] = dialReports(t, addr)
			}
			if err := senders[i].report(); err != nil {
				t.Errorf("worker %d: %v", i, err)
			}
			if senders[i].closed {
				_ = senders[i].conn.Close()
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
