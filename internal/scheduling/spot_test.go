package scheduling

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// TestSpotPreference checks that only jobs with a high expected loss or a tight objective
// prefer on-demand machines, and that jobs with checkpoints then prefer spot machines.
func TestSpotPreference(t *testing.T) {
	f := newFixture()
	f.spotInterruptionRate = 11.0 / 23_600 // nearly two interruptions per hour
	shard, spot, onDemand := f.shard, true, false
	jobWith := func(runSeconds, checkpointSeconds float64) *state.Job {
		return &state.Job{Spec: cluster.JobSpec{Spot: true, RuntimeSeconds: runSeconds, CheckpointIntervalSeconds: checkpointSeconds, ImageGB: 1.5, Class: "c"}}
	}
	isPreferred := f.Spot.IsPreferredMarket
	short, long, checkpointing := jobWith(15, 0), jobWith(60, 0), jobWith(60, 30)
	if !isPreferred(shard, long, onDemand) || isPreferred(shard, long, spot) {
		t.Error("a job with tasks of 60 s and no checkpoints prefers a spot machine")
	}
	if isPreferred(shard, short, onDemand) != isPreferred(shard, short, spot) || isPreferred(shard, checkpointing, onDemand) != isPreferred(shard, checkpointing, spot) {
		t.Error("a job with a low expected loss has a preferred market")
	}
	f.config.SLOs = []cluster.SLO{{Kind: "deadline", Class: "tight", DeadlineFactor: 1}, {Kind: "finished", Class: "c", WithinSeconds: 80}}
	f.Configure(f.config)
	tight := jobWith(15, 0)
	tight.Spec.Tasks = 20
	fewTasks := jobWith(15, 0)
	fewTasks.Spec.Class, fewTasks.Spec.DeadlineSeconds, fewTasks.Spec.Tasks = "tight", 40, 3
	if !isPreferred(shard, fewTasks, spot) {
		t.Error("a job with a tight deadline but only three short tasks avoids spot machines")
	}
	if tight.Spec.Class, tight.Spec.DeadlineSeconds = "tight", 40; isPreferred(shard, tight, spot) || !isPreferred(shard, short, spot) {
		t.Error("a job that would miss its deadline with a restarted task does not avoid spot machines, or a job with enough time does")
	}
	if shard.HasOnDemandPreference = true; isPreferred(shard, checkpointing, onDemand) || !isPreferred(shard, checkpointing, spot) {
		t.Error("a job that saves checkpoints does not prefer spot machines while another job needs on-demand ones")
	}
	if f.Spot.IsOnDemandWorthImageFetch(long) || !f.Spot.IsOnDemandWorthImageFetch(jobWith(150, 0)) {
		t.Error("the expected loss is not compared with the 6 s of an image fetch")
	}
}
