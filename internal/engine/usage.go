package engine

import (
	"fmt"
	"runtime/metrics"
	"syscall"
	"time"
)

// memoryMetric is the name of the metric for all memory that the Go runtime has mapped,
// in bytes.
const memoryMetric = "/memory/classes/total:bytes"

const (
	percent    = 100
	bytesPerKB = 1024
)

// usageMeter counts what the process uses between two stats lines, so that its use over
// a day can be read from the log.
type usageMeter struct {
	lastCPUTime time.Duration // processor time at the last stats line
	steps       int           // events since then
}

// sample returns the log arguments for the usage since the last sample; none when the
// processor time is not known.
func (u *usageMeter) sample(load *loadMeter) []any {
	cpuTime, err := processCPUTime()
	if err != nil {
		return nil
	}
	used, steps := cpuTime-u.lastCPUTime, u.steps
	u.lastCPUTime, u.steps = cpuTime, 0
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

// processCPUTime returns the processor time that the process has used, in user and
// system mode.
func processCPUTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("reading the processor time: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// mappedMemory returns the bytes that the Go runtime has mapped.
func mappedMemory() uint64 {
	sample := []metrics.Sample{{Name: memoryMetric}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
