package controller

import (
	"slices"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

// peerProtocolVersion guards against frames of another release.
const peerProtocolVersion = 2

// peer is another controller as seen from here.
type peer struct {
	id                  cluster.NodeID
	instanceID          string
	instanceSeenAt      cluster.Time   // when its present run was first heard of
	acknowledgedCallAt  cluster.Time   // when the last call was sent that it has answered
	acknowledgedTerms   []cluster.Term // the latest terms that it knew then, by part
	lastAnswerAt        cluster.Time   // when it last answered a call
	hasAnswered         bool
	suspected           bool // marked failure-prone, being probed
	failed              bool
	lastPing            messages.Ping
	lastPingAt          cluster.Time
	healthySince        cluster.Time                   // since when it has answered and had its store
	jobNotices          jobNoticeQueue                 // of stored jobs, for it
	attemptedTransfers  map[string]cluster.ModRevision // groups of its that we have tried to take, at which mark
	failedAt            cluster.Time
	lastWriteSeenAt     cluster.Time        // when a record it wrote was last seen
	livenessModRevision cluster.ModRevision // of its nodes/<id>
	livenessRead        bool                // since it failed
	recoverySeenAt      cluster.Time        // when a new sign of life of it came after it had failed
	lastPingError       string              // what was wrong with its last call that made no sense
}

func (c *Controller) callPeer(to cluster.NodeID, timeout cluster.Time, m messages.PeerMessage, fn func(messages.PeerReply)) {
	m.Version, m.From = peerProtocolVersion, c.config.Self
	c.counters.PeerCalls++
	c.loop.Emit(messages.PeerCall{Call: eventloop.Call(c.loop, fn), To: to, Timeout: timeout, Message: m})
}

func (c *Controller) handleLivenessChange() {
	n := 1
	for _, p := range c.peers {
		if !p.failed {
			n++
		}
	}
	c.writeQueue.SetLiveControllers(n)
	c.updateCloudRate()
}

func (c *Controller) makePing(to *peer) *messages.Ping {
	g := &messages.Ping{InstanceID: c.config.InstanceID, StoreReachable: !c.writeQueue.IsUnavailableFor(2500*millisecond) && (c.writeQueue.Health.LastSuccess > 0 || c.loop.Now() < startupGrace), WorkersReachable: c.canReachWorkers(), MillisSinceContact: map[cluster.NodeID]int64{}, StoreFailing: c.writeQueue.Health.IsFailing()}
	for _, p := range c.state.Shards {
		if !p.Owned {
			continue
		}
		g.Shards = append(g.Shards, messages.ShardTerm{Shard: p.ID, Term: p.Term})
		if to != nil && p.PreferredOwner == to.id && p.Ready && !to.failed && to.healthySince > 0 &&
			c.loop.Now()-to.healthySince > c.config.Tuning.FailbackDelay && c.loop.Now()-p.OwnershipChangedAt > c.config.Tuning.FailbackDelay && c.failbackRelievesLoad(p) {
			g.FailbackOffers = append(g.FailbackOffers, p.ID)
		}
	}
	for _, id := range c.config.Nodes {
		if p := c.peers[id]; p != nil && p.hasAnswered {
			g.MillisSinceContact[id] = int64((c.loop.Now() - p.lastAnswerAt) / millisecond)
		}
	}
	g.TransferOffers = c.transferOffers()
	g.WriteDemand, g.CloudDemand = c.writeQueue.Demand(), c.cloudRate.demand
	g.ShardLoads = c.ownedShardLoads()
	g.KnownTerms, g.FeatureLevel = c.knownTerms(), dependencyFeatureLevel
	return g
}

// failbackRelievesLoad tells whether handing a part back would take work off this
// controller that it does beside other work. A part that has all the work would
// only change hands: its machines and users would wait for that for nothing.
func (c *Controller) failbackRelievesLoad(p *state.Shard) bool {
	if len(p.Jobs)+len(p.Machines) == 0 {
		return true
	}
	for _, q := range c.state.Shards {
		if q != p && q.Owned && len(q.Jobs)+len(q.Machines) > 0 {
			return true
		}
	}
	return false
}

// startupGrace is how long a new process may take to reach the store before it
// counts as unable to: one that is back within a fraction of a second should
// claim its own part again, not lose it to a neighbour that it tells so.
const startupGrace = 3 * second

// applyPingReply takes in the answer to a call sent at a time. Only answers give a
// controller's word: its own calls may have been held up for minutes.
func (c *Controller) applyPingReply(p *peer, g messages.Ping, sent cluster.Time) {
	p.hasAnswered, p.lastAnswerAt, p.suspected = true, c.loop.Now(), false
	if p.failed {
		p.failed = false
		c.loop.Log(messages.LogInfo, "peer is back", "peer", string(p.id))
		c.handleLivenessChange()
	}
	c.applyPing(p, g)
	p.acknowledgedCallAt, p.acknowledgedTerms = sent, g.KnownTerms
}

func (c *Controller) applyPing(p *peer, g messages.Ping) {
	if p.instanceID != g.InstanceID {
		p.instanceID, p.healthySince = g.InstanceID, 0
		p.instanceSeenAt, p.acknowledgedCallAt, p.acknowledgedTerms = c.loop.Now(), 0, nil
	}
	p.lastPing, p.lastPingAt = g, c.loop.Now()
	if g.FeatureLevel >= dependencyFeatureLevel {
		c.versionRegistry.recordUpgraded(p.id)
	}
	if !g.StoreReachable || !g.WorkersReachable {
		p.healthySince = 0
	} else if p.healthySince == 0 {
		p.healthySince = c.loop.Now()
	}
	if g.StoreFailing || !g.StoreReachable {
		c.writeQueue.Health.ProbeUntil = c.loop.Now() + 3*second
	}
	for key := range p.attemptedTransfers {
		if !slices.ContainsFunc(g.TransferOffers, func(o messages.TransferOffer) bool { return o.Key == key }) {
			delete(p.attemptedTransfers, key)
		}
	}
	if len(g.TransferOffers) > 0 {
		c.scheduleScaleOut()
	}
	for _, pt := range g.Shards {
		if int(pt.Shard) < 0 || int(pt.Shard) >= len(c.state.Shards) {
			continue
		}
		q := c.state.Shards[pt.Shard]
		if pt.Term > q.Term && q.Owned {
			c.handleDeposed(q.ID)
		}
		if pt.Term > q.Term && !q.Owned && !q.Acquiring {
			// The mark is not told, so a claim from here needs a read first.
			q.Owner, q.Term = p.id, pt.Term
			c.rereadShard(q)
		}
		q.FailbackOffered = q.FailbackOffered && q.Owner != p.id
	}
	for _, id := range g.FailbackOffers {
		if int(id) < 0 || int(id) >= len(c.state.Shards) {
			continue
		}
		if q := c.state.Shards[id]; q.PreferredOwner == c.config.Self && q.Owner == p.id {
			q.FailbackOffered = true
		}
	}
	c.applyTerms(g.KnownTerms)
	c.reviewShards()
}

func (c *Controller) reviewShards() {
	for _, p := range c.state.Shards {
		c.considerAcquire(p)
	}
}

// isFailed tells whether a node can't hold its parts: detected as failed and not
// heard by a third node either, or by its own word unable to serve.
func (c *Controller) isFailed(id cluster.NodeID) bool {
	p := c.peers[id]
	if p == nil {
		return false
	}
	if p.failed {
		// It serves, though calls don't reach it. Where all links between
		// controllers were refused, the first to be heard again would else take
		// the parts of those that are not heard yet.
		if p.recoverySeenAt > 0 && c.loop.Now()-p.recoverySeenAt < 6*second {
			return false
		}
		alone := len(c.peers) > 1
		for _, o := range c.config.Nodes {
			q := c.peers[o]
			if q == nil || q == p || q.failed || c.loop.Now()-q.lastPingAt > 3*second {
				continue
			}
			alone = false
			if ms, ok := q.lastPing.MillisSinceContact[id]; ok && ms < 3000 {
				return false // only our own link to it is cut
			}
		}
		// A node that hears nobody is more likely cut off than alone in the
		// world: it waits longer and takes records being written as a sign of life.
		// After its own cut it must have had the store for a while to see those.
		return !alone || c.loop.Now()-p.failedAt > 6*second && c.loop.Now()-p.lastWriteSeenAt > 6*second && c.loop.Now()-c.writeQueue.Health.HealthySince > 8*second
	}
	if !p.hasAnswered || c.loop.Now()-p.lastPingAt > 3*second {
		return false
	}
	// Its store counts as lost to it alone only if ours has served us all along:
	// after an outage the first to be served would else take all the parts.
	// What an idle controller heard of the store long ago says nothing.
	return !p.lastPing.StoreReachable && c.writeQueue.Health.IsStable(c.loop.Now()) ||
		!p.lastPing.WorkersReachable && c.canReachWorkers() && c.workerReachability.hasHeartbeatWithin(c.loop.Now(), 2*c.config.HeartbeatInterval)
}

func (c *Controller) handlePeerRequest(e messages.PeerRequest) {
	m := e.Message
	p := c.peers[m.From]
	if p == nil || m.Version != peerProtocolVersion {
		c.respondError(e.Request, messages.ReplyBadRequest, 0, "unknown sender or version")
		return
	}
	reply := func(r messages.PeerMessage) {
		r.Version, r.From = peerProtocolVersion, c.config.Self
		c.loop.Emit(messages.Respond{Request: e.Request, Status: messages.ReplyOK, Peer: &r})
	}
	switch {
	case m.Ping != nil:
		if !c.isValidPing(p, m.Ping) {
			c.respondError(e.Request, messages.ReplyBadRequest, 0, p.lastPingError)
			return
		}
		c.applyPing(p, *m.Ping)
		reply(messages.PeerMessage{Ping: c.makePing(p)})
	case m.Notice != nil:
		for _, kv := range m.Notice.Keys {
			c.applyJobRecord(kv, nil)
		}
		reply(messages.PeerMessage{Status: messages.ReplyOK})
	case m.Query != nil:
		c.answerJobQuery(m.Query.IDs, func(v []cluster.JobView) { reply(messages.PeerMessage{Views: v}) })
	case m.Submission != nil:
		spec := m.Submission.Spec
		spec.ID = m.Submission.ID
		if spec.ID == "" || spec.Tasks < 1 {
			c.respondError(e.Request, messages.ReplyBadRequest, 0, "no job")
			return
		}
		c.submit(spec, 0, "", func(r messages.Respond) {
			a := messages.PeerMessage{Status: r.Status, RetryAfter: r.RetryAfter, Reason: r.Error}
			if r.View != nil {
				a.Views = []cluster.JobView{*r.View}
			}
			reply(a)
		})
	case m.Cancel != "":
		c.cancelOwnedJob(m.Cancel, func(status messages.ReplyStatus, v *cluster.JobView) {
			r := messages.PeerMessage{Status: status}
			if v != nil {
				r.Views = []cluster.JobView{*v}
			}
			reply(r)
		})
	default:
		c.respondError(e.Request, messages.ReplyBadRequest, 0, "empty message")
	}
}

// handleHealth tells whether this node can take requests.
func (c *Controller) handleHealth(e messages.Health) {
	if c.writeQueue.Health.LastSuccess == 0 || len(c.state.MachineTypes) == 0 && c.loop.Now() < 10*second {
		c.respondError(e.Request, messages.ReplyUnavailable, 0, "starting")
		return
	}
	if c.writeQueue.IsUnavailableFor(2500 * millisecond) {
		for _, p := range c.peers {
			if !p.failed && p.lastPing.StoreReachable && c.loop.Now()-p.lastPingAt < 3*second {
				c.respondError(e.Request, messages.ReplyUnavailable, 0, "store out of reach")
				return
			}
		}
	}
	c.loop.Emit(messages.Respond{Request: e.Request, Status: messages.ReplyOK})
}
