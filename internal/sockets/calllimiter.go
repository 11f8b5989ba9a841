package sockets

import (
	"sync"
	"time"
)

const (
	// unresponsiveDivisor is the part of the slots that silent places get.
	unresponsiveDivisor = 4
	// maxUnresponsive bounds the places that are remembered as silent. Most of so many
	// are machines that are long gone.
	maxUnresponsive = 1 << 14
)

// CallLimiter bounds calls that run at once. Those to places that did not answer
// last time have a quarter of their own, so that many silent machines never
// hold up calls to the others.
type CallLimiter struct {
	responsive            semaphore
	unresponsive          semaphore
	mu                    sync.Mutex
	unresponsiveAddresses map[string]bool
}

// semaphore holds an element for each slot that is taken; nil: without limit.
type semaphore chan struct{}

// NewCallLimiter makes slots for so many calls at once; 0: without limit.
func NewCallLimiter(calls int) *CallLimiter {
	s := &CallLimiter{unresponsiveAddresses: map[string]bool{}}
	if calls > 0 {
		silent := calls / unresponsiveDivisor
		s.unresponsive = make(semaphore, max(silent, 1))
		s.responsive = make(semaphore, max(calls-silent, 1))
	}
	return s
}

// Acquire waits for a slot for a call to a place, at most so long. The function
// it returns gives the slot back and says whether the place answered.
func (s *CallLimiter) Acquire(addr string, wait time.Duration) (release func(answered bool), taken bool) {
	pool := s.semaphoreFor(addr)
	if !pool.acquire(wait) {
		return nil, false
	}
	release = func(answered bool) {
		s.recordResult(addr, answered)
		pool.release()
	}
	return release, true
}

func (s *CallLimiter) semaphoreFor(addr string) semaphore {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unresponsiveAddresses[addr] {
		return s.unresponsive
	}
	return s.responsive
}

// recordResult remembers whether a place answered. When too many are silent all are
// forgotten; those that still are will be found again.
func (s *CallLimiter) recordResult(addr string, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		delete(s.unresponsiveAddresses, addr)
		return
	}
	if len(s.unresponsiveAddresses) >= maxUnresponsive {
		clear(s.unresponsiveAddresses)
	}
	s.unresponsiveAddresses[addr] = true
}

// acquire waits for a slot, at most so long.
func (p semaphore) acquire(wait time.Duration) bool {
	if p == nil {
		return true
	}
	select {
	case p <- struct{}{}:
		return true
	default: // no timer is needed while slots are free
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case p <- struct{}{}:
		return true
	case <-timer.C:
		return false
	}
}

func (p semaphore) release() {
	if p != nil {
		<-p
	}
}
