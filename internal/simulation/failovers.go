package simulation

import (
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/exactjson"
	"stairrelay/internal/messages"
)

// maxCapturedHeartbeats is the maximum number of heartbeats captured for a replay.
const maxCapturedHeartbeats = 60

// Failovers tracks the owners of the shards in the store and injects faults when an
// owner changes.
type Failovers struct {
	*environment
	nodes         *nodeSet
	owners        map[string]string // by key of the shard's claim record
	captureChance float64
	captureUntil  cluster.Time
	captured      []cluster.HeartbeatStatus
	hooks         []acquireHook
}

// acquireHook is an action to run at the next change of a shard's owner, unless the hook
// has expired by then.
type acquireHook struct {
	expiresAt cluster.Time
	action    func(owner cluster.NodeID)
}

// CaptureHeartbeats captures copies of a share of the heartbeats for a duration. The
// copies are replayed to every controller right after the next change of a shard's owner.
func (f *Failovers) CaptureHeartbeats(share float64, duration cluster.Time) {
	f.captureChance = share
	f.captureUntil = f.Now + duration
}

func (f *Failovers) captureHeartbeat(status cluster.HeartbeatStatus) {
	if f.Now < f.captureUntil && len(f.captured) < maxCapturedHeartbeats && f.Chance(f.captureChance) {
		f.captured = append(f.captured, status)
	}
}

// OnShardAcquired runs an action once, at the next change of a shard's owner, if that
// happens within the given time.
func (f *Failovers) OnShardAcquired(within cluster.Time, action func(owner cluster.NodeID)) {
	f.hooks = append(f.hooks, acquireHook{expiresAt: f.Now + within, action: action})
}

// recordShardOwners updates the shard owners from the claim records that a transaction
// has written, and replays heartbeats and runs hooks if an owner has changed.
func (f *Failovers) recordShardOwners(operations []messages.TxnOp) {
	for _, operation := range operations {
		if !strings.HasPrefix(operation.Key, "parts/") || operation.Value == nil {
			continue
		}
		var record struct {
			Owner string `json:"holder"`
		}
		if exactjson.Unmarshal(operation.Value, &record) != nil {
			continue
		}
		previous := f.owners[operation.Key]
		f.owners[operation.Key] = record.Owner
		if previous != "" && previous != record.Owner {
			f.handleOwnerChange(cluster.NodeID(record.Owner))
		}
	}
}

func (f *Failovers) handleOwnerChange(owner cluster.NodeID) {
	captured, hooks := f.captured, f.hooks
	f.captured, f.hooks = nil, nil
	for _, status := range captured {
		for _, node := range f.nodes.Nodes {
			f.After(f.RandomBetween(millisecond, 300*millisecond), func() { f.replay(node, status) })
		}
	}
	for _, hook := range hooks {
		if f.Now < hook.expiresAt {
			hook.action(owner)
		}
	}
}

// replay delivers a heartbeat that was captured before a failover.
func (f *Failovers) replay(node *Node, status cluster.HeartbeatStatus) {
	node.SendRequest(heartbeatRequest(status), func(response messages.Respond) {
		if response.Status != messages.StatusNone {
			f.FaultCounts[FaultHeartbeatReplayedAtFailover]++
		}
	})
}
