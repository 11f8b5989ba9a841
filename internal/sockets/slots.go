package sockets

import (
	"sync"
	"time"
)

const (
	// silentDivisor is the part of the slots that silent places get.
	silentDivisor = 4
	// maxSilent bounds the places that are remembered as silent. Most of so many
	// are machines that are long gone.
	maxSilent = 1 << 14
)

// Slots bounds calls that run at once. Those to places that did not answer
// last time have a quarter of their own, so that many silent machines never
// hold up calls to the others.
type Slots struct {
	answering slotPool
	silent    slotPool
	mu        sync.Mutex
	isSilent  map[string]bool
}

// slotPool holds an element for each slot that is taken; nil: without limit.
type slotPool chan struct{}

// NewSlots makes slots for so many calls at once; 0: without limit.
func NewSlots(calls int) *Slots {
	s := &Slots{isSilent: map[string]bool{}}
	if calls > 0 {
		silent := calls / silentDivisor
		s.silent = make(slotPool, max(silent, 1))
		s.answering = make(slotPool, max(calls-silent, 1))
	}
	return s
}

// Take waits for a slot for a call to a place, at most so long. The function
// it returns gives the slot back and says whether the place answered.
func (s *Slots) Take(addr string, wait time.Duration) (release func(answered bool), taken bool) {
	pool := s.poolFor(addr)
	if !pool.take(wait) {
		return nil, false
	}
	release = func(answered bool) {
		s.note(addr, answered)
		pool.release()
	}
	return release, true
}

func (s *Slots) poolFor(addr string) slotPool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isSilent[addr] {
		return s.silent
	}
	return s.answering
}

// note remembers whether a place answered. When too many are silent all are
// forgotten; those that still are will be found again.
func (s *Slots) note(addr string, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		delete(s.isSilent, addr)
		return
	}
	if len(s.isSilent) >= maxSilent {
		clear(s.isSilent)
	}
	s.isSilent[addr] = true
}

// take waits for a slot, at most so long.
func (p slotPool) take(wait time.Duration) bool {
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

func (p slotPool) release() {
	if p != nil {
		<-p
	}
}
