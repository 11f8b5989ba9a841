package engine

import (
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// measureInterval is the time over which the process's load is measured.
	measureInterval = time.Second
	// busyThreshold and longLag are from when on the core is told of the load.
	busyThreshold = 0.5
	lagThreshold  = 100 * time.Millisecond
)

// loadMeter measures how busy the process is.
type loadMeter struct {
	cpuShare       float64       // of a processor core that the process may use; 0: not limited
	windowStart    time.Time     // begin of the present measurement
	windowStartCPU time.Duration // processor time used at that moment
	worstLag       time.Duration // the worst since then
	reportedBusy   bool          // the core believes that the process is busy
	peakBusy       float64       // since the last stats line
	peakLag        time.Duration // likewise
}

// recordLag notes how late an event was taken up.
func (m *loadMeter) recordLag(lag time.Duration) { m.worstLag = max(m.worstLag, lag) }

// measure looks once a second how busy the process is. It is worth telling
// while it is busy, and once when it no longer is.
func (m *loadMeter) measure() (messages.ProcessLoad, bool) {
	now := time.Now()
	elapsed := now.Sub(m.windowStart)
	if elapsed < measureInterval {
		return messages.ProcessLoad{}, false
	}
	cpu, known := processCPUTime()
	if !known {
		return messages.ProcessLoad{}, false
	}
	load := messages.ProcessLoad{EventDelay: cluster.Time(m.worstLag)}
	if m.cpuShare > 0 {
		used := cpu - m.windowStartCPU
		load.CPUUsage = used.Seconds() / elapsed.Seconds() / m.cpuShare
	}
	m.peakBusy = max(m.peakBusy, load.CPUUsage)
	m.peakLag = max(m.peakLag, m.worstLag)
	m.windowStart = now
	m.windowStartCPU = cpu
	m.worstLag = 0
	wasTold := m.reportedBusy
	m.reportedBusy = load.CPUUsage > busyThreshold || load.EventDelay > cluster.Time(lagThreshold)
	return load, wasTold || m.reportedBusy
}

// takePeaks gives the largest values since the last call.
func (m *loadMeter) takePeaks() (busy float64, lag time.Duration) {
	busy, lag = m.peakBusy, m.peakLag
	m.peakBusy, m.peakLag = 0, 0
	return busy, lag
}
