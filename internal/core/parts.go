package core

import (
	"encoding/json"
	"strconv"
	"strings"

	"stairrelay/internal/grouprecord"
	"stairrelay/internal/model"
)

// part is a set of teams and some machines with one owner at a time.
type part struct {
	id     Part
	home   NodeID
	holder NodeID
	term   Term
	mark   Mark // of parts/<n> as last seen; the claim's mark while held
	seen   bool // read from the store at least once

	held      bool
	ready     bool // the checkpoint has been read
	claiming  bool
	breaks    int             // how often its records made no sense
	restUntil Time            // not claimed again before
	aside     map[string]Mark // group records that make no sense, being cleared
	early     []KV            // jobs heard of while it was being read
	offered   bool            // the holder is willing to hand it back to us
	since     Time
	changes   []Time // when it changed hands, the last minute's
	claim     Epoch
	provenAt  Time   // when the last exchange with the store began that showed the claim in force
	attempts  uint64 // starts numbered under attemptBase
	// attemptBase is a store change of this holder's that no other numbers starts
	// by: its claim, or a later one once the claim's numbers are used up.
	attemptBase Epoch
	lastStored  Epoch  // change of the last transaction of the part under the claim
	planned     uint64 // starts numbered since the claim
	rentals     map[string]*rental
	machines    []*machine // held here, by id
	use         teamUse    // of their tasks
	jobs        []*job
	order       []*job        // js as they are served, as of orderAt; nil: to be worked out
	owed        map[*job]bool // those within their team's guarantee, as of then
	orderAt     Time
	toEnlist    []grouprecord.Machine
	offerAfter  Time
	preemptAt   Time
	unanswered  int  // machines taken over that have not acknowledged this claim's token
	ackedAt     Time // when the last one did
	avoidSpot   bool // a job of it would lose much on spot machines
	refused     map[rentOption]Time
	refusals    map[rentOption]int // in a row
	rentedAt    Time

	confirmations confirmations
	progress      partProgress
	storedTxns    uint64 // transactions of the part that were stored
}

type partRecord struct {
	Holder NodeID `json:"holder"`
	Term   Term   `json:"term"`
	W      string `json:"w"`
	// Upgraded lists the controllers known to run a release that understands
	// jobs that await others. Absent in releases before pipelines.
	Upgraded []NodeID `json:"up,omitempty"`
}

func (p *part) key() string { return "parts/" + strconv.Itoa(int(p.id)) }

// heldUnder tells whether the part is still held under a claim.
func (p *part) heldUnder(claim Epoch) bool { return p.held && p.claim == claim }

// changed notes that the part has a new holder.
func (p *part) changed(now Time) {
	p.since = now
	keep := p.changes[:0]
	for _, t := range p.changes {
		if now-t < 60*second {
			keep = append(keep, t)
		}
	}
	p.changes = append(keep, now)
}

// settled damps quarrels: nodes that each believe the other to be lost would
// else claim a part from one another several times a second. Every change of
// hands within a minute doubles the pause before the next.
func (p *part) settled(now Time) bool {
	n := 0
	for _, t := range p.changes {
		if now-t < 60*second {
			n++
		}
	}
	if n <= 1 {
		return now-p.since > 2*second || n == 0
	}
	return now-p.since > min(second<<n, 30*second)
}

// nextAttempt numbers a start. A number is never given twice: an attempt that a
// worker still remembers would not be started again.
func (p *part) nextAttempt() Attempt {
	if p.attempts == model.MaxAttemptCount && p.lastStored > p.attemptBase {
		p.attemptBase, p.attempts = p.lastStored, 0
	}
	p.attempts++
	p.planned++
	return model.MakeAttempt(uint64(p.attemptBase), p.attempts)
}

// loadParts reads who holds what and then follows the changes.
func (c *Core) loadParts() {
	c.list("parts/", func(r ListReply) {
		if r.Out != OK {
			c.after(second/2, c.loadParts)
			return
		}
		for _, p := range c.parts {
			p.seen = true
		}
		for _, kv := range r.Items {
			c.learnPart(kv)
		}
		c.partsEpoch = r.Epoch
		for _, p := range c.parts {
			c.considerClaim(p)
		}
		c.watchParts()
	})
}

func (c *Core) watchParts() { c.follow("parts/", &c.partsEpoch, second/10, c.learnPart, c.loadParts) }

// follow watches the keys with a prefix from a revision on, at a pace that
// gathers changes; reload is called when the revision is too old.
func (c *Core) follow(prefix string, since *Epoch, pace Time, learn func(KV), reload func()) {
	c.emit(StoreWatch{Call: c.call(func(b any) {
		r := b.(WatchReply)
		again := func() { c.follow(prefix, since, pace, learn, reload) }
		switch r.Out {
		case OK:
			for _, kv := range r.Items {
				learn(kv)
			}
			*since = max(*since, r.Epoch)
			c.after(pace, again)
		case Gone:
			c.logf(LogInfo, "changes missed, reading all keys again", "prefix", prefix, "since", uint64(*since))
			c.after(pace, reload)
		default:
			c.after(second, again)
		}
	}), Prefix: prefix, Since: *since, Wait: 20 * second})
}

