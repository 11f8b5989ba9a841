package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/ownership"
	"stairrelay/internal/reconcile"
	"stairrelay/internal/state"
)

// The guards of a zone that is cut off with machines and controllers in it:
// inside, a controller stops answering its machines; outside, what they may run is
// not started again.

// heartbeatReplyStatus is the status with which a heartbeat of a machine is answered.
func heartbeatReplyStatus(b *controllerHarness, machine *state.Machine) messages.ReplyStatus {
	takeEffects(b.Controller)
	b.reconciler.Heartbeats.Handle(messages.Heartbeat{Request: 1, Status: cluster.HeartbeatStatus{Machine: machine.ID, Addr: machine.Address, Incarnation: machine.Incarnation, SequenceNumber: machine.SequenceNumber + 1, FencingToken: machine.Token, PreemptionNotice: -1}})
	setTime(b.Controller, b.loop.Now()+reconcile.MaxHeartbeatHold)
	b.flush()
	for _, effect := range b.loop.Effects() {
		if answer, ok := effect.(messages.Respond); ok {
			return answer.Status
		}
	}
	return 0
}

// TestPartitionedOwnerStopsAnsweringMachines: an owner inside the zone has lost the state
// service and at least one other controller, which may have acquired its shard. It
// answers its machines for a lease where it hears nobody, so that they have a
// lease left to find their new owner in, and in any case only as long as the
// time for a cancellation allows.
func TestPartitionedOwnerStopsAnsweringMachines(t *testing.T) {
	newOwner := func() *controllerHarness {
		b := newHarnessWithKnownPeers()
		b.writeQueue.Health.MarkFailing(b.loop.Now())
		for _, peer := range b.members.Peers() {
			answerProbe(b, peer.ID(), 1)
		}
		return b
	}
	config := newOwner().config
	bound := ownership.AnswerWindow(config.CancelDeadline, config.WorkerLease)
	if bound < config.WorkerLease+2*second {
		t.Fatalf("answers for %d s: no longer than when isolated", bound/second)
	}
	for _, test := range []struct {
		name   string
		after  cluster.Time
		hears  bool // the other controller in the zone
		status messages.ReplyStatus
	}{
		{"hears nobody, within the lease", config.WorkerLease - 2*second, false, 200},
		{"hears nobody, after the lease", config.WorkerLease + second, false, 421},
		{"hears one, after the lease", config.WorkerLease + second, true, 200},
		{"hears one, too late for a cancellation", bound + second, true, 421},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newOwner()
			machine, _ := b.addRunningMachine(b.addTestJob("j-1", 1))
			setTime(b.Controller, b.loop.Now()+test.after)
			if test.hears {
				answerProbe(b, "n1", 1)
			}
			if status := heartbeatReplyStatus(b, machine); status != test.status {
				t.Errorf("a heartbeat is answered with %d, want %d", status, test.status)
			}
		})
	}
}

// TestTaskOfPartitionedZoneNotRestarted: a controller outside has acquired the shard. A
// task that the record lists on a silent machine of the zone is not started on a
// free machine outside, until the cloud has terminated the silent one and the
// record says so.
func TestTaskOfPartitionedZoneNotRestarted(t *testing.T) {
	b := newControllerHarness()
	shard := b.state.Shards[0]
	job := b.addTestJob("j-1", 1)
	task := cluster.TaskID{Job: "j-1", Index: 0}
	cut := grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: "m-1", Tasks: []grouprecord.Task{{ID: task, Attempt: 7}}}
	record := messages.KV{Key: "groups/cut", Value: grouprecord.Encode(grouprecord.Record{ShardID: 0, Machines: []grouprecord.Machine{cut}, WriteID: "b9-1"}), ModRevision: 25}
	b.store.keys[record.Key] = record
	b.inventory.ApplyRecord(record, shard)
	outside := b.inventory.AddMachine(b.state.AddGroup(shard, "outside", 26), grouprecord.Machine{ID: "m-2", Kind: grouprecord.Kind{Type: "small", Zone: "b", Spot: false}, Address: "m-2"}, 31)
	b.store.keys["groups/outside"] = messages.KV{Key: "groups/outside", Value: grouprecord.Encode(grouprecord.Record{ShardID: 0, Machines: []grouprecord.Machine{{ID: "m-2", Kind: grouprecord.Kind{Type: "small", Zone: "b", Spot: false}, Address: "m-2"}}, WriteID: "b9-2"}), ModRevision: 26}
	outside.TokenAcknowledged, outside.Incarnation, outside.SequenceNumber = true, 1, 1

	startedOutside := func() bool {
		b.scheduler.ScheduleShard(shard)
		return outside.Assignments[task] != nil
	}
	if startedOutside() {
		t.Error("started outside while the record lists it on a machine of the zone")
	}
	b.provisioner.ScaleIn.HandleTerminated(b.state.Machines["m-1"])
	if startedOutside() {
		t.Error("started outside before the record shows that the machine is gone")
	}
	b.runFor(second)
	outside.LastHeartbeat = b.loop.Now()
	if !startedOutside() || job.PendingCount() != 0 {
		t.Error("not started outside though the machine is gone and the record says so")
	}
}
