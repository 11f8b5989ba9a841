package standin

import (
	"container/heap"

	"stairrelay/internal/core"
)

// The queue of what happens in simulated time.

type event struct {
	at  core.Time
	seq uint64
	fn  func()
}

type events []event

func (h events) Len() int { return len(h) }

func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *events) Push(x any) { *h = append(*h, x.(event)) }

func (h *events) Pop() any {
	o := *h
	x := o[len(o)-1]
	*h = o[:len(o)-1]
	return x
}

// After runs fn later.
func (w *World) After(d core.Time, fn func()) {
	w.seq++
	heap.Push(&w.events, event{w.Now + max(d, 0), w.seq, fn})
}

func (w *World) every(d core.Time, fn func()) {
	w.After(d, func() { fn(); w.every(d, fn) })
}

// Run plays until a time.
func (w *World) Run(until core.Time) {
	for len(w.events) > 0 && w.events[0].at <= until && len(w.Broken) == 0 {
		e := heap.Pop(&w.events).(event)
		w.Now = e.at
		e.fn()
	}
}
