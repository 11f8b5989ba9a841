package simulation

import (
	"stairrelay/internal/cluster"
)

// Troubles that a test may bring about.

// HangMachine stops a machine for a while.
func (w *Simulator) HangMachine(id cluster.MachineID, duration cluster.Time) {
	if worker := w.Workers[id]; worker != nil {
		worker.hungUntil = w.Now + duration
	}
}

// CutMachine takes a machine's network away for a while.
func (w *Simulator) CutMachine(id cluster.MachineID, duration cluster.Time) {
	if worker := w.Workers[id]; worker != nil {
		worker.cutUntil = w.Now + duration
	}
}

// CutZone takes the network away from all machines of a zone.
func (w *Simulator) CutZone(zone string, duration cluster.Time) {
	for _, id := range w.liveMachineIDs() {
		if w.Workers[id].Zone == zone {
			w.CutMachine(id, duration)
		}
	}
}

// RemoveEveryNthMachine ends every n-th machine, with all that is on it.
func (w *Simulator) RemoveEveryNthMachine(n int) {
	for i, id := range w.liveMachineIDs() {
		if i%n == 0 {
			w.RemoveMachine(id)
		}
	}
}

// BusiestNode is the controller to which most workers report; nil: none is up.
func (w *Simulator) BusiestNode() *Node {
	workers := make([]int, len(w.Nodes))
	for _, id := range w.liveMachineIDs() {
		workers[w.Workers[id].nodeIndex]++
	}
	var busiest *Node
	most := -1
	for i, node := range w.Nodes {
		if node.running && workers[i] > most {
			busiest = node
			most = workers[i]
		}
	}
	return busiest
}

// MakeMachinesFaulty makes some machines fail every task that they start.
func (w *Simulator) MakeMachinesFaulty(machines int, duration cluster.Time) {
	for range machines {
		if worker := w.Workers[w.RandomMachine()]; worker != nil {
			worker.FaultyUntil = w.Now + duration
		}
	}
}

// RebootWorker ends a worker that is back at once: its tasks are gone, its next
// session begins.
func (w *Simulator) RebootWorker(id cluster.MachineID) {
	worker := w.Workers[id]
	if worker == nil || worker.removed {
		return
	}
	worker.leaseRenewedAt = -worker.LeaseDuration // so long ago that the lease has run out
	worker.Advance(w.Now)
	w.scheduleHeartbeat(worker)
}

// PreemptSpotMachine warns a spot machine, then takes it.
func (w *Simulator) PreemptSpotMachine(id cluster.MachineID, notice cluster.Time) {
	worker := w.Workers[id]
	if worker == nil || worker.removed || !worker.Spot {
		return
	}
	worker.PreemptionNotice = float64(notice) / float64(second)
	w.scheduleHeartbeat(worker)
	w.After(notice, func() { w.RemoveMachine(id) })
}
