package controller

import (
	"fmt"
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// These tests cover a shard that changes owners many times within minutes.

const successiveOwners = 10

// deposeOwner makes another controller acquire shard 0 and delivers its claim to the
// controller under test.
func deposeOwner(t *testing.T, h *controllerHarness) {
	t.Helper()
	shard := h.state.Shards[0]
	h.store.revision++
	claim := messages.KV{Key: shard.Key(), Value: fmt.Appendf(nil, `{"holder":"n1","term":%d,"w":"b1-%d"}`, shard.Term+1, h.store.revision), ModRevision: cluster.ModRevision(h.store.revision)}
	h.store.keys[shard.Key()] = claim
	h.ownership.ApplyClaim(claim)
	if shard.Owned {
		t.Fatal("the shard is still owned after another's claim")
	}
}

// acquireAndLoadShard makes the controller under test acquire shard 0 and read its
// records.
func acquireAndLoadShard(t *testing.T, h *controllerHarness) {
	t.Helper()
	shard := h.state.Shards[0]
	h.ownership.Acquire(shard)
	h.runFor(200 * millisecond)
	if !shard.Owned || !shard.Ready {
		t.Fatalf("owned %v, ready %v after the acquisition", shard.Owned, shard.Ready)
	}
}

// delayNextWrite takes the queued write from the controller, reports its outcome as
// unknown, and returns the write, which the caller may apply later.
func delayNextWrite(t *testing.T, h *controllerHarness) messages.StoreTxn {
	t.Helper()
	h.writeQueue.Dispatch()
	effects := takeEffects(h.Controller)
	for i, effect := range effects {
		if write, ok := effect.(messages.StoreTxn); ok {
			for _, other := range slices.Delete(effects, i, i+1) {
				h.loop.Emit(other)
			}
			h.loop.Deliver(messages.Reply{Call: write.Call, Body: messages.TxnReply{Outcome: messages.UnknownOutcome}})
			return write
		}
	}
	t.Fatal("nothing was written")
	return messages.StoreTxn{}
}

// statusUnderToken returns a heartbeat status of the machine's current incarnation
// under its current fencing token. The status lists the given tasks, and applying it
// confirms that all other tasks are absent from the machine.
func statusUnderToken(machine *state.Machine, sequence cluster.SequenceNumber, tasks ...cluster.TaskStatus) *cluster.HeartbeatStatus {
	return &cluster.HeartbeatStatus{Machine: machine.ID, Addr: machine.Address, Incarnation: machine.Incarnation, SequenceNumber: sequence, FencingToken: machine.Token, PreemptionNotice: -1, Tasks: tasks}
}

// TestEachOwnerRaisesToken checks that each owner has a higher term and token than the one
// before, and that a heartbeat under an earlier token doesn't confirm that a task is gone.
func TestEachOwnerRaisesToken(t *testing.T) {
	h := newControllerHarness()
	shard := h.state.Shards[0]
	const request = cluster.Amount(3_000_000)
	h.store.keys["jobs/j-1"] = messages.KV{Key: "jobs/j-1", Value: fmt.Appendf(nil, `{"st":"cancelled","tm":"red","n":1,"r":{"CPU":%d,"GPU":0,"Mem":1},"w":"b9-1"}`, request), ModRevision: 20}
	listed := grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: "m-1", Tasks: []grouprecord.Task{{ID: cluster.TaskID{Job: "j-1", Index: 0}, Attempt: 7}}}
	h.store.keys["groups/g"] = messages.KV{Key: "groups/g", Value: grouprecord.Encode(grouprecord.Record{ShardID: 0, Machines: []grouprecord.Machine{listed}, WriteID: "b9-2"}), ModRevision: 25}

	earlierToken := cluster.FencingToken(25)
	for range successiveOwners {
		deposeOwner(t, h)
		earlierTerm := shard.Term
		acquireAndLoadShard(t, h)
		machine := h.state.Machines["m-1"]
		if machine.Token <= earlierToken || shard.Term <= earlierTerm {
			t.Errorf("token %d and term %d are not higher than the earlier %d and %d", machine.Token, shard.Term, earlierToken, earlierTerm)
		}
		machine.Incarnation = 1
		status := statusUnderToken(machine, 1)
		status.FencingToken = earlierToken
		h.reconciler.ApplyStatus(machine, status, false)
		if usage := shard.UsageByTeam()["red"].CPU; usage != request {
			t.Errorf("after a heartbeat under token %d, with %d in force, the team uses %d, want %d", earlierToken, machine.Token, usage, request)
		}
		earlierToken = machine.Token
	}
	machine := h.state.Machines["m-1"]
	h.reconciler.ApplyStatus(machine, statusUnderToken(machine, 2), false)
	if usage := shard.UsageByTeam()["red"].CPU; usage != 0 {
		t.Errorf("after a heartbeat under the token in force the team uses %d, want 0", usage)
	}
}

