package membership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

// Peer is another controller as seen from here.
//
// What it said of an earlier process of its own is forgotten with the first ping of
// the next, but for the fact that it answered.
type Peer struct {
	id   cluster.NodeID
	loop *eventloop.Loop

	instanceID      string
	lastPing        messages.Ping
	lastPingAt      cluster.Time
	healthySince    cluster.Time // since when it has said that it reaches the state service and its workers; 0: it has not
	lastPingError   string       // what was wrong with its last invalid ping
	lastWriteSeenAt cluster.Time // when a record that it wrote was last seen

	hasAnswered     bool
	lastAnswerAt    cluster.Time // when it last answered a ping
	acknowledgement Acknowledgement

	suspected        bool // it has answered neither a ping nor the retries
	unreachable      bool // nor the probes after them
	unreachableSince cluster.Time

	livenessRead        bool // since it became unreachable
	livenessModRevision cluster.ModRevision
	recoverySeenAt      cluster.Time // when its liveness key was last seen to change while it was unreachable
}

// Acknowledgement is what a peer has last answered to a ping.
type Acknowledgement struct {
	// SentAt is when that ping was sent; 0: the peer's present process has answered
	// none.
	SentAt cluster.Time
	// InstanceSeenAt is when the peer's present process was first heard of.
	InstanceSeenAt cluster.Time
	// Terms are the latest that the peer knew, by shard; none from an older release.
	Terms []cluster.Term
}

// ID is the peer's node.
func (p *Peer) ID() cluster.NodeID { return p.id }

// LastPing is what the peer last said, by a ping or the answer to one; the zero
// Ping until then. It must not be changed.
func (p *Peer) LastPing() *messages.Ping { return &p.lastPing }

// PingAge is how long ago the peer said that.
func (p *Peer) PingAge() cluster.Time { return p.loop.Now() - p.lastPingAt }

// HasAnswered tells whether the peer has ever answered a ping.
func (p *Peer) HasAnswered() bool { return p.hasAnswered }

// Acknowledgement is what the peer's present process has last answered.
func (p *Peer) Acknowledgement() Acknowledgement { return p.acknowledgement }

// AppendAcknowledgements appends what the peers have last answered to a slice.
func (m *Members) AppendAcknowledgements(acknowledgements []Acknowledgement) []Acknowledgement {
	for _, peer := range m.Peers() {
		acknowledgements = append(acknowledgements, peer.acknowledgement)
	}
	return acknowledgements
}

// IsSuspected tells whether the peer has not answered the last ping and its retries.
func (p *Peer) IsSuspected() bool { return p.suspected }

// IsUnreachable tells whether the peer has not answered the probes after that
// either. Whether it has failed is decided by Members.IsFailed.
func (p *Peer) IsUnreachable() bool { return p.unreachable }

// IsHealthyFor tells whether the peer has said for longer than a time that it
// reaches the state service and its workers.
func (p *Peer) IsHealthyFor(duration cluster.Time) bool {
	return p.healthySince > 0 && p.loop.Now()-p.healthySince > duration
}

// beginInstance forgets what an earlier process of the peer has acknowledged: the
// next one may have acquired shards and forgotten it.
func (p *Peer) beginInstance(instanceID string) {
	p.instanceID, p.healthySince = instanceID, 0
	p.acknowledgement = Acknowledgement{InstanceSeenAt: p.loop.Now()}
}

// recordPing takes in what the peer says of itself.
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
