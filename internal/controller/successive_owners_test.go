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

// A shard that changes owners many times within minutes.

const successiveOwners = 10

// deposeOwner lets another controller acquire shard 0, which the one under test
// learns of by its watch.
func deposeOwner(t *testing.T, b *controllerHarness) {
	t.Helper()
	shard := b.state.Shards[0]
	b.store.revision++
	claim := messages.KV{Key: shard.Key(), Value: fmt.Appendf(nil, `{"holder":"n1","term":%d,"w":"b1-%d"}`, shard.Term+1, b.store.revision), ModRevision: cluster.ModRevision(b.store.revision)}
	b.store.keys[shard.Key()] = claim
	b.ownership.ApplyClaim(claim)
	if shard.Owned {
		t.Fatal("the shard is still owned after another's claim")
	}
}

// acquireAndLoadShard lets the controller under test acquire shard 0 and read its records.
func acquireAndLoadShard(t *testing.T, b *controllerHarness) {
	t.Helper()
	shard := b.state.Shards[0]
	b.ownership.Acquire(shard)
	b.runFor(200 * millisecond)
	if !shard.Owned || !shard.Ready {
		t.Fatalf("owned %v, ready %v after the acquire", shard.Owned, shard.Ready)
	}
}

// loseNextWriteReply sends the write that is queued and lets it be held up on its way:
// its sender gets no answer.
func loseNextWriteReply(t *testing.T, b *controllerHarness) messages.StoreTxn {
	t.Helper()
	b.writeQueue.Dispatch()
	effects := takeEffects(b.Controller)
	for i, effect := range effects {
		if write, ok := effect.(messages.StoreTxn); ok {
			for _, other := range slices.Delete(effects, i, i+1) {
				b.loop.Emit(other)
			}
			b.loop.Deliver(messages.Reply{Call: write.Call, Body: messages.TxnReply{Outcome: messages.UnknownOutcome}})
			return write
		}
	}
	t.Fatal("nothing was written")
	return messages.StoreTxn{}
}

// statusUnderToken is a heartbeat's status of the machine's present incarnation under
// its present fencing token, which confirms absent what it does not list.
func statusUnderToken(machine *state.Machine, sequence cluster.SequenceNumber, tasks ...cluster.TaskStatus) *cluster.HeartbeatStatus {
	return &cluster.HeartbeatStatus{Machine: machine.ID, Addr: machine.Address, Incarnation: machine.Incarnation, SequenceNumber: sequence, FencingToken: machine.Token, PreemptionNotice: -1, Tasks: tasks}
}

// TestEachOwnerRaisesToken: ten owners follow one another, and none changes the
// record of a machine that lists a task of a cancelled job. Each has a higher
// term and fencing token than all before it, so heartbeats under an earlier owner's
// token, which lack the task, never confirm it absent: an earlier owner's start of it
// may still be on its way.
func TestEachOwnerRaisesToken(t *testing.T) {
	b := newControllerHarness()
	shard := b.state.Shards[0]
	const request = cluster.Amount(3_000_000)
	b.store.keys["jobs/j-1"] = messages.KV{Key: "jobs/j-1", Value: fmt.Appendf(nil, `{"st":"cancelled","tm":"red","n":1,"r":{"CPU":%d,"GPU":0,"Mem":1},"w":"b9-1"}`, request), ModRevision: 20}
	listed := grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: "m-1", Tasks: []grouprecord.Task{{ID: cluster.TaskID{Job: "j-1", Index: 0}, Attempt: 7}}}
	b.store.keys["groups/g"] = messages.KV{Key: "groups/g", Value: grouprecord.Encode(grouprecord.Record{ShardID: 0, Machines: []grouprecord.Machine{listed}, WriteID: "b9-2"}), ModRevision: 25}

	earlierToken := cluster.FencingToken(25)
	for range successiveOwners {
		deposeOwner(t, b)
		earlierTerm := shard.Term
		acquireAndLoadShard(t, b)
		machine := b.state.Machines["m-1"]
		if machine.Token <= earlierToken || shard.Term <= earlierTerm {
			t.Errorf("token %d and term %d after %d and %d: not higher", machine.Token, shard.Term, earlierToken, earlierTerm)
		}
		machine.Incarnation = 1
		status := statusUnderToken(machine, 1)
		status.FencingToken = earlierToken
		b.reconciler.ApplyStatus(machine, status, false)
		if usage := shard.UsageByTeam()["red"].CPU; usage != request {
			t.Errorf("after a heartbeat under token %d, with %d in force, the team uses %d, want %d", earlierToken, machine.Token, usage, request)
		}
		earlierToken = machine.Token
	}
	machine := b.state.Machines["m-1"]
	b.reconciler.ApplyStatus(machine, statusUnderToken(machine, 2), false)
	if usage := shard.UsageByTeam()["red"].CPU; usage != 0 {
		t.Errorf("after a heartbeat under the token in force the team uses %d, want 0", usage)
	}
}

