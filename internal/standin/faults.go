package standin

import "stairrelay/internal/core"

// Troubles that a test may bring about.

// Hang stops a machine for a while.
func (w *Simulator) HangMachine(id core.MachineID, duration core.Time) {
	if worker := w.Workers[id]; worker != nil {
		worker.hungUntil = w.Now + duration
	}
}

// Cut takes a machine's network away for a while.
func (w *Simulator) CutMachine(id core.MachineID, duration core.Time) {
	if worker := w.Workers[id]; worker != nil {
		worker.cutUntil = w.Now + duration
	}
}

// CutZone takes the network away from all machines of a zone.
func (w *Simulator) CutZone(zone string, duration core.Time) {
	for _, id := range w.liveMachineIDs() {
		if w.Workers[id].Zone == zone {
			w.CutMachine(id, duration)
		}
	}
}

// Die ends every n-th machine, with all that is on it.
func (w *Simulator) RemoveEveryNthMachine(n int) {
	for i, id := range w.liveMachineIDs() {
		if i%n == 0 {
			w.RemoveMachine(id)
		}
	}
}

// Busiest is the controller to which most workers report; nil: none is up.
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

// Sicken makes some machines fail every task that they start.
func (w *Simulator) MakeMachinesFaulty(machines int, duration core.Time) {
	for range machines {
		if worker := w.Workers[w.RandomMachine()]; worker != nil {
			worker.FaultyUntil = w.Now + duration
		}
	}
}

// Reboot ends a worker that is back at once: its tasks are gone, its next
// session begins.
func (w *Simulator) RebootWorker(id core.MachineID) {
	worker := w.Workers[id]
	if worker == nil || worker.removed {
		return
	}
	worker.leaseRenewedAt = -worker.LeaseDuration // so long ago that the lease has run out
	worker.Advance(w.Now)
	w.scheduleHeartbeat(worker)
}

// SpotNotice warns a spot machine, then takes it.
func (w *Simulator) PreemptSpotMachine(id core.MachineID, notice core.Time) {
	worker := w.Workers[id]
	if worker == nil || worker.removed || !worker.Spot {
		return
	}
	worker.PreemptionNotice = float64(notice) / float64(second)
	w.scheduleHeartbeat(worker)
	w.After(notice, func() { w.RemoveMachine(id) })
}
