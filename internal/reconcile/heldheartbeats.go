package reconcile

import "stairrelay/internal/state"

const (
	// heldHeartbeatInterval is the time between two scans of all held heartbeats.
	heldHeartbeatScanInterval = 100 * millisecond
	// recordWaitStoreSilence is how long the state service may be silent before
	// heartbeats are answered without the records that they wait for.
	heldHeartbeatStoreTimeout = 500 * millisecond
)

// heldHeartbeats lists the machines whose heartbeats have no answer yet, in the order
// in which they came in. A machine whose heartbeat was answered otherwise has no
// pending request, and is left out at the next scan.
//
// All held heartbeats are scanned ten times a second; in between only those that have
// come in or whose record was stored since the last scan.
type heldHeartbeats struct {
	machines      []*state.Machine // held at the last scan
	toCheck       []*state.Machine // to be checked in this step
	scanScheduled bool             // of all
}

// Recheck has a machine's held heartbeat checked in this step, as its record was
// stored.
func (h *Heartbeats) Recheck(machine *state.Machine) {
	if machine.PendingHeartbeat != 0 {
		h.held.toCheck = append(h.held.toCheck, machine)
	}
}

// AnswerReady answers the heartbeats whose machine has no start on its way to the
// record. The others wait a moment for the record, so that the answer carries the
// start.
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

// scheduleScan has all held heartbeats checked after a pause.
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

// awaitsRecord tells whether the answer to a machine's heartbeat waits for the record
// of a start.
func (h *Heartbeats) awaitsRecord(machine *state.Machine) bool {
	if h.loop.Now() >= machine.ReplyDeadline || h.queue.IsUnavailableFor(heldHeartbeatStoreTimeout) {
		return false
	}
	for _, assignment := range machine.Assignments {
		if assignment.Phase == state.PhaseRecording && !assignment.ConfirmedAbsent {
			return true
		}
	}
	return false
}
