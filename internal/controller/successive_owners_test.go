package controller

import (
	"fmt"
	"slices"
	"testing"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"

	"stairrelay/internal/grouprecord"
)

// A part that changes hands many times within minutes.

const successiveOwners = 10

// deposeOwner lets another controller claim part 0, which the one under test
// learns of by its watch.
func deposeOwner(t *testing.T, b *controllerHarness) {
	t.Helper()
	part := b.state.Shards[0]
	b.store.revision++
	claim := messages.KV{Key: part.Key(), Value: fmt.Appendf(nil, `{"holder":"n1","term":%d,"w":"b1-%d"}`, part.Term+1, b.store.revision), ModRevision: cluster.ModRevision(b.store.revision)}
	b.store.keys[part.Key()] = claim
	b.ownership.ApplyClaim(claim)
	if part.Owned {
		t.Fatal("the part is still held after another's claim")
	}
}

// acquireAndLoadShard lets the controller under test claim part 0 and read its records.
func acquireAndLoadShard(t *testing.T, b *controllerHarness) {
	t.Helper()
	part := b.state.Shards[0]
	b.ownership.Acquire(part)
	b.runFor(200 * millisecond)
	if !part.Owned || !part.Ready {
		t.Fatalf("held %v, ready %v after the claim", part.Owned, part.Ready)
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

// statusUnderToken is a report of the machine's present session under its
// present token, which is proof of what it does not show.
func statusUnderToken(m *state.Machine, stamp cluster.SequenceNumber, tasks ...cluster.TaskStatus) *cluster.HeartbeatStatus {
	return &cluster.HeartbeatStatus{Machine: m.ID, Addr: m.Address, Incarnation: m.Incarnation, SequenceNumber: stamp, FencingToken: m.Token, PreemptionNotice: -1, Tasks: tasks}
}

// TestEachOwnerRaisesToken: ten holders follow one another, and none changes the
// record of a machine that lists a task of a cancelled job. Each has a higher
// term and token than all before it, so reports under an earlier holder's token,
// which lack the task, never prove it gone: an earlier holder's start of it may
// still be on its way.
func TestEachOwnerRaisesToken(t *testing.T) {
	b := newControllerHarness()
	part := b.state.Shards[0]
	const need = cluster.Amount(3_000_000)
	b.store.keys["jobs/j-1"] = messages.KV{Key: "jobs/j-1", Value: fmt.Appendf(nil, `{"st":"cancelled","tm":"red","n":1,"r":{"CPU":%d,"GPU":0,"Mem":1},"w":"b9-1"}`, need), ModRevision: 20}
	listed := grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: "m-1", Tasks: []grouprecord.Task{{ID: cluster.TaskID{Job: "j-1", Index: 0}, Attempt: 7}}}
	b.store.keys["groups/g"] = messages.KV{Key: "groups/g", Value: grouprecord.Encode(grouprecord.Record{ShardID: 0, Machines: []grouprecord.Machine{listed}, WriteID: "b9-2"}), ModRevision: 25}

	earlierToken := cluster.FencingToken(25)
	for range successiveOwners {
		deposeOwner(t, b)
		earlierTerm := part.Term
		acquireAndLoadShard(t, b)
		m := b.state.Machines["m-1"]
		if m.Token <= earlierToken || part.Term <= earlierTerm {
			t.Errorf("token %d and term %d after %d and %d: not higher", m.Token, part.Term, earlierToken, earlierTerm)
		}
		m.Incarnation = 1
		report := statusUnderToken(m, 1)
		report.FencingToken = earlierToken
		b.reconciler.ApplyStatus(m, report, false)
		if use := part.UsageByTeam()["red"].CPU; use != need {
			t.Errorf("after a report under token %d, with %d in force, the team uses %d, want %d", earlierToken, m.Token, use, need)
		}
		earlierToken = m.Token
	}
	m := b.state.Machines["m-1"]
	b.reconciler.ApplyStatus(m, statusUnderToken(m, 2), false)
	if use := part.UsageByTeam()["red"].CPU; use != 0 {
		t.Errorf("after a report under the token in force the team uses %d, want 0", use)
	}
}

// TestLateWritesOfDeposedOwnersRejected: ten holders follow one another, and each sends
// a write that is held up on its way and repeats it, not knowing that it has been
// succeeded. Neither is carried out: the claim that both are conditional on is
// not in force any more.
func TestLateWritesOfDeposedOwnersRejected(t *testing.T) {
	b := newControllerHarness()
	part := b.state.Shards[0]
	var heldUp []messages.StoreTxn
	for holder := range successiveOwners {
		id := cluster.MachineID(fmt.Sprintf("m-%d", 3*holder)) // numbers of part 0
		b.inventory.RegisterMachines(part, []grouprecord.Machine{{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: string(id)}}, func() {})
		heldUp = append(heldUp, loseNextWriteReply(t, b))
		deposeOwner(t, b)
		acquireAndLoadShard(t, b)
	}
	for i, write := range heldUp {
		key := write.Then[0].Key
		if b.store.get(key).Outcome != messages.NotFound {
			t.Errorf("holder %d repeated its write under a later claim: %s", i, key)
		} else if b.store.commit(write).Outcome != messages.Conflict {
			t.Errorf("the late write of holder %d was carried out: %s", i, key)
		}
	}
}

// TestMutualAcquiresBackOff: two controllers each believe the other to be lost,
// and take a part from one another. The pauses grow with the changes of hands,
// so that in between a holder has time to serve the part.
func TestMutualAcquiresBackOff(t *testing.T) {
	const (
		quarrel    = 120 * second
		most       = 12 // 2, 4, 8, 16 and then 30 s after the change before
		leastAtEnd = 4 * second
	)
	part := &state.Shard{}
	now := 100 * second
	part.RecordOwnerChange(now)
	changes, last := 0, cluster.Time(0)
	for end := now + quarrel; now < end; now += second / 10 {
		if part.IsBackoffOver(now) {
			last = now - part.OwnershipChangedAt
			part.RecordOwnerChange(now)
			changes++
		}
	}
	if changes == 0 || changes > most || last < leastAtEnd {
		t.Errorf("%d changes of hands in %d s, the last after %d s; want at most %d, the last after %d s at least",
			changes, quarrel/second, last/second, most, leastAtEnd/second)
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

// TestNoAcquireDuringOutage: the holder of a part is lost, and so is the state service:
// nothing is claimed. A claim that waited for the end of the outage would then
// take the part from a holder that is back.
func TestNoAcquireDuringOutage(t *testing.T) {
	for _, outage := range []bool{false, true} {
		b := newControllerHarness()
		b.loseContact(t, "n2")
		setTime(b.Controller, b.loop.Now()+second)
		part := b.state.Shards[1]
		part.Owned, part.Ready, part.RecordRead, part.Owner, part.PreferredOwner = false, false, true, "n2", "n2"
		b.writeQueue.Health.LastSuccess, b.writeQueue.Health.HealthySince = b.loop.Now(), second
		if outage {
			b.writeQueue.Health.MarkFailing(b.loop.Now() - 2*second)
		}
		b.ownership.ConsiderAcquire(part)
		if part.Acquiring == outage {
			t.Errorf("outage %v: claims %v", outage, part.Acquiring)
		}
	}
}
