package simulation

import (
	"container/heap"

	"stairrelay/internal/cluster"
)

// The queue of what happens in simulated time.

type event struct {
	dueAt    cluster.Time
	sequence uint64
	action   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].dueAt < h[j].dueAt || h[i].dueAt == h[j].dueAt && h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	o := *h
	x := o[len(o)-1]
	*h = o[:len(o)-1]
	return x
}

// After runs fn later.
func (w *Simulator) After(d cluster.Time, fn func()) {
	w.eventSequence++
	heap.Push(&w.eventQueue, event{w.Now + max(d, 0), w.eventSequence, fn})
}

func (w *Simulator) repeatEvery(d cluster.Time, fn func()) {
	w.After(d, func() { fn(); w.repeatEvery(d, fn) })
}

// RunUntil plays until a time.
func (w *Simulator) RunUntil(until cluster.Time) {
	for len(w.eventQueue) > 0 && w.eventQueue[0].dueAt <= until && len(w.Violations) == 0 {
		e := heap.Pop(&w.eventQueue).(event)
		w.Now = e.dueAt
		e.action()
	}
}
