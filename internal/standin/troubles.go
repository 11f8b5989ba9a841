package standin

import "stairrelay/internal/core"

// Troubles that a test may bring about.

// Hang stops a machine for a while.
func (w *World) Hang(id core.MachineID, duration core.Time) {
	if worker := w.Workers[id]; worker != nil {
		worker.hang = w.Now + duration
	}
}

// Cut takes a machine's network away for a while.
func (w *World) Cut(id core.MachineID, duration core.Time) {
	if worker := w.Workers[id]; worker != nil {
		worker.cut = w.Now + duration
	}
}

// CutZone takes the network away from all machines of a zone.
func (w *World) CutZone(zone string, duration core.Time) {
	for _, id := range w.liveIDs() {
		if w.Workers[id].Zone == zone {
			w.Cut(id, duration)
		}
	}
}

// Die ends every n-th machine, with all that is on it.
func (w *World) Die(n int) {
	for i, id := range w.liveIDs() {
		if i%n == 0 {
			w.Remove(id)
		}
	}
}

// Busiest is the controller to which most workers report; nil: none is up.
func (w *World) Busiest() *Node {
	workers := make([]int, len(w.Nodes))
	for _, id := range w.liveIDs() {
		workers[w.Workers[id].node]++
	}
	var busiest *Node
	most := -1
	for i, node := range w.Nodes {
		if node.up && workers[i] > most {
			busiest = node
			most = workers[i]
		}
	}
	return busiest
}

// Sicken makes some machines fail every task that they start.
func (w *World) Sicken(machines int, duration core.Time) {
	for range machines {
		if worker := w.Workers[w.AnyMachine()]; worker != nil {
			worker.Sick = w.Now + duration
		}
	}
}

// Reboot ends a worker that is back at once: its tasks are gone, its next
// session begins.
func (w *World) Reboot(id core.MachineID) {
	worker := w.Workers[id]
	if worker == nil || worker.gone {
		return
	}
	worker.renewed = -worker.Lease // so long ago that the lease has run out
	worker.Advance(w.Now)
	w.changed(worker)
}

// SpotNotice warns a spot machine, then takes it.
func (w *World) SpotNotice(id core.MachineID, notice core.Time) {
	worker := w.Workers[id]
	if worker == nil || worker.gone || !worker.Spot {
		return
	}
	worker.Notice = float64(notice) / float64(second)
	w.changed(worker)
	w.After(notice, func() { w.Remove(id) })
}
