package reconcile

import "stairrelay/internal/state"

const (
	// heldHeartbeatScanInterval is the interval at which all held heartbeats are checked.
	heldHeartbeatScanInterval = 100 * millisecond
	// maxStoreOutageForHold is how long the store may be unavailable before heartbeats
	// are answered without waiting for records.
	maxStoreOutageForHold = 500 * millisecond
)

// heldHeartbeats tracks the machines whose heartbeats are not answered yet. A machine whose
// heartbeat was answered between two scans is dropped at the second one.
//
// All held heartbeats are checked every heldHeartbeatScanInterval. Between two scans, only
// new heartbeats and those of machines whose record was stored are checked.
type heldHeartbeats struct {
	machines      []*state.Machine // machines with held heartbeats, checked by the next scan
	toCheck       []*state.Machine // machines to check in this event loop step
	scanScheduled bool
}

// Recheck schedules a check of a machine's held heartbeat in this event loop step. It must
// be called after the machine's record was stored.
func (h *Heartbeats) Recheck(machine *state.Machine) {
	if machine.PendingHeartbeat != 0 {
		h.held.toCheck = append(h.held.toCheck, machine)
	}
}

// AnswerReady checks the new heartbeats and those that are due to be checked again. It
// answers those that don't have to wait for the record of a start, and holds the others.
func (h *Heartbeats) AnswerReady() {
	toCheck := h.held.toCheck
	h.held.toCheck = nil
	for _, machine := range toCheck {
		switch {
		case machine.PendingHeartbeat == 0:
		case !h.awaitsRecord(machine):
			h.Answer(machine)
		case !machine.HeartbeatHeld:
			machine.HeartbeatHeld = true
			h.held.machines = append(h.held.machines, machine)
		}
	}
	h.scheduleScan()
}

// scheduleScan schedules the next scan of the held heartbeats, unless none is held or a
// scan is already scheduled.
func (h *Heartbeats) scheduleScan() {
	if len(h.held.machines) == 0 || h.held.scanScheduled {
		return
	}
	h.held.scanScheduled = true
	h.loop.After(heldHeartbeatScanInterval, h.scan)
}

func (h *Heartbeats) scan() {
	h.held.scanScheduled = false
	h.deps.Metrics.AddMachineScans(h.held.machines)
	h.held.toCheck = append(h.held.toCheck, h.held.machines...)
	for _, machine := range h.held.machines {
		machine.HeartbeatHeld = false
	}
	h.held.machines = h.held.machines[:0]
}

// awaitsRecord reports whether the response to a machine's heartbeat has to wait until
// the record of a start is stored. It need not wait after the response deadline or while
// the store is unavailable.
func (h *Heartbeats) awaitsRecord(machine *state.Machine) bool {
	if h.loop.Now() >= machine.ResponseDeadline || h.queue.IsUnavailableFor(maxStoreOutageForHold) {
		return false
	}
	for _, assignment := range machine.Assignments {
		if assignment.Phase == state.PhaseRecording && !assignment.ConfirmedAbsent {
			return true
		}
	}
	return false
}
