package membership

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// refreshLiveness refreshes the liveness keys and returns what the state service is
// asked for.
func (m *testMembers) refreshLiveness() (reads []messages.StoreGet, writes []messages.StoreTxn) {
	m.advance(2 * second)
	m.RefreshLiveness()
	m.store.Dispatch()
	for _, effect := range m.loop.Effects() {
		switch effect := effect.(type) {
		case messages.StoreGet:
			reads = append(reads, effect)
		case messages.StoreTxn:
			writes = append(writes, effect)
		}
	}
	return reads, writes
}

// TestLivenessKeyWrittenWhilePeerUnreachable: in ordinary times nothing is written
// nor read. While a peer is unreachable its key is read, and this node's written
// unless the last write has no outcome yet.
func TestLivenessKeyWrittenWhilePeerUnreachable(t *testing.T) {
	m := newTestMembers()
	if reads, writes := m.refreshLiveness(); len(reads)+len(writes) > 0 {
		t.Fatalf("with all peers reachable: %d reads, %d writes", len(reads), len(writes))
	}

	m.Peer("n1").unreachable = true
	reads, writes := m.refreshLiveness()
	if len(reads) != 1 || reads[0].Key != "nodes/n1" {
		t.Errorf("reads %v", reads)
	}
	if len(writes) != 1 || writes[0].Then[0].Key != "nodes/n0" {
		t.Fatalf("writes %v", writes)
	}
	for _, read := range reads {
		m.loop.Deliver(messages.Reply{Call: read.Call, Body: messages.GetReply{Outcome: messages.NotFound}})
	}
	if _, again := m.refreshLiveness(); len(again) > 0 {
		t.Errorf("written again before the outcome is known: %v", again)
	}

	m.loop.Deliver(messages.Reply{Call: writes[0].Call, Body: messages.TxnReply{Outcome: messages.OK, Revision: 7}})
	_, writes = m.refreshLiveness()
	if len(writes) != 1 || writes[0].If[0].ModRevision != 7 {
		t.Errorf("second write %v, want it conditional on mod revision 7", writes)
	}
}

// TestLivenessKeyShowsRecovery: the first reading of an unreachable peer's liveness
// key shows only what was written before; a change after that shows that it lives.
func TestLivenessKeyShowsRecovery(t *testing.T) {
	m := newTestMembers()
	peer := m.Peer("n1")
	peer.unreachable = true
	for i, test := range []struct {
		modRevision cluster.ModRevision
		want        bool
	}{{5, false}, {5, false}, {8, true}} {
		reads, _ := m.refreshLiveness()
		if len(reads) != 1 {
			t.Fatalf("reading %d: %v", i, reads)
		}
		record := messages.KV{Key: reads[0].Key, ModRevision: test.modRevision}
		m.loop.Deliver(messages.Reply{Call: reads[0].Call, Body: messages.GetReply{Outcome: messages.OK, KV: record}})
		if got := peer.recoverySeenAt > 0; got != test.want {
			t.Errorf("reading %d: recovered %v, want %v", i, got, test.want)
		}
	}
}
