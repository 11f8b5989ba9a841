package controller_test

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
)

// fleetWork is what all controllers do for each machine and second.
type workRates struct {
	scans     float64 // how often it is scanned
	puts      float64
	peerCalls float64
	events    float64
}

// measureWork runs a fleet under full load and counts what its controllers do.
func measureWorkRates(t *testing.T, machines int) workRates {
	t.Helper()
	const (
		controllers = 3
		warmup      = 31 * second // the counters start anew each 30 s
		measurement = 25 * second
	)
	f := newFleet(t, controllers, machines)
	// The write rate in proportion: what is counted is the work, not its limits.
	f.StateService.Limits.WriteRPS = 0
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

// sumCounters adds up what all controllers have counted.
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

// TestWorkGrowsWithFleet: a fleet eight times as large makes its controllers eight
// times the work at the most. The scans of all machines of a shard come at an
// interval of their own, so that each machine is scanned as often a second in
// either fleet; an event that began a scan by itself would have each machine
// scanned eight times as often.
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
		{"calls of other controllers", small.peerCalls, large.peerCalls},
		{"events", small.events, large.events},
	} {
		if work.small == 0 || work.large > work.small*margin {
			t.Errorf("%s for each machine and second: %.3f at 500 machines, %.3f at 4,000", work.name, work.small, work.large)
		}
	}
}
