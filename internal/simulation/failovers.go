package simulation

import (
	"encoding/json"
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// maxCapturedHeartbeats bounds how many heartbeats are kept for a failover.
const maxCapturedHeartbeats = 60

// Failovers follows the shards' owners as the state service has them, and
// injects the faults that meet a change of owner.
type Failovers struct {
	*environment
	nodes         *nodeSet
	owners        map[string]string // by the key of the shard's record
	captureChance float64
	captureUntil  cluster.Time
	captured      []cluster.HeartbeatStatus
	hooks         []acquireHook
}

// acquireHook is an action for the next change of owner, if that comes in time.
type acquireHook struct {
	expiresAt cluster.Time
	action    func(owner cluster.NodeID)
}

// CaptureHeartbeats keeps copies of a share of the heartbeats for a while. They
// arrive at every controller right after a shard changes its owner.
func (f *Failovers) CaptureHeartbeats(share float64, duration cluster.Time) {
	f.captureChance = share
	f.captureUntil = f.Now + duration
}

func (f *Failovers) captureHeartbeat(status cluster.HeartbeatStatus) {
	if f.Now < f.captureUntil && len(f.captured) < maxCapturedHeartbeats && f.Chance(f.captureChance) {
		f.captured = append(f.captured, status)
	}
}

// OnShardAcquired runs an action once, when a shard next changes its owner within
// a time.
func (f *Failovers) OnShardAcquired(within cluster.Time, action func(owner cluster.NodeID)) {
	f.hooks = append(f.hooks, acquireHook{expiresAt: f.Now + within, action: action})
}

// recordShardOwners takes in who owns which shard after a transaction.
func (f *Failovers) recordShardOwners(operations []messages.TxnOp) {
	for _, operation := range operations {
		if !strings.HasPrefix(operation.Key, "parts/") || operation.Value == nil {
			continue
		}
		var record struct {
			Owner string `json:"holder"`
		}
		if json.Unmarshal(operation.Value, &record) != nil {
			continue
		}
		former := f.owners[operation.Key]
		f.owners[operation.Key] = record.Owner
		if former != "" && former != record.Owner {
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

// replay delivers a heartbeat of the time before a failover.
func (f *Failovers) replay(node *Node, status cluster.HeartbeatStatus) {
	node.SendRequest(heartbeatRequest(status), func(answer messages.Respond) {
		if answer.Status != messages.ReplyNone {
			f.FaultCounts[FaultHeartbeatReplayedAtFailover]++
		}
	})
}
