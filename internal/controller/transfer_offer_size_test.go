package controller

import (
	"fmt"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/writequeue"

	"stairrelay/internal/fairshare"
	"stairrelay/internal/grouprecord"
)

// TestTransferOfferWithinTransaction: idle machines are spread over many groups with long
// records. All records that an offer's write rewrites have to fit into one
// transaction, which the protocol limits to 64 KiB; one that is larger is refused
// each time, and no machine ever moves.
func TestTransferOfferWithinTransaction(t *testing.T) {
	const groups, length, protocolLimit = 12, 12_000, 64 << 10
	b := newControllerHarness()
	b.config.MaxValueBytes, b.config.MaxTxnOps = 16_384, 20
	b.writeQueue.Configure(b.writeQueueConfig())
	b.jobs.Configure(b.jobsConfig())
	b.inventory.Configure(b.inventoryConfig())
	b.scheduler.Configure(b.schedulingConfig())
	p := b.state.Shards[0]
	for i := range groups {
		g := b.state.AddGroup(p, fmt.Sprintf("g%02d", i), 31)
		g.RecordSize = length
		for k := range 2 {
			id := cluster.MachineID(fmt.Sprintf("m-%02d-%d", i, k))
			m := b.inventory.AddMachine(g, grouprecord.Machine{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a"}, Address: string(id)}, 31)
			m.TokenAcknowledged, m.Incarnation, m.IdleSince = true, 1, b.loop.Now()-second
			m.LastHeartbeat = b.loop.Now()
		}
	}
	b.scheduler.Rebalancer.OfferIdleMachines(p, fairshare.NewPlan(fairshare.Snapshot{
		0: {Shard: 0, Available: 96_000_000},
		1: {Shard: 1, Demand: [4]cluster.Amount{0, 96_000_000}},
	}))
	queue := b.writeQueue.Queued(writequeue.Start)
	if len(queue) != 1 {
		t.Fatalf("%d writes queued", len(queue))
	}
	rewritten := len(queue[0].Keys) - 1 // beside the new group
	if rewritten < 2 || rewritten*length > protocolLimit {
		t.Errorf("%d records of %d bytes in one transaction", rewritten, length)
	}
}
