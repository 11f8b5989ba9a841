package simulation

import (
	"fmt"
	"runtime/metrics"
	"sort"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"

	"stairrelay/internal/controller"
)

// Controllers: their processes, what they are asked and how they step.

// Node is one controller.
type Node struct {
	ID                    cluster.NodeID
	controller            *controller.Controller
	running               bool
	generation            int // raised at every end: answers to an earlier life are lost
	startedAt             cluster.Time
	pendingRequests       map[messages.RequestID]func(messages.Respond)
	lastRequestID         messages.RequestID
	nextWakeAt            cluster.Time
	StoreCutUntil         cluster.Time // cut until then
	WorkersCutUntil       cluster.Time
	PeersCutUntil         cluster.Time
	StoreRefusesUntil     cluster.Time // gets 503 from the store until then
	PeersRefuseUntil      cluster.Time // its connections with the others are refused until then
	StoreRepliesLostUntil cluster.Time // its transactions are carried out until then, their answers lost
	PausedUntil           cluster.Time // stands still until then, its clocks run on
	Version               Version      // of its next or present process
}

// StartNode starts a controller's process.
func (w *Simulator) StartNode(n *Node) {
	if n.running {
		return
	}
	w.bootCount++
	cfg := w.nodeConfig(n)
	cfg.Self, cfg.InstanceID = n.ID, fmt.Sprintf("b%d", w.bootCount)
	n.controller, n.running, n.startedAt = controller.New(cfg), true, w.Now
	n.pendingRequests, n.nextWakeAt = map[messages.RequestID]func(messages.Respond){}, 0
	w.stepNode(n, messages.Tick{})
}

// KillNode ends a controller's process without a signal.
func (w *Simulator) KillNode(n *Node) {
	w.lastNodeKillAt = w.Now
	n.running = false
	n.generation++
	for _, id := range sortedRequestIDs(n.pendingRequests) {
		n.pendingRequests[id](messages.Respond{Status: 0})
	}
	n.pendingRequests = nil
}

func sortedRequestIDs(m map[messages.RequestID]func(messages.Respond)) []messages.RequestID {
	var l []messages.RequestID
	for k := range m {
		l = append(l, k)
	}
	sort.Slice(l, func(i, j int) bool { return l[i] < l[j] })
	return l
}

func (w *Simulator) stepNode(n *Node, ev messages.Event) {
	if w.Now < n.PausedUntil { // what comes in waits, and is all taken up at once
		gen := n.generation
		w.After(n.PausedUntil-w.Now, func() {
			if n.running && n.generation == gen {
				w.stepNode(n, ev)
			}
		})
		return
	}
	w.StepCount++
	before := w.readAllocations()
	begun := time.Now()
	effects := n.controller.Step(w.Now-n.startedAt, cluster.WallTime(w.Now/millisecond), filterEvent(n.Version, ev))
	w.ControllerTime += time.Since(begun)
	w.Allocations += w.readAllocations() - before
	for _, f := range effects {
		w.observe(w.Now, n.ID, f)
		w.executeEffect(n, filterEffect(n.Version, f))
	}
	if at, ok := n.controller.NextWake(); ok {
		at += n.startedAt
		if n.nextWakeAt <= w.Now || at < n.nextWakeAt {
			n.nextWakeAt = max(at, w.Now)
			gen, when := n.generation, n.nextWakeAt
			w.After(at-w.Now+w.RandomBetween(0, millisecond), func() {
				if n.generation == gen && n.running && n.nextWakeAt == when {
					n.nextWakeAt = 0
					w.stepNode(n, messages.Tick{})
				}
			})
		}
	}
}

// readAllocations is how many objects the process has allocated so far, if that counts.
func (w *Simulator) readAllocations() uint64 {
	if !w.CountAllocations {
		return 0
	}
	sample := []metrics.Sample{{Name: "/gc/heap/allocs:objects"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// SendRequest sends a request to a controller; fn gets status 0 when it can't be reached.
func (w *Simulator) SendRequest(n *Node, ev func(messages.RequestID) messages.Event, fn func(messages.Respond)) {
	w.After(w.RandomBetween(millisecond, 5*millisecond), func() {
		if !n.running {
			fn(messages.Respond{})
			return
		}
		n.lastRequestID++
		id := n.lastRequestID
		n.pendingRequests[id] = fn
		w.stepNode(n, ev(id))
	})
}

// deliverReply delivers an answer to the run of a process that asked; a later run
// never gets it.
func (w *Simulator) deliverReply(n *Node, gen int, id messages.CallID, d cluster.Time, body any) {
	w.After(d, func() {
		if n.running && n.generation == gen {
			w.stepNode(n, messages.Reply{Call: id, Body: body})
		}
	})
}

// Controllers lists the cores of the controllers that are up.
func (w *Simulator) Controllers() []*controller.Controller {
	var cores []*controller.Controller
	for _, n := range w.Nodes {
		if n.running {
			cores = append(cores, n.controller)
		}
	}
	return cores
}
