package inventory

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// harness is an inventory with an event loop, a state and a write queue, but without
// the other components of a controller.
type harness struct {
	*Inventory
	loop   *eventloop.Loop
	state  *state.State
	writes *writequeue.Queue
}

// newHarness returns the inventory of a controller in a cluster of the given nodes. It
// owns none of the shards.
func newHarness(t *testing.T, nodes ...cluster.NodeID) *harness {
	t.Helper()
	const maxTxnOps = 12
	h := &harness{loop: eventloop.New(), state: state.New(nodes, nil)}
	queueConfig := writequeue.Config{
		InstanceID:  "b0",
		RequestRPS:  100,
		WriteRPS:    100,
		BudgetShare: 0.9,
		MaxTxnOps:   maxTxnOps,
		Controllers: len(nodes),
		ShareByDemand: func(limit, _ float64, liveControllers int) float64 {
			return limit / float64(liveControllers)
		},
	}
	h.writes = writequeue.New(h.loop, queueConfig, claims{state: h.state})
	config := Config{ValueLimit: 4096, MaxTxnOps: maxTxnOps, MaxScaleInMachines: 100}
	h.Inventory = New(h.loop, config, h.state, h.writes, NewRecordNames("b0"), Dependencies{})
	return h
}

// claims implements writequeue.ShardOwnership with the claims in a state.
type claims struct{ state *state.State }

func (c claims) ClaimOf(id cluster.ShardID) writequeue.Claim {
	shard := c.state.Shards[id]
	return writequeue.Claim{Key: shard.Key(), ModRevision: shard.ModRevision, Owned: shard.Owned}
}

func (c claims) HandleDeposed(cluster.ShardID) {}

func (c claims) HandleStored(writequeue.StoredTransaction) {}
