package eventloop

import (
	"container/heap"

	"stairrelay/internal/cluster"
)

// timerQueue orders timers by due time, and timers with the same due time by the order
// in which they were added.
type timerQueue struct {
	heap         timerHeap
	lastSequence uint64 // sequence number of the timer added last
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

// add schedules a call of run at the given time.
func (q *timerQueue) add(at cluster.Time, run func()) {
	q.lastSequence++
	heap.Push(&q.heap, timer{due: at, sequence: q.lastSequence, run: run})
}

// next returns when the next timer is due. It reports false if there is none.
func (q *timerQueue) next() (cluster.Time, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].due, true
}

// runDue runs and removes the timers that are due, including due timers that they add.
func (q *timerQueue) runDue(now cluster.Time) {
	for len(q.heap) > 0 && q.heap[0].due <= now {
		due := q.heap[0]
		heap.Pop(&q.heap)
		due.run()
	}
}

// After sets a timer that calls run after the given delay.
func (l *Loop) After(delay cluster.Time, run func()) { l.timers.add(l.now+delay, run) }

// Every calls run immediately and then repeatedly. After each run it calls interval to
// get the delay until the next run.
func (l *Loop) Every(interval func() cluster.Time, run func()) {
	var repeat func()
	repeat = func() {
		run()
		l.After(interval(), repeat)
	}
	repeat()
}

// FixedInterval returns a function for Every that always returns the same interval.
func FixedInterval(interval cluster.Time) func() cluster.Time {
	return func() cluster.Time { return interval }
}

// NextWake returns when the next timer is due. It reports false if no timer is set.
func (l *Loop) NextWake() (cluster.Time, bool) { return l.timers.next() }

// RunTimers runs all timers that are due, including those that a timer sets for the
// current time.
func (l *Loop) RunTimers() { l.timers.runDue(l.now) }
