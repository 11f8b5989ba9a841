package core

import (
	"slices"
)

// peerVersion guards against frames of another release.
const peerVersion = 2

// peer is another controller as seen from here.
type peer struct {
	id       NodeID
	boot     string
	bootAt   Time   // when its present run was first heard of
	wordAt   Time   // when the last call was sent that it has answered
	terms    []Term // the latest terms that it knew then, by part
	answered Time   // when it last answered a call
	heard    bool
	prone    bool // marked failure-prone, being probed
	failed   bool
	ping     Ping
	pingAt   Time
	goodFrom Time            // since when it has answered and had its store
	notices  notices         // of stored jobs, for it
	taken    map[string]Mark // groups of its that we have tried to take, at which mark
	failedAt Time
	wroteAt  Time   // when a record it wrote was last seen
	beat     Mark   // of its nodes/<id>
	beatRead bool   // since it failed
	aliveAt  Time   // when a new sign of life of it came after it had failed
	nonsense string // what was wrong with its last call that made no sense
}

func (c *Core) ask(to NodeID, timeout Time, m PeerMsg, fn func(PeerReply)) {
	m.Version, m.From = peerVersion, c.cfg.Self
	c.counters.PeerCalls++
	c.emit(PeerCall{Call: c.call(func(b any) { fn(b.(PeerReply)) }), To: to, Timeout: timeout, Msg: m})
}

func (c *Core) livenessChanged() {
	n := 1
	for _, p := range c.peers {
		if !p.failed {
			n++
		}
	}
	c.writer.setShare(n)
	c.divideCloud()
}

func (c *Core) makePing(to *peer) *Ping {
	g := &Ping{Boot: c.cfg.Boot, StoreOK: !c.storeLost(2500*milli) && (c.storeHealth.lastOK > 0 || c.now < startGrace), WorkersOK: c.workersOK(), Heard: map[NodeID]int64{}, StoreBad: c.storeHealth.failing}
	for _, p := range c.parts {
		if !p.held {
			continue
		}
		g.Parts = append(g.Parts, PartTerm{p.id, p.term})
		if to != nil && p.home == to.id && p.ready && !to.failed && to.goodFrom > 0 &&
			c.now-to.goodFrom > c.cfg.Tuning.HandBackAfter && c.now-p.since > c.cfg.Tuning.HandBackAfter && c.relieves(p) {
			g.Offer = append(g.Offer, p.id)
		}
	}
	for _, id := range c.cfg.Nodes {
		if p := c.peers[id]; p != nil && p.heard {
			g.Heard[id] = int64((c.now - p.answered) / milli)
		}
	}
	g.Groups = c.offers()
	g.Puts, g.Cloud = c.writer.demand, c.cloud.demand
	g.Loads = c.loads()
	g.Terms, g.Level = c.terms(), pipelineLevel
	return g
}

// relieves tells whether handing a part back would take work off this
// controller that it does beside other work. A part that has all the work would
// only change hands: its machines and users would wait for that for nothing.
func (c *Core) relieves(p *part) bool {
	if len(p.jobs)+len(p.machines) == 0 {
		return true
	}
	for _, q := range c.parts {
		if q != p && q.held && len(q.jobs)+len(q.machines) > 0 {
			return true
		}
	}
	return false
}

// startGrace is how long a new process may take to reach the store before it
// counts as unable to: one that is back within a fraction of a second should
// claim its own part again, not lose it to a neighbour that it tells so.
const startGrace = 3 * second

// heardPing takes in the answer to a call sent at a time. Only answers give a
// controller's word: its own calls may have been held up for minutes.
func (c *Core) heardPing(p *peer, g Ping, sent Time) {
	p.heard, p.answered, p.prone = true, c.now, false
	if p.failed {
		p.failed = false
		c.logf(LogInfo, "peer is back", "peer", string(p.id))
		c.livenessChanged()
	}
	c.takePing(p, g)
	p.wordAt, p.terms = sent, g.Terms
}

func (c *Core) takePing(p *peer, g Ping) {
	if p.boot != g.Boot {
		p.boot, p.goodFrom = g.Boot, 0
		p.bootAt, p.wordAt, p.terms = c.now, 0, nil
	}
	p.ping, p.pingAt = g, c.now
	if g.Level >= pipelineLevel {
		c.releases.learn(p.id)
	}
	if !g.StoreOK || !g.WorkersOK {
		p.goodFrom = 0
	} else if p.goodFrom == 0 {
		p.goodFrom = c.now
	}
	if g.StoreBad || !g.StoreOK {
		c.storeHealth.probeUntil = c.now + 3*second
	}
	for key := range p.taken {
		if !slices.ContainsFunc(g.Groups, func(o GroupOffer) bool { return o.Key == key }) {
			delete(p.taken, key)
		}
	}
	if len(g.Groups) > 0 {
		c.rentSoon()
	}
	for _, pt := range g.Parts {
		if int(pt.Part) < 0 || int(pt.Part) >= len(c.parts) {
			continue
		}
		q := c.parts[pt.Part]
		if pt.Term > q.term && q.held {
			c.fenced(q.id)
		}
		if pt.Term > q.term && !q.held && !q.claiming {
			// The mark is not told, so a claim from here needs a read first.
			q.holder, q.term = p.id, pt.Term
			c.rereadPart(q)
		}
		q.offered = q.offered && q.holder != p.id
	}
	for _, id := range g.Offer {
		if int(id) < 0 || int(id) >= len(c.parts) {
			continue
		}
		if q := c.parts[id]; q.home == c.cfg.Self && q.holder == p.id {
			q.offered = true
		}
	}
	c.hearTerms(g.Terms)
	c.reviewParts()
}

