package jobs

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// testJobs runs the package in controller n0 of two. Shard 0 with team red is owned by
// n0, shard 1 with team green by n1.
type testJobs struct {
	*Jobs
	tb        testing.TB
	loop      *eventloop.Loop
	state     *state.State
	scheduler *fakeScheduler
	tasks     *fakeTasks
}

// fakeOwnership reports a shard as owned if the state does, and ignores HandleDeposed.
type fakeOwnership struct{ state *state.State }

func (f fakeOwnership) ClaimOf(id cluster.ShardID) writequeue.Claim {
	return writequeue.Claim{Key: f.state.Shards[id].Key(), Owned: f.state.Shards[id].Owned}
}
func (fakeOwnership) HandleDeposed(cluster.ShardID)             {}
func (fakeOwnership) HandleStored(writequeue.StoredTransaction) {}

func (fakeOwnership) ConfirmOwnership(shard *state.Shard, handle func(owned bool)) {
	handle(shard.Owned)
}
func (fakeOwnership) DropCorruptShard(shard *state.Shard, _, _ string) { shard.Owned = false }

// fakeTasks records the jobs whose tasks were stopped.
type fakeTasks struct{ stopped []cluster.JobID }

func (*fakeTasks) WithdrawUnsentStarts(*state.Job)                    {}
func (f *fakeTasks) StopAll(job *state.Job)                           { f.stopped = append(f.stopped, job.Spec.ID) }
func (*fakeTasks) RemoveAssignment(*state.Machine, *state.Assignment) {}

// fakeScheduler counts the requests to schedule and for run time ratios.
type fakeScheduler struct{ schedulingRequests, ratioRequests int }

func (f *fakeScheduler) RequestScheduling() { f.schedulingRequests++ }
func (*fakeScheduler) RequestScaleOut()     {}
func (f *fakeScheduler) RuntimeRatio(string) float64 {
	f.ratioRequests++
	return 1
}

func newTestJobs(tb testing.TB) *testJobs {
	tb.Helper()
	nodes := []cluster.NodeID{"n0", "n1"}
	loop := eventloop.New()
	loop.Begin(100*second, 0)
	quota := cluster.Resources{CPU: 10_000_000}
	clusterState := state.New(nodes, []cluster.Team{{Name: "red", QuotaLimit: quota}, {Name: "green", QuotaLimit: quota}})
	clusterState.Teams["red"].ShardID, clusterState.Teams["green"].ShardID = 0, 1
	clusterState.Shards[0].Owned, clusterState.Shards[0].Ready, clusterState.Shards[0].Owner = true, true, "n0"
	clusterState.Shards[1].Owner = "n1"
	clusterState.MachineTypes["small"] = cluster.MachineType{
		Name:     "small",
		Capacity: cluster.Resources{CPU: 4_000_000, Memory: 16_000_000},
		Zones:    []string{"a"},
	}
	ownership := fakeOwnership{state: clusterState}
	queue := writequeue.New(loop, writequeue.Config{
		InstanceID:    "b0",
		RequestRPS:    1000,
		WriteRPS:      1000,
		BudgetShare:   1,
		MaxTxnOps:     4,
		Controllers:   len(nodes),
		ShareByDemand: func(limit, _ float64, _ int) float64 { return limit },
	}, ownership)
	tasks, scheduler := &fakeTasks{}, &fakeScheduler{}
	config := Config{Self: "n0", Nodes: nodes, InstanceID: "b0", MaxValueBytes: 4096, MaxTxnOps: 4, CheckpointInterval: second}
	return &testJobs{
		tb:        tb,
		loop:      loop,
		state:     clusterState,
		scheduler: scheduler,
		tasks:     tasks,
		Jobs: New(loop, clusterState, queue, config, Collaborators{
			Members:   membership.New(loop, membership.Config{Self: "n0", Nodes: nodes}, queue, nil, nil),
			Process:   &membership.ProcessHealth{},
			Ownership: ownership,
			Tasks:     tasks,
			Scheduler: scheduler,
		}),
	}
}

// apply applies a job's record.
func (j *testJobs) apply(id cluster.JobID, record Record) {
	j.tb.Helper()
	j.Records.Apply(messages.KV{Key: state.JobKey(id), Value: record.encode(), ModRevision: 20}, nil)
}

// applySpec applies the record of an unfinished job.
func (j *testJobs) applySpec(id cluster.JobID, team string, dependencies ...cluster.JobID) {
	j.tb.Helper()
	j.apply(id, Record{Spec: &cluster.JobSpec{Team: team, Tasks: 1, Dependencies: dependencies}})
}

// runFor advances the time, runs the timers that are due and returns the effects.
func (j *testJobs) runFor(duration cluster.Time) []messages.Effect {
	j.tb.Helper()
	j.loop.Begin(j.loop.Now()+duration, 0)
	j.loop.RunTimers()
	return j.loop.Effects()
}

// noticesTo returns the keys of the records that were sent to a controller.
func noticesTo(node cluster.NodeID, effects []messages.Effect) []string {
	var keys []string
	for _, effect := range effects {
		call, ok := effect.(messages.PeerCall)
		if !ok || call.To != node || call.Message.Notice == nil {
			continue
		}
		for _, kv := range call.Message.Notice.Items {
			keys = append(keys, kv.Key)
		}
	}
	return keys
}