// TestLateWritesOfDeposedOwnersRejected: ten owners follow one another, and each sends
// a write that is held up on its way and repeats it, not knowing that it was deposed.
// Neither is carried out: the claim that both are conditional on is not in force any
// more.
func TestLateWritesOfDeposedOwnersRejected(t *testing.T) {
	b := newControllerHarness()
	shard := b.state.Shards[0]
	var heldUp []messages.StoreTxn
	for owner := range successiveOwners {
		id := cluster.MachineID(fmt.Sprintf("m-%d", 3*owner)) // numbers of shard 0
		b.inventory.RegisterMachines(shard, []grouprecord.Machine{{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: string(id)}}, func() {})
		heldUp = append(heldUp, loseNextWriteReply(t, b))
		deposeOwner(t, b)
		acquireAndLoadShard(t, b)
	}
	for i, write := range heldUp {
		key := write.Then[0].Key
		if b.store.get(key).Outcome != messages.NotFound {
			t.Errorf("owner %d repeated its write under a later claim: %s", i, key)
		} else if b.store.commit(write).Outcome != messages.Conflict {
			t.Errorf("the late write of owner %d was carried out: %s", i, key)
		}
	}
}

// loseContact lets a peer answer one ping and no more until it is unreachable, while
// the others answer all.
func (b *controllerHarness) loseContact(t *testing.T, lost cluster.NodeID) {
	t.Helper()
	dropTimers(b.Controller) // only pings are sent
	ping := &messages.Ping{StoreReachable: true, WorkersReachable: true}
	b.members.HandlePingReply(b.members.Peer(lost), ping, b.loop.Now())
	b.members.Start()
	for end := b.loop.Now() + 20*second; !b.members.Peer(lost).IsUnreachable(); setTime(b.Controller, b.loop.Now()+100*millisecond) {
		if b.loop.Now() > end {
			t.Fatalf("%s is still reachable", lost)
		}
		b.loop.RunTimers()
		for _, effect := range takeEffects(b.Controller) {
			call, ok := effect.(messages.PeerCall)
			if !ok {
				continue
			}
			reply := messages.PeerReply{Outcome: messages.OK, Message: messages.PeerMessage{Ping: ping}}
			if call.To == lost {
				reply = messages.PeerReply{Outcome: messages.NotApplied}
			}
			b.loop.Deliver(messages.Reply{Call: call.Call, Body: reply})
		}
	}
}

// TestNoAcquireDuringOutage: the owner of a shard has failed, and so has the state
// service: nothing is acquired. An acquire that waited for the end of the outage would
// then depose an owner that is back.
func TestNoAcquireDuringOutage(t *testing.T) {
	for _, outage := range []bool{false, true} {
		b := newControllerHarness()
		b.loseContact(t, "n2")
		setTime(b.Controller, b.loop.Now()+second)
		shard := b.state.Shards[1]
		shard.Owned, shard.Ready, shard.RecordRead, shard.Owner, shard.PreferredOwner = false, false, true, "n2", "n2"
		b.writeQueue.Health.LastSuccess, b.writeQueue.Health.HealthySince = b.loop.Now(), second
		if outage {
			b.writeQueue.Health.MarkFailing(b.loop.Now() - 2*second)
		}
		b.ownership.AcquireIfEligible(shard)
		if shard.Acquiring == outage {
			t.Errorf("outage %v: acquires %v", outage, shard.Acquiring)
		}
	}
}
