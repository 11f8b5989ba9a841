package engine

import (
	"fmt"
	"runtime/metrics"
	"syscall"
	"time"
)

// memoryMetric is the runtime metric of all memory that the Go runtime has mapped, in bytes.
const memoryMetric = "/memory/classes/total:bytes"

const (
	percent    = 100
	bytesPerKB = 1024
)

// usageMeter tracks the resource usage of the process between stats log lines.
type usageMeter struct {
	lastCPUTime time.Duration // CPU time at the last stats line
	steps       int           // events since the last stats line
}

// sample returns the usage since the last sample as arguments of a log line, and resets the
// peaks of the load meter. The result is nil if the CPU time cannot be read.
func (u *usageMeter) sample(load *loadMeter) []any {
	cpuTime, err := processCPUTime()
	if err != nil {
		return nil
	}
	used, steps := cpuTime-u.lastCPUTime, u.steps
	u.lastCPUTime, u.steps = cpuTime, 0
	peakCPUUsage, peakEventDelay := load.takePeaks()
	return []any{
		"cpu_ms", used.Milliseconds(),
		"events", steps,
		"cpu_us_per_event", used.Microseconds() / int64(max(steps, 1)),
		"busiest_pct", int(peakCPUUsage * percent),
		"latest_ms", peakEventDelay.Milliseconds(),
		"memory_kb", mappedMemory() / bytesPerKB,
	}
}

// processCPUTime returns the user and system CPU time of the process.
func processCPUTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("reading CPU time: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// mappedMemory returns the number of bytes that the Go runtime has mapped.
func mappedMemory() uint64 {
	sample := []metrics.Sample{{Name: memoryMetric}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
