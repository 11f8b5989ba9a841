package engine

import (
	"testing"
	"time"

	"stairrelay/internal/cluster"
)

// newLoadMeter returns the load meter of a new engine.
func newLoadMeter(t *testing.T) *loadMeter {
	t.Helper()
	engine, _ := newEngine(t)
	return &engine.load
}

// backdateWindow makes the current window two seconds old, with the given CPU time and
// maximum event delay.
func backdateWindow(t *testing.T, meter *loadMeter, used, eventDelay time.Duration) {
	t.Helper()
	cpuTime, err := processCPUTime()
	if err != nil {
		t.Fatal(err)
	}
	meter.windowStart = time.Now().Add(-2 * time.Second)
	meter.windowStartCPU = cpuTime - used
	meter.maxEventDelay = eventDelay
}

// TestHighLoadReported checks that the load is reported only while the CPU usage or the
// event delay is high, once more after it has dropped, and at most once per second.
func TestHighLoadReported(t *testing.T) {
	meter := newLoadMeter(t)
	backdateWindow(t, meter, 0, 0)
	if load, shouldReport := meter.measure(); shouldReport {
		t.Errorf("low load was reported: %+v", load)
	}
	backdateWindow(t, meter, 190*time.Millisecond, 0) // in 2s: 0.095 cores of a quota of 0.1
	if load, shouldReport := meter.measure(); !shouldReport || load.CPUUsage < 0.9 || load.CPUUsage > 1.5 {
		t.Errorf("near the CPU quota: %+v, reported %v", load, shouldReport)
	}
	if _, shouldReport := meter.measure(); shouldReport {
		t.Error("load was reported twice within a second")
	}
	backdateWindow(t, meter, 0, 0)
	if load, shouldReport := meter.measure(); !shouldReport || load.CPUUsage > 0.5 {
		t.Errorf("load has dropped: %+v, reported %v", load, shouldReport)
	}
	backdateWindow(t, meter, 0, time.Second)
	if load, shouldReport := meter.measure(); !shouldReport || load.EventDelay != cluster.Time(time.Second) {
		t.Errorf("event delayed by a second: %+v, reported %v", load, shouldReport)
	}
}

// TestTakePeaks checks that peak values are kept until they are read, and then reset.
func TestTakePeaks(t *testing.T) {
	meter := newLoadMeter(t)
	for _, eventDelay := range []time.Duration{time.Second, 3 * time.Second, 2 * time.Second} {
		backdateWindow(t, meter, 0, eventDelay)
		meter.measure()
	}
	if _, eventDelay := meter.takePeaks(); eventDelay != 3*time.Second {
		t.Errorf("peak event delay %v, want 3s", eventDelay)
	}
	if cpuUsage, eventDelay := meter.takePeaks(); cpuUsage != 0 || eventDelay != 0 {
		t.Errorf("peaks %v and %v after a reset, want 0", cpuUsage, eventDelay)
	}
}
