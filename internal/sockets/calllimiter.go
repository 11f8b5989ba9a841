package sockets

import (
	"sync"
	"time"
)

const (
	// unresponsiveDivisor reserves a quarter of the slots for unresponsive
	// addresses.
	unresponsiveDivisor = 4
	// maxUnresponsive is the maximum number of addresses recorded as unresponsive.
	// When it is reached, most of them belong to machines that no longer exist.
	maxUnresponsive = 1 << 14
)

// CallLimiter limits the number of concurrent calls. Calls to addresses that did not
// answer the previous call share a quarter of the slots, so that unresponsive machines
// cannot delay calls to the others. It is safe for concurrent use.
type CallLimiter struct {
	responsive   semaphore
	unresponsive semaphore

	mu                    sync.Mutex
	unresponsiveAddresses map[string]bool
}

// NewCallLimiter returns a limiter for the given number of concurrent calls; 0 means no
// limit.
func NewCallLimiter(calls int) *CallLimiter {
	limiter := &CallLimiter{unresponsiveAddresses: map[string]bool{}}
	if calls > 0 {
		unresponsive := calls / unresponsiveDivisor
		limiter.unresponsive = newSemaphore(unresponsive)
		limiter.responsive = newSemaphore(calls - unresponsive)
	}
	return limiter
}

// Acquire waits until the timeout for a slot for a call to addr and reports whether it
// acquired one. If it did, the caller must call release exactly once, when the call has
// ended, and pass whether the address answered. Otherwise release is nil.
func (l *CallLimiter) Acquire(addr string, timeout time.Duration) (release func(answered bool), acquired bool) {
	slots := l.semaphoreFor(addr)
	if !slots.acquire(timeout) {
		return nil, false
	}
	release = func(answered bool) {
		l.recordResult(addr, answered)
		slots.release()
	}
	return release, true
}

func (l *CallLimiter) semaphoreFor(addr string) semaphore {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unresponsiveAddresses[addr] {
		return l.unresponsive
	}
	return l.responsive
}

// recordResult records whether an address answered. Before it records an address as
// unresponsive, it clears the records if there are too many. Addresses that are still
// unresponsive are recorded again after the next call to them.
func (l *CallLimiter) recordResult(addr string, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered {
		delete(l.unresponsiveAddresses, addr)
		return
	}
	if len(l.unresponsiveAddresses) >= maxUnresponsive {
		clear(l.unresponsiveAddresses)
	}
	l.unresponsiveAddresses[addr] = true
}
