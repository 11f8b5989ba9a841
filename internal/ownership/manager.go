// Package ownership decides which shards this controller owns, and how long it may
// act as the owner without a new confirmation.
//
// # Claims
//
// The owner of shard n is the controller that last wrote the shard's claim record,
// parts/<n> in the consensus-backed key-value store (the store). A claim record names
// the owner and a term that grows by one with each claim. The revision of its write is
// the claim revision, from which the fencing tokens of the shard's machines are derived.
// Each node is the preferred owner of one shard.
//
// A controller acquires a shard by a compare-and-swap of the claim record
// (Manager.Acquire). It does so if the shard
//   - has no owner and this controller is the preferred owner, or the first live
//     successor of a preferred owner that has failed,
//   - is owned by an earlier process of this controller,
//   - is owned by a controller that has failed, and this controller is the first live
//     successor of that controller in the ring (failover), or
//   - is offered back by its owner and this controller is the preferred owner
//     (failback).
//
// These conditions are not safety-critical. An unnecessary acquisition only interrupts
// the service of the shard, because the compare-and-swap and the fencing tokens exclude
// the previous owner. When a shard changes owners repeatedly, an exponential backoff
// delays its acquisition from another owner (state.ShardOwnership.IsBackoffOver).
//
// # Loss of ownership
//
// Every write to a shard's records is conditional on the owner's claim record, so a
// deposed owner can't modify them. An owner drops the shard's state
// (Manager.HandleDeposed) when
//   - a watch or a read returns another controller's claim record,
//   - one of its transactions fails because the claim record has changed,
//   - another controller's ping contains a later term, or
//   - a record of the shard is corrupt (Manager.DropCorruptShard). The shard is then
//     acquired again after a delay and its records are reloaded.
//
// # Ownership lease
//
// A deposed owner that has not noticed yet has stale state. Two mechanisms keep it from
// acting on this state. First, it reads the claim record before it answers a query for a
// job from memory, which makes these reads linearizable (Manager.ConfirmOwnership).
// Second, it answers the shard's workers and starts tasks only for a limited time after
// the last confirmation that no other controller had acquired the shard. This limit is
// the ownership lease (Claim, ResponseWindow and StartWindow).
//
// During an outage of the store an owner can't see that another controller has acquired
// its shard. The new owner may confirm the cancellation of a job whose tasks run on
// machines that still send heartbeats to the former owner. Each heartbeat response of the
// former owner would renew the leases of these machines and keep the tasks running. The
// former owner therefore stops responding early enough for the leases to expire before
// the cancel deadline (docs/safety.md, "Gap").
//
// Ownership is confirmed in two ways:
//   - A reply of the store that shows that the claim is in force confirms ownership as
//     of the time when the request was sent.
//   - Peer acknowledgements confirm ownership as of the time when the oldest
//     acknowledged ping was sent, once every other controller has answered a ping and
//     none of these controllers knows of a later term. This is sufficient because a
//     controller that acquires a shard knows its new term before it acts as the owner.
//
// An acknowledgement counts only for the peer's current process. An earlier process may
// have acquired the shard, and its successor does not know of that claim until it reads
// the store. The store must therefore have confirmed the claim after the current
// process was first seen. While all peers acknowledge, ownership leases are renewed
// even during an outage of the store.
package ownership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/membership"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

const (
	millisecond = cluster.Millisecond
	second      = cluster.Second
)

// maxStoreOutage is how long the store may be unavailable before this controller suspends
// acquisitions, ownership checks and reads for lease renewal.
const maxStoreOutage = second

// Config configures a Manager.
type Config struct {
	Self cluster.NodeID
	// Nodes lists all controllers, sorted. They form a ring: the shards of a failed
	// controller are acquired by its next live successor.
	Nodes []cluster.NodeID
	// InstanceID identifies this process. Its write IDs begin with it.
	InstanceID string
	// CancelDeadline is the maximum time between the confirmation of a cancellation and
	// the end of the job's tasks.
	CancelDeadline cluster.Time
	// WorkerLease is how long a worker's tasks may run after it sent the last heartbeat
	// that was answered.
	WorkerLease cluster.Time
	// FailbackDelay is how long a shard must have kept its owner, and the preferred
	// owner must have been healthy, before the shard is offered back.
	FailbackDelay cluster.Time
}

// Peers provides the state of the other controllers.
type Peers interface {
	// IsFailed reports whether a node is considered unable to serve its shards.
	IsFailed(cluster.NodeID) bool
	// AppendAcknowledgements appends the last acknowledgement of each peer.
	AppendAcknowledgements([]membership.Acknowledgement) []membership.Acknowledgement
	// RecordWrite records that a new write by a process was seen.
	RecordWrite(instanceID string)
	// RecordUpgraded records the controllers that a claim record lists as upgraded.
	RecordUpgraded(...cluster.NodeID)
	// UpgradedNodes returns the controllers known to be upgraded, sorted.
	UpgradedNodes() []cluster.NodeID
}

// ShardLoader loads and drops the machines, jobs and machine groups of shards.
type ShardLoader interface {
	// LoadShard starts to load the records of an acquired shard. It calls
	// Manager.MarkReady once they are loaded.
	LoadShard(*state.Shard)
	// DropShard drops the machines, jobs and machine groups of a shard that is no
	// longer owned.
	DropShard(*state.Shard)
}

// Manager acquires shards and ends their ownership.
//
// Only the Manager modifies the shards' state.ShardOwnership. For each shard, at most
// one acquisition and one read for ownership checks are in flight at a time.
type Manager struct {
	loop   *eventloop.Loop
	config Config
	shards []*state.Shard // indexed by shard ID
	queue  *writequeue.Queue
	peers  Peers
	loader ShardLoader

	claimsRevision   cluster.Revision // revision up to which claim records are applied
	checks           []ownershipCheck // indexed by shard ID
	changes          int
	acknowledgements []membership.Acknowledgement // reused buffer; needed for every heartbeat
}

// New returns a Manager that owns no shards and does not know their owners yet.
func New(loop *eventloop.Loop, config Config, shards []*state.Shard, queue *writequeue.Queue, peers Peers, loader ShardLoader) *Manager {
	return &Manager{
		loop:   loop,
		config: config,
		shards: shards,
		queue:  queue,
		peers:  peers,
		loader: loader,
		checks: make([]ownershipCheck, len(shards)),
	}
}

// Changes returns how many times any shard has become ready or been lost. Callers use it
// to invalidate values derived from the set of owned shards.
func (m *Manager) Changes() int { return m.changes }

// MarkReady records that the records of an acquired shard are loaded, so that the
// shard can be served.
func (m *Manager) MarkReady(shard *state.Shard) {
	shard.Ready = true
	m.changes++
}

// isStoreUnavailable reports whether the store has been unavailable to this controller
// for longer than maxStoreOutage.
func (m *Manager) isStoreUnavailable() bool { return m.queue.IsUnavailableFor(maxStoreOutage) }

// isShardID reports whether an ID received from a peer or read from the store is that
// of a shard.
func (m *Manager) isShardID(id cluster.ShardID) bool {
	return int(id) >= 0 && int(id) < len(m.shards)
}
