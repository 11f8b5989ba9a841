package standin

import "stairrelay/internal/core"

// Troubles that a test may bring about.

// Hang stops a machine for a while; Cut takes its network away.
func (w *World) Hang(id core.MachineID, d core.Time) {
	if l := w.Workers[id]; l != nil {
		l.hang = w.Now + d
	}
}

// Cut takes a machine's network away for a while.
func (w *World) Cut(id core.MachineID, d core.Time) {
	if l := w.Workers[id]; l != nil {
		l.cut = w.Now + d
	}
}

// CutZone takes the network away from all machines of a zone.
func (w *World) CutZone(zone string, d core.Time) {
	for _, id := range w.liveIDs() {
		if l := w.Workers[id]; l.Zone == zone {
			w.Cut(id, d)
		}
	}
}

// Die stops one machine of so many, with all that is on them.
func (w *World) Die(of int) {
	for i, id := range w.liveIDs() {
		if i%of == 0 {
			w.Remove(id)
		}
	}
}

// Busiest is the controller to which most workers report; nil: none is up.
func (w *World) Busiest() *Node {
	count := make([]int, len(w.Nodes))
	for _, id := range w.liveIDs() {
		count[w.Workers[id].node]++
	}
	best := -1
	for i, n := range w.Nodes {
		if n.up && (best < 0 || count[i] > count[best]) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	return w.Nodes[best]
}

// Sicken makes some machines fail every task that they start.
func (w *World) Sicken(n int, d core.Time) {
	for range n {
		if l := w.Workers[w.AnyMachine()]; l != nil {
			l.Sick = w.Now + d
		}
	}
}

// Reboot ends a worker that is back at once: its tasks are gone, its next
// session begins.
func (w *World) Reboot(id core.MachineID) {
	if l := w.Workers[id]; l != nil && !l.gone {
		l.renewed = -l.Lease
		l.Advance(w.Now)
		w.changed(l)
	}
}

// SpotNotice warns a spot machine, then takes it.
func (w *World) SpotNotice(id core.MachineID, d core.Time) {
	l := w.Workers[id]
	if l == nil || l.gone || !l.Spot {
		return
	}
	l.Notice = float64(d) / 1e9
	w.changed(l)
	w.After(d, func() { w.Remove(id) })
}
