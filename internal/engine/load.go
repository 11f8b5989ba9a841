package engine

import (
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// measureInterval is the time over which the load of the process is measured.
	measureInterval = time.Second
	// busyThreshold, a share of the processor time that the process may use, and
	// lagThreshold are the values above which the load is reported to the controller.
	busyThreshold = 0.5
	lagThreshold  = 100 * time.Millisecond
)

// loadMeter measures how busy the process is.
type loadMeter struct {
	cpuShare       float64       // share of a processor core that the process may use; 0: no limit
	windowStart    time.Time     // beginning of the present measurement
	windowStartCPU time.Duration // processor time of the process at that moment
	worstLag       time.Duration // the worst since then
	reportedBusy   bool          // the last load that was reported is above a threshold
	peakBusy       float64       // since the last stats line
	peakLag        time.Duration // since the last stats line
}

// recordLag records how late an event was processed.
func (m *loadMeter) recordLag(lag time.Duration) { m.worstLag = max(m.worstLag, lag) }

// measure returns the load once per measureInterval, and whether it should be reported
// to the controller: while the process is busy, and once when it no longer is.
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
	load = messages.ProcessLoad{EventDelay: cluster.Time(m.worstLag)}
	if m.cpuShare > 0 {
		used := cpuTime - m.windowStartCPU
		load.CPUUsage = used.Seconds() / elapsed.Seconds() / m.cpuShare
	}
	m.peakBusy = max(m.peakBusy, load.CPUUsage)
	m.peakLag = max(m.peakLag, m.worstLag)
	m.windowStart, m.windowStartCPU, m.worstLag = now, cpuTime, 0
	wasBusy := m.reportedBusy
	m.reportedBusy = load.CPUUsage > busyThreshold || load.EventDelay > cluster.Time(lagThreshold)
	return load, wasBusy || m.reportedBusy
}

// takePeaks returns the largest values since the last call.
func (m *loadMeter) takePeaks() (busy float64, lag time.Duration) {
	busy, lag = m.peakBusy, m.peakLag
	m.peakBusy, m.peakLag = 0, 0
	return busy, lag
}
