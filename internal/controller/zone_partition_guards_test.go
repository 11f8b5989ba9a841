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

// These tests cover a partitioned zone with machines and controllers in it. A controller
// inside must stop answering its machines, and a controller outside must not restart
// tasks that may still run inside.

// heartbeatResponseStatus delivers a machine's next heartbeat and returns the status of
// the response. The result is 0 if there is no response.
func heartbeatResponseStatus(h *controllerHarness, machine *state.Machine) messages.ResponseStatus {
	takeEffects(h.Controller)
	h.reconciler.Heartbeats.Handle(messages.Heartbeat{Request: 1, Status: cluster.HeartbeatStatus{Machine: machine.ID, Addr: machine.Address, Incarnation: machine.Incarnation, SequenceNumber: machine.SequenceNumber + 1, FencingToken: machine.Token, PreemptionNotice: -1}})
	setTime(h.Controller, h.loop.Now()+reconcile.MaxHeartbeatHold)
	h.flush()
	for _, effect := range h.loop.Effects() {
		if response, ok := effect.(messages.Respond); ok {
			return response.Status
		}
	}
	return 0
}

// TestPartitionedOwnerStopsAnsweringMachines checks that a partitioned owner redirects
// its machines after a worker lease, or after the response window if a peer replies.
func TestPartitionedOwnerStopsAnsweringMachines(t *testing.T) {
	newOwner := func() *controllerHarness {
		h := newHarnessWithKnownPeers()
		h.writeQueue.Health.MarkFailing(h.loop.Now())
		for _, peer := range h.members.Peers() {
			acknowledgeTerm(h, peer.ID(), 1)
		}
		return h
	}
	config := newOwner().config
	responseWindow := ownership.ResponseWindow(config.CancelDeadline, config.WorkerLease)
	if responseWindow < config.WorkerLease+2*second {
		t.Fatalf("the response window of %d s is not longer than the worker lease", responseWindow/second)
	}
	for _, test := range []struct {
		name        string
		after       cluster.Time
		peerReplies bool // whether the peer in the same zone replies
		status      messages.ResponseStatus
	}{
		{"no peer replies, within the lease", config.WorkerLease - 2*second, false, 200},
		{"no peer replies, after the lease", config.WorkerLease + second, false, 421},
		{"one peer replies, after the lease", config.WorkerLease + second, true, 200},
		{"one peer replies, after the response window", responseWindow + second, true, 421},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newOwner()
			machine, _ := h.addRunningMachine(h.addTestJob("j-1", 1))
			setTime(h.Controller, h.loop.Now()+test.after)
			if test.peerReplies {
				acknowledgeTerm(h, "n1", 1)
			}
			if status := heartbeatResponseStatus(h, machine); status != test.status {
				t.Errorf("a heartbeat is answered with %d, want %d", status, test.status)
			}
		})
	}
}

// TestTaskOfPartitionedZoneNotRestarted checks that a task on a silent machine is not
// restarted before the cloud has terminated the machine and a stored record shows that.
func TestTaskOfPartitionedZoneNotRestarted(t *testing.T) {
	h := newControllerHarness()
	shard := h.state.Shards[0]
	job := h.addTestJob("j-1", 1)
	task := cluster.TaskID{Job: "j-1", Index: 0}
	partitioned := grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: "m-1", Tasks: []grouprecord.Task{{ID: task, Attempt: 7}}}
	record := messages.KV{Key: "groups/cut", Value: grouprecord.Encode(grouprecord.Record{ShardID: 0, Machines: []grouprecord.Machine{partitioned}, WriteID: "b9-1"}), ModRevision: 25}
	h.store.keys[record.Key] = record
	h.inventory.ApplyRecord(record, shard)
	outside := h.inventory.AddMachine(h.state.AddGroup(shard, "outside", 26), grouprecord.Machine{ID: "m-2", Kind: grouprecord.Kind{Type: "small", Zone: "b", Spot: false}, Address: "m-2"}, 31)
	h.store.keys["groups/outside"] = messages.KV{Key: "groups/outside", Value: grouprecord.Encode(grouprecord.Record{ShardID: 0, Machines: []grouprecord.Machine{{ID: "m-2", Kind: grouprecord.Kind{Type: "small", Zone: "b", Spot: false}, Address: "m-2"}}, WriteID: "b9-2"}), ModRevision: 26}
	outside.TokenAcknowledged, outside.Incarnation, outside.SequenceNumber = true, 1, 1

	startedOutside := func() bool {
		h.scheduler.ScheduleShard(shard)
		return outside.Assignments[task] != nil
	}
	if startedOutside() {
		t.Error("the task was started outside while the record lists it on a machine of the zone")
	}
	h.provisioner.ScaleIn.HandleTerminated(h.state.Machines["m-1"])
	if startedOutside() {
		t.Error("the task was started outside before the record shows that the machine is gone")
	}
	h.runFor(second)
	outside.LastHeartbeat = h.loop.Now()
	if !startedOutside() || job.PendingCount() != 0 {
		t.Error("the task was not started outside although the record shows that the machine is gone")
	}
}
