package controller

import (
	"fmt"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/writequeue"
)

// TestTransferOfferWithinTransaction checks that the records rewritten by a transfer
// offer fit into one transaction. The store would always reject a larger one.
func TestTransferOfferWithinTransaction(t *testing.T) {
	const groups, length, protocolLimit = 12, 12_000, 64 << 10
	h := newControllerHarness()
	h.config.MaxValueBytes, h.config.MaxTxnOps = 16_384, 20
	h.writeQueue.Configure(h.writeQueueConfig())
	h.jobs.Configure(h.jobsConfig())
	h.inventory.Configure(h.inventoryConfig())
	h.scheduler.Configure(h.schedulingConfig())
	shard := h.state.Shards[0]
	for i := range groups {
		group := h.state.AddGroup(shard, fmt.Sprintf("g%02d", i), 31)
		group.RecordSize = length
		for index := range 2 {
			id := cluster.MachineID(fmt.Sprintf("m-%02d-%d", i, index))
			machine := h.inventory.AddMachine(group, grouprecord.Machine{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a"}, Address: string(id)}, 31)
			machine.TokenAcknowledged, machine.Incarnation, machine.IdleSince = true, 1, h.loop.Now()-second
			machine.LastHeartbeat = h.loop.Now()
		}
	}
	h.scheduler.Rebalancer.OfferIdleMachines(shard, fairshare.NewPlan(fairshare.Snapshot{
		0: {Shard: 0, Available: 96_000_000},
		1: {Shard: 1, Demand: [4]cluster.Amount{0, 96_000_000}},
	}))
	queue := h.writeQueue.Queued(writequeue.PriorityStart)
	if len(queue) != 1 {
		t.Fatalf("%d writes queued, want 1", len(queue))
	}
	rewritten := len(queue[0].Keys) - 1 // without the new group
	if rewritten < 2 || rewritten*length > protocolLimit {
		t.Errorf("one transaction rewrites %d records of %d bytes, want at least two records and at most 64 KiB", rewritten, length)
	}
}
