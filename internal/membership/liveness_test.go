package membership

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// refreshLiveness calls RefreshLiveness and returns the resulting requests to the
// store.
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

// TestLivenessKeyWrittenWhilePeerUnreachable checks that liveness keys are read and
// written only while a peer is unreachable, and with one write at a time.
func TestLivenessKeyWrittenWhilePeerUnreachable(t *testing.T) {
	m := newTestMembers()
	if reads, writes := m.refreshLiveness(); len(reads)+len(writes) > 0 {
		t.Fatalf("with all peers reachable: %d reads and %d writes, want none", len(reads), len(writes))
	}

	m.Peer("n1").unreachable = true
	reads, writes := m.refreshLiveness()
	if len(reads) != 1 || reads[0].Key != "nodes/n1" {
		t.Errorf("reads %v, want one of nodes/n1", reads)
	}
	if len(writes) != 1 || writes[0].Then[0].Key != "nodes/n0" {
		t.Fatalf("writes %v, want one of nodes/n0", writes)
	}
	for _, read := range reads {
		m.loop.Deliver(messages.Reply{Call: read.Call, Body: messages.GetReply{Outcome: messages.NotFound}})
	}
	if _, again := m.refreshLiveness(); len(again) > 0 {
		t.Errorf("written again while the first write is in flight: %v", again)
	}

	m.loop.Deliver(messages.Reply{Call: writes[0].Call, Body: messages.TxnReply{Outcome: messages.OK, Revision: 7}})
	_, writes = m.refreshLiveness()
	if len(writes) != 1 || writes[0].If[0].ModRevision != 7 {
		t.Errorf("second write %v, want it conditional on mod revision 7", writes)
	}
}

// TestLivenessKeyChange checks that the first read of an unreachable peer's liveness key
// is a baseline, and that a later change is recorded.
func TestLivenessKeyChange(t *testing.T) {
	m := newTestMembers()
	peer := m.Peer("n1")
	peer.unreachable = true
	for i, test := range []struct {
		modRevision cluster.ModRevision
		want        bool
	}{{5, false}, {5, false}, {8, true}} {
		reads, _ := m.refreshLiveness()
		if len(reads) != 1 {
			t.Fatalf("read %d: %v, want one request", i, reads)
		}
		record := messages.KV{Key: reads[0].Key, ModRevision: test.modRevision}
		m.loop.Deliver(messages.Reply{Call: reads[0].Call, Body: messages.GetReply{Outcome: messages.OK, KV: record}})
		if got := peer.livenessChangedAt > 0; got != test.want {
			t.Errorf("read %d: change seen %v, want %v", i, got, test.want)
		}
	}
}
