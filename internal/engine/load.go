package engine

import (
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// measureInterval is the length of the window over which the load is measured.
	measureInterval = time.Second
	// The load is reported to the controller if the CPU usage, as a fraction of the
	// quota, or the delay of an event exceeds its threshold.
	cpuUsageThreshold   = 0.5
	eventDelayThreshold = 100 * time.Millisecond
)

// loadMeter measures the load on the process.
type loadMeter struct {
	cpuQuota       float64       // CPU cores that the process may use; 0 means no limit
	windowStart    time.Time     // start of the current window
	windowStartCPU time.Duration // CPU time of the process at windowStart
	maxEventDelay  time.Duration // since windowStart
	reportedHigh   bool          // whether the last measured load exceeded a threshold
	peakCPUUsage   float64       // maximum since the last stats line
	peakEventDelay time.Duration // maximum since the last stats line
}

// recordDelay records the time between an event's arrival and its processing.
func (m *loadMeter) recordDelay(delay time.Duration) { m.maxEventDelay = max(m.maxEventDelay, delay) }

// measure ends the window if it is at least measureInterval old, and starts a new one. It
// returns the load of the ended window and reports whether the load is to be sent to the
// controller, which is the case while it is high and once more after it has dropped. It
// returns false if the window has not ended or the CPU time cannot be read.
func (m *loadMeter) measure() (load messages.ProcessLoad, shouldReport bool) {
	now := time.Now()
	elapsed := now.Sub(m.windowStart)
	if elapsed < measureInterval {
		return messages.ProcessLoad{}, false
	}
	cpuTime, err := processCPUTime()
	if err != nil {
		return messages.ProcessLoad{}, false
	}
	load = messages.ProcessLoad{EventDelay: cluster.Time(m.maxEventDelay)}
	if m.cpuQuota > 0 {
		used := cpuTime - m.windowStartCPU
		load.CPUUsage = used.Seconds() / elapsed.Seconds() / m.cpuQuota
	}
	m.peakCPUUsage = max(m.peakCPUUsage, load.CPUUsage)
	m.peakEventDelay = max(m.peakEventDelay, m.maxEventDelay)
	m.windowStart, m.windowStartCPU, m.maxEventDelay = now, cpuTime, 0
	wasHigh := m.reportedHigh
	m.reportedHigh = load.CPUUsage > cpuUsageThreshold || load.EventDelay > cluster.Time(eventDelayThreshold)
	return load, wasHigh || m.reportedHigh
}

// takePeaks returns the maximum CPU usage and event delay since the last call, and resets
// them.
func (m *loadMeter) takePeaks() (cpuUsage float64, eventDelay time.Duration) {
	cpuUsage, eventDelay = m.peakCPUUsage, m.peakEventDelay
	m.peakCPUUsage, m.peakEventDelay = 0, 0
	return cpuUsage, eventDelay
}