func (c *Core) reviewParts() {
	for _, p := range c.parts {
		c.considerClaim(p)
	}
}

// lost tells whether a node can't hold its parts: detected as failed and not
// heard by a third node either, or by its own word unable to serve.
func (c *Core) lost(id NodeID) bool {
	p := c.peers[id]
	if p == nil {
		return false
	}
	if p.failed {
		// It serves, though calls don't reach it. Where all links between
		// controllers were refused, the first to be heard again would else take
		// the parts of those that are not heard yet.
		if p.aliveAt > 0 && c.now-p.aliveAt < 6*second {
			return false
		}
		alone := len(c.peers) > 1
		for _, o := range c.cfg.Nodes {
			q := c.peers[o]
			if q == nil || q == p || q.failed || c.now-q.pingAt > 3*second {
				continue
			}
			alone = false
			if ms, ok := q.ping.Heard[id]; ok && ms < 3000 {
				return false // only our own link to it is cut
			}
		}
		// A node that hears nobody is more likely cut off than alone in the
		// world: it waits longer and takes records being written as a sign of life.
		// After its own cut it must have had the store for a while to see those.
		return !alone || c.now-p.failedAt > 6*second && c.now-p.wroteAt > 6*second && c.now-c.storeHealth.servedSince > 8*second
	}
	if !p.heard || c.now-p.pingAt > 3*second {
		return false
	}
	// Its store counts as lost to it alone only if ours has served us all along:
	// after an outage the first to be served would else take all the parts.
	// What an idle controller heard of the store long ago says nothing.
	return !p.ping.StoreOK && c.storeHealth.steady(c.now) ||
		!p.ping.WorkersOK && c.workersOK() && c.workerContact.heardAny(c.now, 2*c.cfg.ReportEvery)
}

func (c *Core) onPeer(e PeerAsk) {
	m := e.Msg
	p := c.peers[m.From]
	if p == nil || m.Version != peerVersion {
		c.refuse(e.Req, ReplyMalformed, 0, "unknown sender or version")
		return
	}
	reply := func(r PeerMsg) {
		r.Version, r.From = peerVersion, c.cfg.Self
		c.emit(Respond{Req: e.Req, Status: ReplyOK, Peer: &r})
	}
	switch {
	case m.Ping != nil:
		if !c.makesSense(p, m.Ping) {
			c.refuse(e.Req, ReplyMalformed, 0, p.nonsense)
			return
		}
		c.takePing(p, *m.Ping)
		reply(PeerMsg{Ping: c.makePing(p)})
	case m.Tell != nil:
		for _, kv := range m.Tell.Keys {
			c.learnJob(kv, nil)
		}
		reply(PeerMsg{Status: ReplyOK})
	case m.Ask != nil:
		c.answerAsk(m.Ask.IDs, func(v []JobView) { reply(PeerMsg{Views: v}) })
	case m.Submit != nil:
		spec := m.Submit.Spec
		spec.ID = m.Submit.ID
		if spec.ID == "" || spec.Tasks < 1 {
			c.refuse(e.Req, ReplyMalformed, 0, "no job")
			return
		}
		c.submit(spec, 0, "", func(r Respond) {
			a := PeerMsg{Status: r.Status, After: r.RetryAfter, Why: r.Error}
			if r.View != nil {
				a.Views = []JobView{*r.View}
			}
			reply(a)
		})
	case m.Cancel != "":
		c.cancelHere(m.Cancel, func(status ReplyStatus, v *JobView) {
			r := PeerMsg{Status: status}
			if v != nil {
				r.Views = []JobView{*v}
			}
			reply(r)
		})
	default:
		c.refuse(e.Req, ReplyMalformed, 0, "empty message")
	}
}

// onHealth tells whether this node can take requests.
func (c *Core) onHealth(e Health) {
	if c.storeHealth.lastOK == 0 || len(c.types) == 0 && c.now < 10*second {
		c.refuse(e.Req, ReplyUnavailable, 0, "starting")
		return
	}
	if c.storeLost(2500 * milli) {
		for _, p := range c.peers {
			if !p.failed && p.ping.StoreOK && c.now-p.pingAt < 3*second {
				c.refuse(e.Req, ReplyUnavailable, 0, "store out of reach")
				return
			}
		}
	}
	c.emit(Respond{Req: e.Req, Status: ReplyOK})
}
