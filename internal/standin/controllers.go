package standin

import (
	"fmt"
	"runtime/metrics"
	"sort"
	"time"

	"stairrelay/internal/core"
)

// Controllers: their processes, what they are asked and how they step.

// Node is one controller.
type Node struct {
	ID        core.NodeID
	core      *core.Core
	up        bool
	gen       int // raised at every end: answers to an earlier life are lost
	started   core.Time
	waiting   map[core.ReqID]func(core.Respond)
	nextReq   core.ReqID
	wake      core.Time
	StoreCut  core.Time // cut until then
	WorkerCut core.Time
	PeerCut   core.Time
	Refused   core.Time // gets 503 from the store until then
	NoPeers   core.Time // its connections with the others are refused until then
	Unheard   core.Time // its transactions are carried out until then, their answers lost
	Frozen    core.Time // stands still until then, its clocks run on
	Release   Release   // of its next or present process
}

// Boot starts a controller's process.
func (w *World) Boot(n *Node) {
	if n.up {
		return
	}
	w.boots++
	cfg := w.configOf(n)
	cfg.Self, cfg.Boot = n.ID, fmt.Sprintf("b%d", w.boots)
	n.core, n.up, n.started = core.New(cfg), true, w.Now
	n.waiting, n.wake = map[core.ReqID]func(core.Respond){}, 0
	w.step(n, core.Tick{})
}

// Kill ends a controller's process without a signal.
func (w *World) Kill(n *Node) {
	w.lastKill = w.Now
	n.up = false
	n.gen++
	for _, id := range sortedReqs(n.waiting) {
		n.waiting[id](core.Respond{Status: 0})
	}
	n.waiting = nil
}

func sortedReqs(m map[core.ReqID]func(core.Respond)) []core.ReqID {
	var l []core.ReqID
	for k := range m {
		l = append(l, k)
	}
	sort.Slice(l, func(i, j int) bool { return l[i] < l[j] })
	return l
}

func (w *World) step(n *Node, ev core.Event) {
	if w.Now < n.Frozen { // what comes in waits, and is all taken up at once
		gen := n.gen
		w.After(n.Frozen-w.Now, func() {
			if n.up && n.gen == gen {
				w.step(n, ev)
			}
		})
		return
	}
	w.Steps++
	before := w.allocs()
	begun := time.Now()
	effects := n.core.Step(w.Now-n.started, core.Wall(w.Now/milli), releaseEvent(n.Release, ev))
	w.Spent += time.Since(begun)
	w.Allocs += w.allocs() - before
	for _, f := range effects {
		w.observe(w.Now, n.ID, f)
		w.effect(n, releaseEffect(n.Release, f))
	}
	if at, ok := n.core.NextWake(); ok {
		at += n.started
		if n.wake <= w.Now || at < n.wake {
			n.wake = max(at, w.Now)
			gen, when := n.gen, n.wake
			w.After(at-w.Now+w.Between(0, milli), func() {
				if n.gen == gen && n.up && n.wake == when {
					n.wake = 0
					w.step(n, core.Tick{})
				}
			})
		}
	}
}

// allocs is how many objects the process has allocated so far, if that counts.
func (w *World) allocs() uint64 {
	if !w.Count {
		return 0
	}
	sample := []metrics.Sample{{Name: "/gc/heap/allocs:objects"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// Ask sends a request to a controller; fn gets status 0 when it can't be reached.
func (w *World) Ask(n *Node, ev func(core.ReqID) core.Event, fn func(core.Respond)) {
	w.After(w.Between(milli, 5*milli), func() {
		if !n.up {
			fn(core.Respond{})
			return
		}
		n.nextReq++
		id := n.nextReq
		n.waiting[id] = fn
		w.step(n, ev(id))
	})
}

// reply delivers an answer to the run of a process that asked; a later run
// never gets it.
func (w *World) reply(n *Node, gen int, id core.CallID, d core.Time, body any) {
	w.After(d, func() {
		if n.up && n.gen == gen {
			w.step(n, core.Reply{Call: id, Body: body})
		}
	})
}

// Cores lists the cores of the controllers that are up.
func (w *World) Cores() []*core.Core {
	var cores []*core.Core
	for _, n := range w.Nodes {
		if n.up {
			cores = append(cores, n.core)
		}
	}
	return cores
}
