package membership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

// Peer is the state of another controller as known by this one.
//
// The first ping or reply of a new process of the peer sets instanceID and resets
// healthySince and acknowledgement. The fields about the reachability of the peer are
// kept.
type Peer struct {
	id   cluster.NodeID
	loop *eventloop.Loop

	instanceID      string
	lastPing        messages.Ping
	lastPingAt      cluster.Time
	healthySince    cluster.Time // since when it has reported that it reaches the store and its workers, or 0
	lastPingError   string       // validation error of its last invalid ping
	lastWriteSeenAt cluster.Time // when a write by it to the store was last seen

	hasAnswered     bool
	lastReplyAt     cluster.Time // when it last answered a ping
	acknowledgement Acknowledgement

	suspected        bool // the last ping and its retries were not answered
	unreachable      bool // the last ping, its retries and ProbeCount subsequent probes were not answered
	unreachableSince cluster.Time

	livenessRead        bool // the liveness key was read since the peer became unreachable
	livenessModRevision cluster.ModRevision
	livenessChangedAt   cluster.Time // when a change of its liveness key was last seen
}

// Acknowledgement describes the last reply of a peer's current process to a ping.
type Acknowledgement struct {
	// SentAt is when the answered ping was sent. It is zero if the current process has
	// not answered any.
	SentAt cluster.Time
	// InstanceSeenAt is when the first ping or reply of the current process arrived.
	InstanceSeenAt cluster.Time
	// Terms lists the latest terms known to the peer, indexed by shard ID. It is empty
	// if the peer runs a release that does not send terms.
	Terms []cluster.Term
}

// ID returns the peer's node ID.
func (p *Peer) ID() cluster.NodeID { return p.id }

// LastPing returns the last ping received from the peer, or its last reply to a ping,
// whichever is later. It is a zero Ping until one arrives. Callers must not modify it.
func (p *Peer) LastPing() *messages.Ping { return &p.lastPing }

// PingAge returns the time since LastPing was received, or since this process started if
// there is none.
func (p *Peer) PingAge() cluster.Time { return p.loop.Now() - p.lastPingAt }

// HasAnswered reports whether the peer has ever answered a ping.
func (p *Peer) HasAnswered() bool { return p.hasAnswered }

// Acknowledgement returns the last acknowledgement of the peer's current process.
func (p *Peer) Acknowledgement() Acknowledgement { return p.acknowledgement }

// AppendAcknowledgements appends the acknowledgements of all peers to a slice.
func (m *Members) AppendAcknowledgements(acknowledgements []Acknowledgement) []Acknowledgement {
	for _, peer := range m.Peers() {
		acknowledgements = append(acknowledgements, peer.acknowledgement)
	}
	return acknowledgements
}

// IsSuspected reports whether the peer has answered neither the last ping nor its retries.
func (p *Peer) IsSuspected() bool { return p.suspected }

// IsUnreachable reports whether the peer has left the last ping, its retries and
// Config.ProbeCount subsequent probes unanswered. An unreachable peer has not necessarily
// failed; see Members.IsFailed.
func (p *Peer) IsUnreachable() bool { return p.unreachable }

// IsHealthyFor reports whether the peer has reported for longer than the given duration
// that it reaches the store and its workers.
func (p *Peer) IsHealthyFor(duration cluster.Time) bool {
	return p.healthySince > 0 && p.loop.Now()-p.healthySince > duration
}

// beginInstance resets the state kept for a process of the peer. The acknowledgement of
// the earlier process doesn't count for the new one: the earlier process may have claimed
// shards after that acknowledgement, and the new process does not know these claims.
func (p *Peer) beginInstance(instanceID string) {
	p.instanceID, p.healthySince = instanceID, 0
	p.acknowledgement = Acknowledgement{InstanceSeenAt: p.loop.Now()}
}

// recordPing records what the peer reports about itself in a ping or a reply.
func (p *Peer) recordPing(ping *messages.Ping) {
	if p.instanceID != ping.InstanceID {
		p.beginInstance(ping.InstanceID)
	}
	p.lastPing, p.lastPingAt = *ping, p.loop.Now()
	switch {
	case !ping.StoreReachable || !ping.WorkersReachable:
		p.healthySince = 0
	case p.healthySince == 0:
		p.healthySince = p.loop.Now()
	}
}
