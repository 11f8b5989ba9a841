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
	shard, spot, onDemand := f.shard, true, false
	jobWith := func(runSeconds, checkpointSeconds float64) *state.Job {
		return &state.Job{Spec: cluster.JobSpec{Spot: true, RuntimeSeconds: runSeconds, CheckpointSeconds: checkpointSeconds, ImageGB: 1.5, Class: "c"}}
	}
	isPreferred := f.Spot.IsPreferredMarket
	short, long, checkpointing := jobWith(15, 0), jobWith(60, 0), jobWith(60, 30)
	if !isPreferred(shard, long, onDemand) || isPreferred(shard, long, spot) {
		t.Error("60 s that can't be saved are sent to a spot machine")
	}
	if isPreferred(shard, short, onDemand) != isPreferred(shard, short, spot) || isPreferred(shard, checkpointing, onDemand) != isPreferred(shard, checkpointing, spot) {
		t.Error("the kind of machine matters where no loss is to be expected")
	}
	f.config.SLOs = []cluster.SLO{{Kind: "deadline", Class: "tight", DeadlineFactor: 1}, {Kind: "finished", Class: "c", WithinSeconds: 80}}
	f.Configure(f.config)
	tight := jobWith(15, 0)
	tight.Spec.Tasks = 20
	fewTasks := jobWith(15, 0)
	fewTasks.Spec.Class, fewTasks.Spec.DeadlineSeconds, fewTasks.Spec.Tasks = "tight", 40, 3
	if !isPreferred(shard, fewTasks, spot) {
		t.Error("three short tasks, of which hardly ever one is lost, are scattered over on-demand machines")
	}
	if tight.Spec.Class, tight.Spec.DeadlineSeconds = "tight", 40; isPreferred(shard, tight, spot) || !isPreferred(shard, short, spot) {
		t.Error("a job that could not make its deadline with a restarted task goes to spot machines, or one with time to spare does not")
	}
	if shard.AvoidSpot = true; isPreferred(shard, checkpointing, onDemand) || !isPreferred(shard, checkpointing, spot) {
		t.Error("a job that saves checkpoints does not leave the on-demand machine to others")
	}
	if f.Spot.IsOnDemandWorthImageFetch(long) || !f.Spot.IsOnDemandWorthImageFetch(jobWith(150, 0)) {
		t.Error("a new fetch of 6 s is not weighed against the expected loss")
	}
}
