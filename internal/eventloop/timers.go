package eventloop

import (
	"container/heap"

	"stairrelay/internal/cluster"
)

// timerQueue orders timers by their time, and those of one time in the order in
// which they were added.
type timerQueue struct {
	heap         timerHeap
	lastSequence uint64 // of the timer added last
}

type timer struct {
	due      cluster.Time
	sequence uint64
	run      func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) } //nolint:forcetypeassert // container/heap passes what add pushed
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}

// add runs a function at a time.
func (q *timerQueue) add(at cluster.Time, run func()) {
	q.lastSequence++
	heap.Push(&q.heap, timer{due: at, sequence: q.lastSequence, run: run})
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
		due := q.heap[0]
		heap.Pop(&q.heap)
		due.run()
	}
}

// After runs a function when a time has passed.
func (l *Loop) After(delay cluster.Time, run func()) { l.timers.add(l.now+delay, run) }

// Every runs a function at once, and again each time that the interval has
// passed; the interval is asked for anew after each run.
func (l *Loop) Every(interval func() cluster.Time, run func()) {
	var repeat func()
	repeat = func() {
		run()
		l.After(interval(), repeat)
	}
	repeat()
}

// FixedInterval is an interval for Every that stays the same.
func FixedInterval(interval cluster.Time) func() cluster.Time {
	return func() cluster.Time { return interval }
}

// NextWake is when the next timer is due; false: none is set.
func (l *Loop) NextWake() (cluster.Time, bool) { return l.timers.next() }

// RunTimers runs all timers that are due, also those that these set for now.
func (l *Loop) RunTimers() { l.timers.runDue(l.now) }
