package controller_test

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
)

// workRates is the work of all controllers per machine and second.
type workRates struct {
	scans     float64 // number of times a machine is visited by a scan
	puts      float64
	peerCalls float64
	events    float64
}

// measureWorkRates runs a fleet under full load and returns its controllers' work.
func measureWorkRates(t *testing.T, machines int) workRates {
	t.Helper()
	const (
		controllers = 3
		warmup      = 31 * second // the counters are reset every 30 s
		measurement = 25 * second
	)
	f := newFleet(t, controllers, machines)
	// The store doesn't limit the write rate, so that the test measures the work and not
	// the throttling.
	f.Store.Limits.WriteRPS = 0
	f.waitForAllOwned(20 * second)
	f.submitLoad(4*machines, 20*second)
	f.RunUntil(warmup)
	before, steps := f.sumCounters(), f.StepCount
	f.RunUntil(warmup + measurement)
	after := f.sumCounters()
	if len(f.Violations) > 0 {
		t.Fatal(f.Violations)
	}
	perMachineSecond := func(count int) float64 {
		return float64(count) / float64(machines) / cluster.Time(measurement).Seconds()
	}
	return workRates{
		scans:     perMachineSecond(after.MachineScans - before.MachineScans),
		puts:      perMachineSecond(after.Puts - before.Puts),
		peerCalls: perMachineSecond(after.PeerCalls - before.PeerCalls),
		events:    perMachineSecond(f.StepCount - steps),
	}
}

func (f *fleet) sumCounters() controller.WorkCounts {
	var sum controller.WorkCounts
	for _, c := range f.Controllers() {
		counts := c.WorkCounts()
		sum.MachineScans += counts.MachineScans
		sum.Puts += counts.Puts
		sum.PeerCalls += counts.PeerCalls
	}
	return sum
}

// TestWorkScalesLinearly checks that the controllers' work per machine doesn't grow with
// the fleet, as it would if an event triggered a scan of all machines.
func TestWorkScalesLinearly(t *testing.T) {
	small, large := measureWorkRates(t, 500), measureWorkRates(t, 4000)
	t.Logf("500 machines: %+v", small)
	t.Logf("4,000 machines: %+v", large)
	const margin = 1.25
	for _, work := range []struct {
		name         string
		small, large float64
	}{
		{"scans", small.scans, large.scans},
		{"puts", small.puts, large.puts},
		{"peer calls", small.peerCalls, large.peerCalls},
		{"events", small.events, large.events},
	} {
		if work.small == 0 || work.large > work.small*margin {
			t.Errorf("%s per machine and second: %.3f with 500 machines, %.3f with 4,000", work.name, work.small, work.large)
		}
	}
}
