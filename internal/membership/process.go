package membership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// processPauseThreshold is the gap between two events from which on the process
	// must have been paused while its clocks ran on: timers are due several times a
	// second.
	processPauseThreshold = 3 * second
	// cpuUsageLimit is the share of the allowed processor time, and eventDelayLimit
	// the delay of events, above which the process is overloaded.
	cpuUsageLimit   = 0.75
	eventDelayLimit = 150 * millisecond
	// overloadStretch is by how much an overloaded process stretches its pauses, and
	// maxStretchedDelay bounds them.
	overloadStretch   = 5
	maxStretchedDelay = second
)

// ProcessHealth tells how the process itself is served by its machine.
type ProcessHealth struct {
	load      messages.ProcessLoad // as last measured
	resumedAt cluster.Time         // when the process last went on after a pause
}

// RecordLoad takes in a measurement.
func (h *ProcessHealth) RecordLoad(load messages.ProcessLoad) { h.load = load }

// EventDelay is how late events were handled when that was last measured.
func (h *ProcessHealth) EventDelay() cluster.Time { return h.load.EventDelay }

// IsOverloaded tells whether the process is about to use more than its share of
// the processor. What comes in late then are leases, admissions and calls of
// other controllers; scheduling and scaling out less often leaves time for those.
func (h *ProcessHealth) IsOverloaded() bool {
	return h.load.CPUUsage > cpuUsageLimit || h.load.EventDelay > eventDelayLimit
}

// StretchDelay stretches the time between two decisions that can wait while the
// process is overloaded.
func (h *ProcessHealth) StretchDelay(delay cluster.Time) cluster.Time {
	if !h.IsOverloaded() {
		return delay
	}
	return min(overloadStretch*delay+h.load.EventDelay/2, maxStretchedDelay)
}

// IsPause tells whether the process must have been paused in a gap between events.
func IsPause(gap cluster.Time) bool { return gap > processPauseThreshold }

// RecordPause records that the process has gone on after a pause.
func (h *ProcessHealth) RecordPause(now cluster.Time) { h.resumedAt = now }

// ResumedAt is when the process last went on after a pause; 0: it was never paused.
// That nothing was heard before then says nothing about who was silent.
func (h *ProcessHealth) ResumedAt() cluster.Time { return h.resumedAt }
