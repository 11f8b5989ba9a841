package sockets

import (
	"sync"
	"time"
)

const (
	// unresponsiveDivisor: one quarter of the slots is for unresponsive addresses.
	unresponsiveDivisor = 4
	// maxUnresponsive bounds the addresses that are remembered as unresponsive. Of
	// so many most belong to machines that no longer exist.
	maxUnresponsive = 1 << 14
)

// CallLimiter bounds the calls that run at once. Calls to addresses that did not
// answer last time have a quarter of the slots to themselves, so that many
// unresponsive machines never delay calls to the others. It is safe for concurrent
// use.
type CallLimiter struct {
	responsive   semaphore
	unresponsive semaphore

	mu                    sync.Mutex
	unresponsiveAddresses map[string]bool
}

// NewCallLimiter returns a limiter for a number of calls at once; 0 means no limit.
func NewCallLimiter(calls int) *CallLimiter {
	limiter := &CallLimiter{unresponsiveAddresses: map[string]bool{}}
	if calls > 0 {
		unresponsive := calls / unresponsiveDivisor
		limiter.unresponsive = newSemaphore(unresponsive)
		limiter.responsive = newSemaphore(calls - unresponsive)
	}
	return limiter
}

// Acquire waits for a slot for a call to an address, at most for the given time, and
// reports whether there was one. The caller must call release once, when the call has
// ended, and say whether the address answered.
func (l *CallLimiter) Acquire(addr string, wait time.Duration) (release func(answered bool), acquired bool) {
	slots := l.semaphoreFor(addr)
	if !slots.acquire(wait) {
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

// recordResult records whether an address answered. When too many are recorded as
// unresponsive, all are dropped; those that still are will be found again.
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