// TestLateWritesOfDeposedOwnersRejected checks that neither a delayed write of a deposed
// owner nor its retry is applied, because their claim is no longer in force.
func TestLateWritesOfDeposedOwnersRejected(t *testing.T) {
	h := newControllerHarness()
	shard := h.state.Shards[0]
	var delayed []messages.StoreTxn
	for owner := range successiveOwners {
		id := cluster.MachineID(fmt.Sprintf("m-%d", 3*owner)) // these IDs map to shard 0
		h.inventory.RegisterMachines(shard, []grouprecord.Machine{{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: string(id)}}, func() {})
		delayed = append(delayed, delayNextWrite(t, h))
		deposeOwner(t, h)
		acquireAndLoadShard(t, h)
	}
	for i, write := range delayed {
		key := write.Then[0].Key
		if h.store.get(key).Outcome != messages.NotFound {
			t.Errorf("the retry of owner %d was applied under a later claim: %s", i, key)
		} else if h.store.commit(write).Outcome != messages.Conflict {
			t.Errorf("the late write of owner %d was applied: %s", i, key)
		}
	}
}

// makePeerUnreachable makes a peer reply to one ping and fail all further calls until
// it counts as unreachable, while the other peers reply to all pings.
func (h *controllerHarness) makePeerUnreachable(t *testing.T, unreachable cluster.NodeID) {
	t.Helper()
	dropTimers(h.Controller) // so that only pings are sent
	ping := &messages.Ping{StoreReachable: true, WorkersReachable: true}
	h.members.HandlePingReply(h.members.Peer(unreachable), ping, h.loop.Now())
	h.members.Start()
	for end := h.loop.Now() + 20*second; !h.members.Peer(unreachable).IsUnreachable(); setTime(h.Controller, h.loop.Now()+100*millisecond) {
		if h.loop.Now() > end {
			t.Fatalf("%s still counts as reachable", unreachable)
		}
		h.loop.RunTimers()
		for _, effect := range takeEffects(h.Controller) {
			call, ok := effect.(messages.PeerCall)
			if !ok {
				continue
			}
			reply := messages.PeerReply{Outcome: messages.OK, Message: messages.PeerMessage{Ping: ping}}
			if call.To == unreachable {
				reply = messages.PeerReply{Outcome: messages.NotApplied}
			}
			h.loop.Deliver(messages.Reply{Call: call.Call, Body: reply})
		}
	}
}

// TestNoAcquireDuringOutage checks that no shard is acquired during a store outage. The
// write could be applied after the outage and depose an owner that has recovered.
func TestNoAcquireDuringOutage(t *testing.T) {
	for _, outage := range []bool{false, true} {
		h := newControllerHarness()
		h.makePeerUnreachable(t, "n2")
		setTime(h.Controller, h.loop.Now()+second)
		shard := h.state.Shards[1]
		shard.Owned, shard.Ready, shard.RecordRead, shard.Owner, shard.PreferredOwner = false, false, true, "n2", "n2"
		h.writeQueue.Health.LastSuccess, h.writeQueue.Health.HealthySince = h.loop.Now(), second
		if outage {
			h.writeQueue.Health.MarkFailing(h.loop.Now() - 2*second)
		}
		h.ownership.AcquireIfEligible(shard)
		if shard.Acquiring == outage {
			t.Errorf("outage %v: acquiring %v", outage, shard.Acquiring)
		}
	}
}
