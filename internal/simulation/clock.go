package simulation

import (
	"container/heap"

	"stairrelay/internal/cluster"
)

// clock is the simulated time with the queue of the events to come. Events that
// are due at the same time happen in the order in which they were queued.
type clock struct {
	// Now is the time of the event that is happening.
	Now          cluster.Time
	events       eventHeap
	lastSequence uint64
	stopped      bool
}

// After runs an action later.
func (c *clock) After(delay cluster.Time, action func()) {
	c.lastSequence++
	heap.Push(&c.events, event{dueAt: c.Now + max(delay, 0), sequence: c.lastSequence, action: action})
}

// repeatEvery runs an action at a fixed interval.
func (c *clock) repeatEvery(interval cluster.Time, action func()) {
	c.After(interval, func() {
		action()
		c.repeatEvery(interval, action)
	})
}

// RunUntil runs the events up to a time, or until the clock is stopped.
func (c *clock) RunUntil(until cluster.Time) {
	for len(c.events) > 0 && c.events[0].dueAt <= until && !c.stopped {
		next := c.events[0]
		heap.Pop(&c.events)
		c.Now = next.dueAt
		next.action()
	}
}

// stop keeps any further event from happening.
func (c *clock) stop() { c.stopped = true }

// event is an action that is due at a time.
type event struct {
	dueAt    cluster.Time
	sequence uint64
	action   func()
}

// eventHeap implements heap.Interface with the next event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].dueAt < h[j].dueAt || h[i].dueAt == h[j].dueAt && h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event.
func (h *eventHeap) Push(x any) {
	if e, ok := x.(event); ok {
		*h = append(*h, e)
	}
}

// Pop removes the last event.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
