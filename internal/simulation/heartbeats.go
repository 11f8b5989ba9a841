package simulation

import (
	"fmt"
	"slices"
	"sort"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// Machines in the simulated cluster and their reports to the controllers.

// SimulatedWorker is a running worker with its habits.
type SimulatedWorker struct {
	*FakeWorker
	nodeIndex              int
	hungUntil              cluster.Time
	cutUntil               cluster.Time
	unreachableUntil       cluster.Time // its reports arrive, nothing reaches it until then
	heartbeatsBlockedUntil cluster.Time // its connections to controllers fail until then, direct commands reach it
	removed                bool
	exchangePending        bool
	heartbeatQueued        bool
	lastHeartbeatAt        cluster.Time
}

// AddMachine puts a machine into the world that is up at once.
func (w *Simulator) AddMachine(typ, zone string, spot bool) {
	w.Cloud.AvailableCapacity[CapacityKey(typ, zone, spot)]++
	r := w.Cloud.ScaleOut(w.Now, messages.CloudScaleOut{Name: fmt.Sprint("initial-", w.eventSequence), Type: typ, Zone: zone, Spot: spot, Count: 1})
	w.eventSequence++
	w.Cloud.machines[r.IDs[0]].bootedAt = w.Now
}

// LiveWorkerCount counts the machines that are up.
func (w *Simulator) LiveWorkerCount() int { return len(w.liveMachineIDs()) }

func (w *Simulator) liveMachineIDs() []cluster.MachineID {
	if w.sortedLiveIDs == nil {
		for id, l := range w.Workers {
			if !l.removed {
				w.sortedLiveIDs = append(w.sortedLiveIDs, id)
			}
		}
		sort.Slice(w.sortedLiveIDs, func(i, j int) bool { return w.sortedLiveIDs[i] < w.sortedLiveIDs[j] })
	}
	return w.sortedLiveIDs
}

func (w *Simulator) startWorker(m cluster.ListedMachine) {
	var cap cluster.Resources
	for _, t := range w.Cloud.MachineTypes {
		if t.Name == m.Type {
			cap = t.Capacity
		}
	}
	l := &SimulatedWorker{FakeWorker: &FakeWorker{ID: m.ID, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Capacity: cap, FetchDuration: 3 * second, LeaseDuration: w.config.WorkerLease,
		DoneTasks: w.doneTasks, OnStart: w.handleTaskStart, OnDone: w.handleTaskDone, LookupJob: func(id cluster.JobID) (JobInfo, bool) {
			j := w.Jobs[id]
			if j == nil {
				return JobInfo{}, false
			}
			return j.Info, true
		}}, nodeIndex: w.Rand.IntN(len(w.Nodes))}
	l.Start(w.Now)
	w.Workers[m.ID], w.sortedLiveIDs = l, nil
	w.heartbeatLoop(l)
}

// RemoveMachine ends a machine and all on it.
func (w *Simulator) RemoveMachine(id cluster.MachineID) {
	w.Cloud.RemoveMachine(id)
	if l := w.Workers[id]; l != nil {
		l.removed, w.sortedLiveIDs = true, nil
		l.Tasks = nil
	}
}

// heartbeatLoop has a worker report at its usual pace.
func (w *Simulator) heartbeatLoop(l *SimulatedWorker) {
	if l.removed {
		return
	}
	w.After(w.RandomBetween(w.config.HeartbeatInterval*3/4, w.config.HeartbeatInterval*5/4), func() { w.heartbeatLoop(l) })
	w.sendHeartbeat(l)
}

// minHeartbeatPause is the least time between two reports of a worker.
const minHeartbeatPause = second / 2

// heartbeatAnswerTimeout is how long a worker waits for the answer to a report.
const heartbeatAnswerTimeout = 4 * second

// scheduleHeartbeat has a worker report soon, as something on it has changed.
func (w *Simulator) scheduleHeartbeat(l *SimulatedWorker) {
	pause := max(l.lastHeartbeatAt+minHeartbeatPause-w.Now, 0)
	w.After(pause, func() { w.sendHeartbeat(l) })
}

// heartbeatExchange is one report with its answer.
type heartbeatExchange struct {
	simulator *Simulator
	worker    *SimulatedWorker
	node      *Node
	status    cluster.HeartbeatStatus
	sentAt    cluster.Time
	finished  bool
}

// sendHeartbeat sends a worker's report, unless one is under way.
func (w *Simulator) sendHeartbeat(l *SimulatedWorker) {
	if l.removed || l.exchangePending || w.Now < l.hungUntil {
		l.heartbeatQueued = l.exchangePending
		return
	}
	l.exchangePending, l.lastHeartbeatAt = true, w.Now
	l.Advance(w.Now)
	x := &heartbeatExchange{simulator: w, worker: l, node: w.Nodes[l.nodeIndex], status: l.NextStatus(), sentAt: w.Now}
	w.After(heartbeatAnswerTimeout, func() {
		if !x.finished {
			x.tryNextNode()
		}
	})
	if w.Now < l.heartbeatsBlockedUntil {
		w.FaultCounts["reports of a mute machine"]++
		x.tryNextNode()
		return
	}
	if cut := max(x.node.WorkersCutUntil, l.cutUntil); w.Now < cut {
		x.deliverLate(cut)
		return
	}
	if w.HeartbeatDuplicateChance > 0 && w.Chance(w.HeartbeatDuplicateChance) {
		w.deliverDuplicateHeartbeat(x.status, w.RandomBetween(second, 3*w.config.WorkerLease))
	}
	w.captureHeartbeat(x.status)
	w.SendRequest(x.node, x.heartbeatEvent, x.handleAnswer)
}

func (x *heartbeatExchange) heartbeatEvent(id messages.RequestID) messages.Event {
	return messages.Heartbeat{Request: id, Status: x.status}
}

// deliverLate delivers a report that was held back by a cut; nobody reads its
// answer.
func (x *heartbeatExchange) deliverLate(cut cluster.Time) {
	if pause, ok := x.simulator.lateArrival(cut); ok {
		x.simulator.After(pause, func() { x.simulator.SendRequest(x.node, x.heartbeatEvent, func(messages.Respond) {}) })
	}
}

// finish ends the exchange; the next report may go out after a pause.
func (x *heartbeatExchange) finish(pause cluster.Time) {
	x.finished = true
	x.simulator.After(pause, func() {
		x.worker.exchangePending = false
		if x.worker.heartbeatQueued {
			x.worker.heartbeatQueued = false
			x.simulator.scheduleHeartbeat(x.worker)
		}
	})
}

// tryNextNode turns to the next controller.
func (x *heartbeatExchange) tryNextNode() {
	x.worker.nodeIndex = (x.worker.nodeIndex + 1) % len(x.simulator.Nodes)
	x.worker.heartbeatQueued = true
	x.finish(second)
}

// handleAnswer takes in a controller's answer to the report.
func (x *heartbeatExchange) handleAnswer(a messages.Respond) {
	w, l := x.simulator, x.worker
	if x.finished || l.removed {
		return
	}
	if x.sentAt < l.unreachableUntil { // the answer is lost; the worker tries the next node in a while
		w.FaultCounts["answers to a one-way machine"]++
		return
	}
	if w.Now < x.node.StoreCutUntil && w.Now < x.node.PeersCutUntil && a.Status == 200 {
		w.FaultCounts["answers of a controller with its workers alone"]++
	}
	if w.Now < l.hungUntil { // answers wait in the machine; after 4 s they are dropped
		return
	}
	switch {
	case a.Status == 200 && a.Heartbeat != nil:
		before := l.FencingToken
		l.HandleHeartbeatAnswer(x.status.Incarnation, x.sentAt, *a.Heartbeat)
		w.logCommands(x.node, l, a.Heartbeat.FencingToken, a.Heartbeat.Commands)
		if l.FencingToken > before || len(a.Heartbeat.Commands) > 0 {
			l.heartbeatQueued = true
		}
		x.finish(0)
	case a.Status == 421 && a.Heartbeat != nil && w.nodeByID(a.Heartbeat.RedirectTo) != nil && a.Heartbeat.RedirectTo != x.node.ID:
		l.nodeIndex = slices.IndexFunc(w.Nodes, func(n *Node) bool { return n.ID == a.Heartbeat.RedirectTo })
		l.heartbeatQueued = true
		x.finish(w.RandomBetween(0, second/2))
	default:
		x.tryNextNode()
	}
}

// deliverDuplicateHeartbeat delivers a report again after a while, to any controller.
func (w *Simulator) deliverDuplicateHeartbeat(r cluster.HeartbeatStatus, d cluster.Time) {
	n := w.randomNode()
	w.After(d, func() {
		w.SendRequest(n, func(id messages.RequestID) messages.Event { return messages.Heartbeat{Request: id, Status: r} }, func(messages.Respond) {
			w.FaultCounts["late copies of reports"]++
			if w.Workers[r.Machine].removed {
				w.FaultCounts["late copies from machines that are gone"]++
			}
		})
	})
}

// DuplicateHeartbeat delivers a copy of a machine's present report later.
func (w *Simulator) DuplicateHeartbeat(id cluster.MachineID, d cluster.Time) {
	if l := w.Workers[id]; l != nil && !l.removed {
		w.deliverDuplicateHeartbeat(l.NextStatus(), d)
	}
}

// MakeUnreachable makes a machine one whose reports arrive while nothing reaches it.
func (w *Simulator) MakeUnreachable(id cluster.MachineID, d cluster.Time) {
	if l := w.Workers[id]; l != nil {
		l.unreachableUntil = w.Now + d
	}
}

// RandomMachine draws a running machine, or none.
func (w *Simulator) RandomMachine() cluster.MachineID {
	ids := w.liveMachineIDs()
	if len(ids) == 0 {
		return ""
	}
	return ids[w.Rand.IntN(len(ids))]
}
