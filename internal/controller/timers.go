package controller

import (
	"container/heap"

	"stairrelay/internal/cluster"
)

// timerQueue holds what is to be done at a time, in the order of the times, and
// of one time in the order in which it was asked for.
type timerQueue struct {
	heap         timerHeap
	lastSequence uint64 // number of the last timer
}

type timer struct {
	due      cluster.Time
	sequence uint64
	callback func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func (q *timerQueue) len() int { return len(q.heap) }

// add runs a function at a time.
func (q *timerQueue) add(at cluster.Time, run func()) {
	q.lastSequence++
	heap.Push(&q.heap, timer{at, q.lastSequence, run})
}

// next is when the next timer is due; false: there is none.
func (q *timerQueue) next() (cluster.Time, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].due, true
}

// runDue runs what is due, also what that adds if it is due at once.
func (q *timerQueue) runDue(now cluster.Time) {
	for len(q.heap) > 0 && q.heap[0].due <= now {
		due := heap.Pop(&q.heap).(timer)
		due.callback()
	}
}

// after runs fn when a time has passed.
func (c *Controller) after(d cluster.Time, fn func()) { c.timers.add(c.now+d, fn) }

// every runs fn at once, and again each time that a pause has passed.
func (c *Controller) every(pause func() cluster.Time, fn func()) {
	var loop func()
	loop = func() {
		fn()
		c.after(pause(), loop)
	}
	loop()
}

func fixedInterval(d cluster.Time) func() cluster.Time { return func() cluster.Time { return d } }

// NextWake says when the next Tick is due.
func (c *Controller) NextWake() (cluster.Time, bool) { return c.timers.next() }

func (c *Controller) runTimers() { c.timers.runDue(c.now) }
