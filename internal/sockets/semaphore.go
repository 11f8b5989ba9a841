package sockets

import "time"

// semaphore is a counting semaphore. Its channel holds an element for each acquired
// slot. A nil semaphore has no limit.
type semaphore chan struct{}

// newSemaphore returns a semaphore with the given number of slots, but at least one.
func newSemaphore(slots int) semaphore { return make(semaphore, max(slots, 1)) }

// acquire waits until the timeout for a slot and reports whether it acquired one.
func (s semaphore) acquire(timeout time.Duration) bool {
	if s == nil {
		return true
	}
	select {
	case s <- struct{}{}:
		return true
	default: // no slot is free: wait for one with a timer
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case s <- struct{}{}:
		return true
	case <-timer.C:
		return false
	}
}

// release frees an acquired slot.
func (s semaphore) release() {
	if s != nil {
		<-s
	}
}
