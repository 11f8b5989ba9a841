package scheduling

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// TestSpotPreference checks that of two machines that are equal otherwise, a job that
// would lose much on a spot machine gets the on-demand one, and one that saves
// checkpoints leaves it that; where no great loss is to be expected the market does
// not matter.
func TestSpotPreference(t *testing.T) {
	f := newFixture()
	f.spotInterruptionRate = 11.0 / 23_600 // nearly two an hour
	p, spot, onDemand := f.shard, true, false
	jobWith := func(run, checkpoint float64) *state.Job {
		return &state.Job{Spec: cluster.JobSpec{Spot: true, RuntimeSeconds: run, CheckpointIntervalSeconds: checkpoint, ImageGB: 1.5, Class: "c"}}
	}
	isSuited := f.Spot.IsMarketSuited
	short, long, saves := jobWith(15, 0), jobWith(60, 0), jobWith(60, 30)
	if !isSuited(p, long, onDemand) || isSuited(p, long, spot) {
		t.Error("60 s that can't be saved are sent to a spot machine")
	}
	if isSuited(p, short, onDemand) != isSuited(p, short, spot) || isSuited(p, saves, onDemand) != isSuited(p, saves, spot) {
		t.Error("the kind of machine matters where no loss is to be expected")
	}
	f.config.SLOs = []cluster.SLO{{Kind: "deadline", Class: "tight", DeadlineFactor: 1}, {Kind: "finished", Class: "c", WithinSeconds: 80}}
	f.Configure(f.config)
	due := jobWith(15, 0)
	due.Spec.Tasks = 20
	few := jobWith(15, 0)
	few.Spec.Class, few.Spec.DeadlineSeconds, few.Spec.Tasks = "tight", 40, 3
	if !isSuited(p, few, spot) {
		t.Error("three short tasks, of which hardly ever one is lost, are scattered over on-demand machines")
	}
	if due.Spec.Class, due.Spec.DeadlineSeconds = "tight", 40; isSuited(p, due, spot) || !isSuited(p, short, spot) {
		t.Error("a job that could not make its deadline with a restarted task goes to spot machines, or one with time to spare does not")
	}
	if p.AvoidSpot = true; isSuited(p, saves, onDemand) || !isSuited(p, saves, spot) {
		t.Error("a job that saves checkpoints does not leave the on-demand machine to others")
	}
	if f.Spot.IsOnDemandWorthFetching(long) || !f.Spot.IsOnDemandWorthFetching(jobWith(150, 0)) {
		t.Error("a new fetch of 6 s is not weighed against the expected loss")
	}
}
