// Package ownership decides which shards this controller owns, and bounds how long
// it may act on that.
//
// # Who owns a shard
//
// The owner of shard n is the controller that wrote the record parts/<n> of the
// state service last, its claim record. A claim record names the owner and a term
// that grows by one with each claim; the revision of its write is the claim
// revision, which the fencing tokens of the shard's machines are made of. Each
// node is the preferred owner of one shard.
//
// A controller acquires a shard by writing the claim record, on condition that it
// has not changed since it was last read (Manager.Acquire). It tries that for a
// shard that nobody owns, or whose owner is an earlier process of its own, has
// failed while this controller is the next alive one after it (failover), or
// offers to hand it back to its preferred owner (failback). Nothing of this is
// needed for safety: a wrong acquire costs a pause, never a rule. After changes of
// owners in quick succession each controller waits longer and longer before it
// acquires the shard from another (state.ShardOwnership.IsBackoffOver).
//
// # How an owner loses a shard
//
// Every write of a shard is conditional on the owner's claim record, so an owner
// that was succeeded can't change the shard's records any more. It learns of that
// and drops all that it knew of the shard (Manager.HandleDeposed) when
//   - the watch or a read shows another controller's claim record,
//   - the claim makes one of its own transactions fail,
//   - another controller's ping names a later term, or
//   - a record of the shard makes no sense (Manager.GiveUpCorrupt): then nothing is
//     guessed, and the shard is acquired again after a pause and read anew.
//
// # How long an owner may act
//
// Until it learns of that, an owner could act on an older state than its
// successor. Two things prevent it. Before it answers a question about a job from
// memory it reads the claim record (Manager.Confirm): a linearizable read. And it
// answers the shard's workers and starts tasks only for a while after the last
// moment at which it was certain that nobody had acquired the shard after it: the
// ownership lease (Claim, AnswerWindow and StartWindow).
//
// While the state service does not answer, an owner can't see that another
// controller has acquired its shard. The new owner may have confirmed cancellations
// of jobs whose tasks run on machines which still send heartbeats to the former
// owner, and each answer of the former owner would renew the lease of those
// machines. So it stops answering the shard's workers early enough that their
// leases expire in time (docs/safety.md, "Gap").
//
// Two things confirm ownership. Every exchange with the state service that shows
// the claim in force confirms it as of the beginning of that exchange. Peer
// acknowledgements confirm it as of the sending of the pings, once every other
// controller has answered one with the terms that it knows, none of them later.
// A controller that acquires a shard knows its term from then on, and acts on it
// only after that. An acknowledgement counts only for the peer's present process,
// as an earlier process may have acquired the shard and forgotten it: such a claim
// shows in the state service alone, so that must have been read since. While all
// peers acknowledge, an outage of the state service costs nothing.
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

// storeOutageAfter is how long the state service may not serve this controller
// before it asks nothing of it that can wait: acquires, ownership checks and reads
// that renew the lease.
const storeOutageAfter = second

// Config is what the package knows from the start.
type Config struct {
	Self cluster.NodeID
	// Nodes are all controllers, sorted. The shards of a failed one are acquired by
	// the next in this ring.
	Nodes []cluster.NodeID
	// InstanceID is unique to this process; its write ids begin with it.
	InstanceID string
	// CancelDeadline is within what time the tasks of a cancelled job must have ended.
	CancelDeadline cluster.Time
	// WorkerLease is how long a worker's tasks may run after its last answered
	// heartbeat.
	WorkerLease cluster.Time
	// FailbackDelay is how long a shard and its preferred owner must have been
	// settled before the shard is offered back.
	FailbackDelay cluster.Time
}

// Peers is what is known of the other controllers.
type Peers interface {
	// IsFailed tells whether a node can't own its shards.
	IsFailed(cluster.NodeID) bool
	// AppendAcknowledgements appends what each other controller has last answered
	// to a ping.
	AppendAcknowledgements([]membership.Acknowledgement) []membership.Acknowledgement
	// RecordWrite is called when a record was seen that a process has written since
	// it was last seen.
	RecordWrite(instanceID string)
	// RecordUpgraded is called with the controllers that a claim record lists as
	// upgraded.
	RecordUpgraded(...cluster.NodeID)
	// UpgradedNodes lists the controllers that are known to be upgraded, sorted.
	UpgradedNodes() []cluster.NodeID
}

// ShardStore keeps the machines, jobs and machine groups of owned shards.
type ShardStore interface {
	// LoadShard begins to read the records of a shard that was acquired.
	// Manager.MarkReady is called in the end.
	LoadShard(*state.Shard)
	// DropShard forgets the machines, jobs and machine groups of a shard that is
	// not owned any more.
	DropShard(*state.Shard)
}

// Manager acquires and gives up shards.
//
// It alone changes the shards' state.ShardOwnership. At most one acquire of a shard
// and one read for its ownership checks are under way at a time.
type Manager struct {
	loop   *eventloop.Loop
	config Config
	shards []*state.Shard // by number
	queue  *writequeue.Queue
	peers  Peers
	store  ShardStore

	claimsRevision   cluster.Revision // up to which the claim records are known
	checks           []check          // by shard
	changes          int
	acknowledgements []membership.Acknowledgement // reused: every worker's heartbeat asks for them
}

// New makes a manager to which no owner is known.
func New(loop *eventloop.Loop, config Config, shards []*state.Shard, queue *writequeue.Queue, peers Peers, store ShardStore) *Manager {
	return &Manager{
		loop:   loop,
		config: config,
		shards: shards,
		queue:  queue,
		peers:  peers,
		store:  store,
		checks: make([]check, len(shards)),
	}
}

// Changes counts how often a shard became ready or was lost; what was worked out
// from the owned shards is out of date when it has changed.
func (m *Manager) Changes() int { return m.changes }

// MarkReady records that the records of an acquired shard have been read: from now
// on the shard is served.
func (m *Manager) MarkReady(shard *state.Shard) {
	shard.Ready = true
	m.changes++
}

// isStoreOut tells whether the state service does not serve this controller.
func (m *Manager) isStoreOut() bool { return m.queue.IsUnavailableFor(storeOutageAfter) }

// isNumber tells whether a number from outside is that of a shard.
func (m *Manager) isNumber(id cluster.ShardID) bool {
	return int(id) >= 0 && int(id) < len(m.shards)
}
