package engine

import (
	"time"

	"stairrelay/internal/core"
)

const (
	// measureEvery is the time over which the process's load is measured.
	measureEvery = time.Second
	// busyShare and longLag are from when on the core is told of the load.
	busyShare = 0.5
	longLag   = 100 * time.Millisecond
)

// loadMeter measures how busy the process is.
type loadMeter struct {
	coreShare float64       // of a processor core that the process may use; 0: not limited
	since     time.Time     // begin of the present measurement
	cpuThen   time.Duration // processor time used at that moment
	lag       time.Duration // the worst since then
	told      bool          // the core believes that the process is busy
	peakBusy  float64       // since the last stats line
	peakLag   time.Duration // likewise
}

// noteLag notes how late an event was taken up.
func (m *loadMeter) noteLag(lag time.Duration) { m.lag = max(m.lag, lag) }

// measure looks once a second how busy the process is. It is worth telling
// while it is busy, and once when it no longer is.
func (m *loadMeter) measure() (core.Load, bool) {
	now := time.Now()
	elapsed := now.Sub(m.since)
	if elapsed < measureEvery {
		return core.Load{}, false
	}
	cpu, known := processorTime()
	if !known {
		return core.Load{}, false
	}
	load := core.Load{Lag: core.Time(m.lag)}
	if m.coreShare > 0 {
		used := cpu - m.cpuThen
		load.Busy = used.Seconds() / elapsed.Seconds() / m.coreShare
	}
	m.peakBusy = max(m.peakBusy, load.Busy)
	m.peakLag = max(m.peakLag, m.lag)
	m.since = now
	m.cpuThen = cpu
	m.lag = 0
	wasTold := m.told
	m.told = load.Busy > busyShare || load.Lag > core.Time(longLag)
	return load, wasTold || m.told
}

// takePeaks gives the largest values since the last call.
func (m *loadMeter) takePeaks() (busy float64, lag time.Duration) {
	busy, lag = m.peakBusy, m.peakLag
	m.peakBusy, m.peakLag = 0, 0
	return busy, lag
}