func (c *Core) learnPart(kv KV) {
	n, err := strconv.Atoi(strings.TrimPrefix(kv.Key, "parts/"))
	if err != nil || n < 0 || n >= len(c.parts) || kv.Value == nil {
		return
	}
	p := c.parts[n]
	if kv.Mark > p.mark {
		c.signOfLife(kv)
	}
	var rec partRecord
	if json.Unmarshal(kv.Value, &rec) != nil || rec.Holder == "" {
		c.logf(LogError, "unreadable record", "key", kv.Key)
		return
	}
	c.releases.learn(rec.Upgraded...)
	if kv.Mark <= p.mark {
		return
	}
	if p.held && nonceBoot(rec.W) != c.cfg.Boot {
		c.fenced(p.id)
	}
	if p.claiming && nonceBoot(rec.W) == c.cfg.Boot {
		return // our own claim, seen before its answer
	}
	p.mark, p.holder, p.term, p.offered = kv.Mark, rec.Holder, rec.Term, false
	p.changed(c.now)
}

func nonceBoot(w string) string {
	if i := strings.LastIndexByte(w, '-'); i > 0 {
		return w[:i]
	}
	return w
}

func (c *Core) rereadPart(p *part) {
	begun := c.now
	c.get(p.key(), func(r GetReply) {
		if r.Out == OK {
			c.learnPart(r.KV)
			c.proven(p, r.KV.Mark, begun)
		}
	})
}

// considerClaim decides whether this node should claim a part. Nothing here
// is needed for safety: a wrong claim costs a pause, never a rule.
func (c *Core) considerClaim(p *part) {
	if p.held || p.claiming || c.now < p.restUntil || !p.seen || c.storeLost(second) {
		return
	}
	self := c.cfg.Self
	switch {
	case p.holder == "" && p.home == self:
	case p.holder == self: // from an earlier life of this node
	case p.home == self && p.offered && p.settled(c.now):
	case p.holder == "":
		if !c.lost(p.home) || !c.successor(p.home) {
			return
		}
	default:
		if !p.settled(c.now) || !c.lost(p.holder) || !c.successor(p.holder) {
			return
		}
	}
	c.claimPart(p)
}

// successor tells whether this node is the first after the lost one that could serve.
func (c *Core) successor(lost NodeID) bool {
	n := len(c.cfg.Nodes)
	at := 0
	for i, id := range c.cfg.Nodes {
		if id == lost {
			at = i
		}
	}
	for k := 1; k < n; k++ {
		id := c.cfg.Nodes[(at+k)%n]
		if id == c.cfg.Self {
			return true
		}
		if !c.lost(id) {
			return false
		}
	}
	return false
}

func (c *Core) claimPart(p *part) {
	p.claiming = true
	prev, term := p.holder, p.term+1
	c.writer.add(prioClaim, &write{
		part: p.id, keys: []string{p.key()},
		build: func(nonce string) ([]TxnOp, []Mark) {
			v, _ := json.Marshal(partRecord{Holder: c.cfg.Self, Term: term, W: nonce, Upgraded: c.releases.list()})
			return []TxnOp{{p.key(), v}}, []Mark{p.mark}
		},
		ok: func(e Epoch) {
			p.claiming = false
			if Mark(e) < p.mark {
				return // overtaken already
			}
			p.held, p.ready, p.offered = true, false, false
			p.holder, p.term, p.mark, p.claim, p.since = c.cfg.Self, term, Mark(e), e, c.now
			p.changed(c.now)
			p.attempts, p.attemptBase, p.lastStored = 0, e, e
			p.rentals = map[string]*rental{}
			p.refused, p.refusals = map[rentOption]Time{}, map[rentOption]int{}
			c.logf(LogInfo, "claimed part", "part", int(p.id), "term", uint64(term), "from", string(prev))
			c.loadPart(p)
		},
		conflict: func() {
			p.claiming = false
			c.rereadPart(p)
		},
	})
}

// fenced is called when another claim of the part is known: all that this node
// believed of the part is worth nothing from now on.
func (c *Core) fenced(id Part) {
	p := c.parts[id]
	if !p.held {
		return
	}
	c.logf(LogInfo, "lost part", "part", int(id), "term", uint64(p.term))
	p.aside, p.early = nil, nil
	p.held, p.ready, p.since = false, false, c.now
	c.holdingChanges++
	for _, m := range p.machines {
		c.dropMachine(m)
	}
	for _, j := range p.jobs {
		c.dropJob(j)
	}
	for _, gid := range sortedKeys(c.groups) {
		if c.groups[gid].part == id {
			delete(c.groups, gid)
		}
	}
	for _, fn := range p.confirmations.waiting {
		fn(false)
	}
	p.confirmations.waiting = nil
	c.writer.dropPart(id)
	c.rereadPart(p)
}

// broken gives up a part whose records were changed in a way that this process
// can't account for: nothing is guessed, it is claimed again after a pause and
// read anew. Meanwhile every controller answers from the store. The pauses are
// bounded, so that no job goes unanswered or its part unserved for long.
func (c *Core) broken(p *part, key, why string) {
	c.logf(LogError, "impossible record", "key", key, "why", why)
	p.restUntil = c.now + min(2*second<<min(p.breaks, 4), 20*second)
	p.breaks++
	c.fenced(p.id)
}

// suspect follows a record that another writer changed. Mostly the part has a
// new holder of whom this one has not heard; only if it still is ours does the
// record make no sense.
func (c *Core) suspect(p *part, key, why string) {
	claim := p.claim
	c.get(p.key(), func(r GetReply) {
		if !p.heldUnder(claim) {
			return
		}
		if r.Out != OK {
			c.after(second/2, func() { c.suspect(p, key, why) })
			return
		}
		c.learnPart(r.KV)
		if p.heldUnder(claim) {
			c.broken(p, key, why)
		}
	})
}
