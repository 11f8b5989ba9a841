package simulation

import (
	"container/heap"

	"stairrelay/internal/cluster"
)

// clock holds the simulated time and the queue of future events. Events with the
// same due time run in the order in which they were queued.
type clock struct {
	// Now is the due time of the event that is running or, between events, of the
	// last one that ran.
	Now          cluster.Time
	events       eventHeap
	lastSequence uint64
	stopped      bool
}

// After schedules an action to run after a delay. A negative delay counts as zero.
func (c *clock) After(delay cluster.Time, action func()) {
	c.lastSequence++
	heap.Push(&c.events, event{dueAt: c.Now + max(delay, 0), sequence: c.lastSequence, action: action})
}

// repeatEvery runs an action at a fixed interval, the first time after one interval.
func (c *clock) repeatEvery(interval cluster.Time, action func()) {
	c.After(interval, func() {
		action()
		c.repeatEvery(interval, action)
	})
}

// RunUntil runs the events that are due at or before a time. It returns early if
// the clock is stopped.
func (c *clock) RunUntil(until cluster.Time) {
	for len(c.events) > 0 && c.events[0].dueAt <= until && !c.stopped {
		next := c.events[0]
		heap.Pop(&c.events)
		c.Now = next.dueAt
		next.action()
	}
}

// stop prevents any further event from running.
func (c *clock) stop() { c.stopped = true }

// event is an action with a due time.
type event struct {
	dueAt    cluster.Time
	sequence uint64
	action   func()
}

// eventHeap is a heap.Interface ordered by due time and then by sequence number.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].dueAt < h[j].dueAt || h[i].dueAt == h[j].dueAt && h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	if e, ok := x.(event); ok {
		*h = append(*h, e)
	}
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
