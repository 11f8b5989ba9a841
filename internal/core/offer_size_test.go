package core

import (
	"fmt"
	"testing"

	"stairrelay/internal/grouprecord"
	"stairrelay/internal/sharing"
)

// TestOfferWithinTransaction: idle machines are spread over many groups with long
// records. All records that an offer's write rewrites have to fit into one
// transaction, which the protocol limits to 64 KiB; one that is larger is refused
// each time, and no machine ever moves.
func TestOfferWithinTransaction(t *testing.T) {
	const groups, length, protocolLimit = 12, 12_000, 64 << 10
	b := newCoreHarness()
	b.cfg.ValueBytes, b.cfg.TxnOps = 16_384, 20
	p := b.parts[0]
	for i := range groups {
		g := b.newGroup(p, fmt.Sprintf("g%02d", i), 31)
		g.size = length
		for k := range 2 {
			id := MachineID(fmt.Sprintf("m-%02d-%d", i, k))
			m := b.addMachine(g, grouprecord.Machine{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a"}, Address: string(id)}, 31)
			m.acked, m.session, m.idleSince = true, 1, b.now-second
			m.heard = b.now
		}
	}
	b.offerIdle(p, sharing.NewPlan(sharing.Snapshot{
		0: {Part: 0, Have: 96_000_000},
		1: {Part: 1, Demand: [4]Amount{0, 96_000_000}},
	}))
	queue := b.writer.queues[prioStart]
	if len(queue) != 1 {
		t.Fatalf("%d writes queued", len(queue))
	}
	rewritten := len(queue[0].keys) - 1 // beside the new group
	if rewritten < 2 || rewritten*length > protocolLimit {
		t.Errorf("%d records of %d bytes in one transaction", rewritten, length)
	}
}
