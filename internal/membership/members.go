// Package membership tracks the state of the other controllers: which of them are
// reachable, what they last reported about themselves, and whether one has failed. It
// also tracks whether this controller reaches its workers and is overloaded.
//
// Every peer is pinged periodically. An unanswered ping is retried with growing timeouts
// and then followed by probes at a fixed interval; if none is answered, the peer counts
// as unreachable. An unreachable peer may still serve its shards, for example if only the
// link from this node is down. IsFailed therefore also considers the pings of other peers
// and the consensus-backed key-value store (the store), and decides whether other
// controllers may acquire the peer's shards. A wrong decision only interrupts service,
// because an acquisition is a compare-and-swap in the store and fencing tokens exclude
// the former owner.
//
// A ping also has fields about shards, offers and demand for cloud calls, which belong to
// other packages. The Host sets these fields in outgoing pings and handles them in
// incoming pings.
package membership

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

const (
	millisecond = cluster.Millisecond
	second      = cluster.Second
)

// MaxPingAge is the age up to which a peer's last ping counts as current. Peers normally
// send pings more often.
const MaxPingAge = 3 * second

// Config configures Members.
type Config struct {
	Self cluster.NodeID
	// Nodes lists all controllers, sorted. Each is the preferred owner of one shard.
	Nodes []cluster.NodeID
	// InstanceID identifies this process.
	InstanceID string
	// FeatureLevel is the feature level of this release. A controller whose pings have
	// at least this level counts as upgraded.
	FeatureLevel int
	// MaxValueBytes is the maximum size of a record in the store.
	MaxValueBytes int
	// HeartbeatInterval is the interval between the heartbeats of a worker.
	HeartbeatInterval cluster.Time

	// PingInterval is the delay between the reply to a ping and the next ping.
	PingInterval cluster.Time
	// PingTimeout is the timeout of a ping that follows an answered one.
	PingTimeout cluster.Time
	// PingRetries is the number of retries after an unanswered ping. The timeout of the
	// first retry is InitialRetryTimeout, and it doubles with each further retry.
	PingRetries         int
	InitialRetryTimeout cluster.Time
	// ProbeCount is the number of failed probes, ProbeInterval apart, after which a peer
	// counts as unreachable. The probes then continue at the same interval.
	ProbeCount    int
	ProbeInterval cluster.Time
}

// Host connects Members with the rest of the controller.
type Host interface {
	// DescribeShards sets the fields of a ping about this controller's shards, offers and
	// demand for cloud calls.
	DescribeShards(to *Peer, ping *messages.Ping)
	// HandlePing handles the fields of a peer's ping about shards and offers.
	HandlePing(from *Peer, ping *messages.Ping)
	// HandleReachabilityChange is called when a peer becomes unreachable or reachable
	// again.
	HandleReachabilityChange()
	// ReviewOwnership starts to acquire the shards that this controller should own. It is
	// called after each failed call to an unreachable peer.
	ReviewOwnership()
}

// Members holds the state of all other controllers. After Start, a failure detector
// runs for each of them.
type Members struct {
	loop    *eventloop.Loop
	config  Config
	store   *writequeue.Queue
	workers *WorkerReachability
	host    Host

	peers     []*Peer // in the order of Config.Nodes
	upgraded  map[cluster.NodeID]bool
	liveness  nodeLiveness
	callCount int
}

// New returns Members for the controllers in config. No peer has answered yet.
func New(loop *eventloop.Loop, config Config, store *writequeue.Queue, workers *WorkerReachability, host Host) *Members {
	m := &Members{
		loop:     loop,
		config:   config,
		store:    store,
		workers:  workers,
		host:     host,
		upgraded: map[cluster.NodeID]bool{config.Self: true},
	}
	for _, id := range config.Nodes {
		if id != config.Self {
			m.peers = append(m.peers, &Peer{id: id, loop: loop})
		}
	}
	return m
}

// Start starts pinging all peers.
func (m *Members) Start() {
	for _, peer := range m.peers {
		detector := &failureDetector{members: m, peer: peer}
		detector.callPeer()
	}
}

// Peers returns the other controllers, sorted by ID. Callers must not modify the
// slice.
func (m *Members) Peers() []*Peer { return m.peers }

// Peer returns the peer with the given ID. The result is nil if the ID is unknown or
// that of this node.
func (m *Members) Peer(id cluster.NodeID) *Peer {
	for _, peer := range m.peers {
		if peer.id == id {
			return peer
		}
	}
	return nil
}

// RecordWrite records that a new write by a process was seen in the store. Such a write
// shows that the process is alive even if it is unreachable.
func (m *Members) RecordWrite(instanceID string) {
	for _, peer := range m.peers {
		if peer.instanceID == instanceID {
			peer.lastWriteSeenAt = m.loop.Now()
		}
	}
}

// IsFirstReachable reports whether all controllers before this one in Config.Nodes are
// unreachable. Callers use it to let a single controller do work that any could do.
func (m *Members) IsFirstReachable() bool {
	for _, id := range m.config.Nodes {
		if id == m.config.Self {
			break
		}
		if !m.Peer(id).unreachable {
			return false
		}
	}
	return true
}

// HasReplyWithin reports whether any peer has answered a ping within the given duration.
func (m *Members) HasReplyWithin(duration cluster.Time) bool {
	return slices.ContainsFunc(m.peers, func(peer *Peer) bool {
		return peer.hasAnswered && m.loop.Now()-peer.lastReplyAt < duration
	})
}

// IsStoreReachableElsewhere reports whether a reachable peer recently reported that it
// reaches the store.
func (m *Members) IsStoreReachableElsewhere() bool {
	return slices.ContainsFunc(m.peers, func(peer *Peer) bool {
		return !peer.unreachable && peer.lastPing.StoreReachable && peer.PingAge() < MaxPingAge
	})
}

// handleReachabilityChange updates the number of live controllers, among which the
// request limits of the store are divided, and notifies the host.
func (m *Members) handleReachabilityChange() {
	live := 1
	for _, peer := range m.peers {
		if !peer.unreachable {
			live++
		}
	}
	m.store.SetLiveControllers(live)
	m.host.HandleReachabilityChange()
}
