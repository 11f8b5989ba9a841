package sockets

import "time"

// semaphore holds an element for each slot that is taken; nil means no limit.
type semaphore chan struct{}

// newSemaphore returns a semaphore with a number of slots, at least one.
func newSemaphore(slots int) semaphore { return make(semaphore, max(slots, 1)) }

// acquire takes a slot. It waits for one at most for the given time and reports
// whether there was one.
func (s semaphore) acquire(wait time.Duration) bool {
	if s == nil {
		return true
	}
	select {
	case s <- struct{}{}:
		return true
	default: // no timer is needed while slots are free
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case s <- struct{}{}:
		return true
	case <-timer.C:
		return false
	}
}

// release frees a slot that was acquired.
func (s semaphore) release() {
	if s != nil {
		<-s
	}
}
