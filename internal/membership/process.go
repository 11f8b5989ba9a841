package membership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// processPauseThreshold is the time between two events above which the process
	// must have been paused. Timers normally fire several times a second.
	processPauseThreshold = 3 * second
	// The process is overloaded if it uses more than cpuUsageLimit of its CPU quota or
	// handles events later than eventDelayLimit.
	cpuUsageLimit   = 0.75
	eventDelayLimit = 150 * millisecond
	// overloadDelayFactor multiplies the delays of an overloaded process, up to
	// maxOverloadDelay.
	overloadDelayFactor = 5
	maxOverloadDelay    = second
)

// ProcessHealth tracks the load and the pauses of this process.
type ProcessHealth struct {
	load      messages.ProcessLoad // last measurement
	resumedAt cluster.Time         // end of the last pause
}

// RecordLoad records a measurement of the load.
func (h *ProcessHealth) RecordLoad(load messages.ProcessLoad) { h.load = load }

// EventDelay returns the last measured delay of events.
func (h *ProcessHealth) EventDelay() cluster.Time { return h.load.EventDelay }

// IsOverloaded reports whether the process is close to its CPU quota or handles events
// late. Lease renewals, job submissions and calls of other controllers would then be
// delayed, so less urgent work such as scheduling and scaling out should run less often.
func (h *ProcessHealth) IsOverloaded() bool {
	return h.load.CPUUsage > cpuUsageLimit || h.load.EventDelay > eventDelayLimit
}

// StretchDelay returns the delay to use between two runs of deferrable work. While the
// process is overloaded, the given delay is extended, up to maxOverloadDelay.
func (h *ProcessHealth) StretchDelay(delay cluster.Time) cluster.Time {
	if !h.IsOverloaded() {
		return delay
	}
	return min(overloadDelayFactor*delay+h.load.EventDelay/2, maxOverloadDelay)
}

// IsPause reports whether a gap between two events means that the process was paused.
func IsPause(gap cluster.Time) bool { return gap > processPauseThreshold }

// RecordPause records that the process resumed after a pause.
func (h *ProcessHealth) RecordPause(now cluster.Time) { h.resumedAt = now }

// ResumedAt returns when the process last resumed after a pause, or 0 if it was never
// paused. Missing heartbeats before that time don't indicate a failure of the sender.
func (h *ProcessHealth) ResumedAt() cluster.Time { return h.resumedAt }
