package engine

import (
	"runtime/metrics"
	"syscall"
	"time"
)

// memoryMetric is all the memory that the Go runtime has mapped.
const memoryMetric = "/memory/classes/total:bytes"

const (
	percent    = 100
	bytesPerKB = 1024
)

// usageMeter counts what the process uses between two stats lines, so that a
// day can be judged from its log.
type usageMeter struct {
	lastCPUTime time.Duration // processor time used at the last stats line
	steps       int           // since then
}

// sample gives the log arguments of the usage since the last one; none when
// the system does not tell.
func (u *usageMeter) sample(load *loadMeter) []any {
	cpu, known := processCPUTime()
	if !known {
		return nil
	}
	used, steps := cpu-u.lastCPUTime, u.steps
	u.lastCPUTime, u.steps = cpu, 0
	peakBusy, peakLag := load.takePeaks()
	return []any{
		"cpu_ms", used.Milliseconds(),
		"events", steps,
		"cpu_us_per_event", used.Microseconds() / int64(max(steps, 1)),
		"busiest_pct", int(peakBusy * percent),
		"latest_ms", peakLag.Milliseconds(),
		"memory_kb", mappedMemory() / bytesPerKB,
	}
}

// processCPUTime is what the process has taken so far; false when the system
// does not tell.
func processCPUTime() (time.Duration, bool) {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0, false
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), true
}

func mappedMemory() uint64 {
	sample := []metrics.Sample{{Name: memoryMetric}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
