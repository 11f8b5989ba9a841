// Package membership is one controller's view of the cluster: which of the other
// controllers are alive, what they last said of themselves, and how this node
// fares itself.
//
// Every peer is pinged each second. A peer whose ping goes unanswered is called
// again with growing timeouts, then probed at a steady pace, and counts as
// unreachable after that. An unreachable peer may still serve its shards, as when
// only the link from here is cut; IsFailed weighs what other peers and the state
// service say of it, and decides whether its shards may be acquired by another
// controller. A wrong decision costs a pause, never a safety rule: an acquisition is
// a transaction in the state service, and the fencing tokens hold off the former
// owner.
//
// What a ping says of shards, offers and demands belongs to other packages. The
// Host adds it to the pings that go out, and takes it from those that come in.
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

// PingFreshness is how long what a peer's last ping said counts: pings come each
// second, so two have been missed by then.
const MaxPingAge = 3 * second

// Config is what the package knows from the start.
type Config struct {
	Self cluster.NodeID
	// Nodes are all controllers, sorted; each is the preferred owner of one shard.
	Nodes []cluster.NodeID
	// InstanceID is unique to this process.
	InstanceID string
	// FeatureLevel is that of this release. A controller whose pings have at least
	// this level is upgraded.
	FeatureLevel int
	// MaxValueBytes is the largest record that the state service takes.
	MaxValueBytes int
	// HeartbeatInterval is the time between two heartbeats of a worker.
	HeartbeatInterval cluster.Time

	// PingInterval is the time between the answer to a ping and the next ping.
	PingInterval cluster.Time
	// PingTimeout is how long the answer to a first call may take.
	PingTimeout cluster.Time
	// PingRetries is how many calls follow an unanswered ping with timeouts that
	// double, the first of them InitialRetryTimeout.
	PingRetries         int
	InitialRetryTimeout cluster.Time
	// ProbeCount is how many probes, ProbeInterval apart, follow the retries.
	ProbeCount    int
	ProbeInterval cluster.Time
}

// Host is what the peers' state means to the rest of the controller.
type Host interface {
	// DescribeShards adds to a ping what the peer should know of this controller's
	// shards, offers and demands.
	DescribeShards(to *Peer, ping *messages.Ping)
	// HandlePing takes in what a peer's ping says of shards and offers.
	HandlePing(from *Peer, ping *messages.Ping)
	// HandleReachabilityChange is called when a peer has become unreachable, or
	// reachable again.
	HandleReachabilityChange()
	// ReviewOwnership is called after each missed probe of an unreachable peer:
	// its shards may have to be acquired.
	ReviewOwnership()
}

// Members holds the state of all other controllers.
//
// One call of the failure detector is scheduled or waits for its answer for each
// peer at any time, once Start was called.
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

// New makes the state of peers that were not heard yet.
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

// Start begins to ping the peers.
func (m *Members) Start() {
	for _, peer := range m.peers {
		detector := &failureDetector{members: m, peer: peer}
		detector.probe()
	}
}

// Peers lists the other controllers, sorted by their ids. The list must not be
// changed.
func (m *Members) Peers() []*Peer { return m.peers }

// Peer returns another controller; nil: the node is this one or unknown.
func (m *Members) Peer(id cluster.NodeID) *Peer {
	for _, peer := range m.peers {
		if peer.id == id {
			return peer
		}
	}
	return nil
}

// RecordWrite records that a record which a process has written was seen: a sign of
// life of that process where pings do not reach it.
func (m *Members) RecordWrite(instanceID string) {
	for _, peer := range m.peers {
		if peer.instanceID == instanceID {
			peer.lastWriteSeenAt = m.loop.Now()
		}
	}
}

// IsFirstReachable tells whether no controller listed before this one is
// reachable: of all controllers that could do a task, one should.
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

// HasAnswerWithin tells whether any peer has answered a call within a time.
func (m *Members) HasAnswerWithin(duration cluster.Time) bool {
	return slices.ContainsFunc(m.peers, func(peer *Peer) bool {
		return peer.hasAnswered && m.loop.Now()-peer.lastAnswerAt < duration
	})
}

// IsStoreReachableElsewhere tells whether a reachable peer has said lately that the
// state service serves it.
func (m *Members) IsStoreReachableElsewhere() bool {
	return slices.ContainsFunc(m.peers, func(peer *Peer) bool {
		return !peer.unreachable && peer.lastPing.StoreReachable && peer.PingAge() < MaxPingAge
	})
}

// handleReachabilityChange divides the state service's limits among the
// controllers that can be reached.
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
