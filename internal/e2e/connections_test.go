package e2e

import (
	"sync"
	"testing"
	"time"

	"syscall"
)

const (
	// maxWorkers is the maximum number of workers that send heartbeats to the controller.
	maxWorkers = 4000
	// heartbeatTimeout is how long a worker waits for the response to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// reservedDescriptors is the number of file descriptors not used for connections.
	reservedDescriptors = 200
)

// workersWithinDescriptorLimit returns the number of workers, at most maxWorkers, whose
// connections fit into the process's limit of file descriptors. The process holds both
// ends of each connection.
func workersWithinDescriptorLimit(t *testing.T) int {
	t.Helper()
	var descriptorLimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptorLimit); err != nil {
		t.Fatal(err)
	}
	const descriptorsPerConnection = 2
	return min(maxWorkers, (int(descriptorLimit.Cur)-reservedDescriptors)/descriptorsPerConnection)
}

// TestFleetHeartbeatsWithinConnectionLimit checks that a controller responds to each
// heartbeat in time, with and without a connection limit below the number of workers.
func TestFleetHeartbeatsWithinConnectionLimit(t *testing.T) {
	workers := workersWithinDescriptorLimit(t)
	for _, test := range []struct {
		name           string
		maxConnections int
	}{
		{"no connection limit", 0},
		{"connections for a quarter of the workers", workers / 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr, limiter := startHeartbeatServer(t, test.maxConnections)
			senders := make([]*heartbeatSender, workers)
			for range 3 {
				slowest := sendAllHeartbeats(t, addr, senders, test.maxConnections)
				t.Logf("%d workers, %d open connections, slowest response took %v", workers, limiter.OpenConnections(), slowest)
				if slowest > heartbeatTimeout {
					t.Errorf("slowest response took %v, want at most %v", slowest, heartbeatTimeout)
				}
				if test.maxConnections > 0 && limiter.OpenConnections() > test.maxConnections {
					t.Errorf("%d open connections, want at most %d", limiter.OpenConnections(), test.maxConnections)
				}
			}
		})
	}
}

// sendAllHeartbeats sends a heartbeat from each worker and returns how long the slowest
// response took. All workers send concurrently or, if there is a connection limit, at most
// half as many as the limit. Workers connect if necessary and close the connection if the
// response asks for it.
func sendAllHeartbeats(t *testing.T, addr string, senders []*heartbeatSender, maxConnections int) time.Duration {
	t.Helper()
	concurrency := len(senders)
	if maxConnections > 0 {
		concurrency = maxConnections / 2 // because real workers spread their heartbeats over the interval
	}
	var slowest time.Duration
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, concurrency)
	for i := range senders {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			start := time.Now()
			if senders[i] != nil && senders[i].isClosedByServer() {
				senders[i] = nil
			}
			if senders[i] == nil {
				senders[i] = dialHeartbeatSender(t, addr)
			}
			if err := senders[i].sendHeartbeat(); err != nil {
				t.Errorf("worker %d: %v", i, err)
			}
			if senders[i].closeRequested {
				_ = senders[i].connection.Close()
				senders[i] = nil
			}
			mu.Lock()
			defer mu.Unlock()
			slowest = max(slowest, time.Since(start))
		}()
	}
	wg.Wait()
	return slowest
}
