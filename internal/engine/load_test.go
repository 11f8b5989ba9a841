package engine

import (
	"testing"
	"time"

	"stairrelay/internal/cluster"
)

// newLoadMeter returns the meter of an engine.
func newLoadMeter(t *testing.T) *loadMeter {
	t.Helper()
	engine, _ := newEngine(t)
	return &engine.load
}

// endWindow sets the present measurement back by two seconds, in which the process used
// a processor time and events were late.
func endWindow(t *testing.T, meter *loadMeter, used, lag time.Duration) {
	t.Helper()
	cpuTime, err := processCPUTime()
	if err != nil {
		t.Fatal(err)
	}
	meter.windowStart = time.Now().Add(-2 * time.Second)
	meter.windowStartCPU = cpuTime - used
	meter.worstLag = lag
}

// TestLoadReported checks that the load is reported when the process is near its share
// or late, and once when it no longer is; not more than once a second, and not while
// there is little load.
func TestLoadReported(t *testing.T) {
	meter := newLoadMeter(t)
	endWindow(t, meter, 0, 0)
	if load, shouldReport := meter.measure(); shouldReport {
		t.Errorf("little load is reported: %+v", load)
	}
	endWindow(t, meter, 190*time.Millisecond, 0) // 0.095 of a core of 0.1
	if load, shouldReport := meter.measure(); !shouldReport || load.CPUUsage < 0.9 || load.CPUUsage > 1.5 {
		t.Errorf("near the share: %+v, reported %v", load, shouldReport)
	}
	if _, shouldReport := meter.measure(); shouldReport {
		t.Error("reported again within a second")
	}
	endWindow(t, meter, 0, 0)
	if load, shouldReport := meter.measure(); !shouldReport || load.CPUUsage > 0.5 {
		t.Errorf("no longer busy: %+v, reported %v", load, shouldReport)
	}
	endWindow(t, meter, 0, time.Second)
	if load, shouldReport := meter.measure(); !shouldReport || load.EventDelay != cluster.Time(time.Second) {
		t.Errorf("a second late: %+v, reported %v", load, shouldReport)
	}
}

// TestPeaks checks that the largest values are kept until they are taken.
func TestPeaks(t *testing.T) {
	meter := newLoadMeter(t)
	for _, lag := range []time.Duration{time.Second, 3 * time.Second, 2 * time.Second} {
		endWindow(t, meter, 0, lag)
		meter.measure()
	}
	if _, lag := meter.takePeaks(); lag != 3*time.Second {
		t.Errorf("peak lag %v, want 3s", lag)
	}
	if busy, lag := meter.takePeaks(); busy != 0 || lag != 0 {
		t.Errorf("peaks %v and %v after they were taken, want 0", busy, lag)
	}
}
