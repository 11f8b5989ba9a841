package core

import (
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/sharing"
)

// Idle machines move between parts by groups: one part offers, the other takes.

// GroupOffer tells a part of a group of idle machines that it may take.
type GroupOffer struct {
	Key   string      `cbor:"Key"`
	Mark  Mark        `cbor:"Mark"`
	To    Part        `cbor:"To"`
	Kinds []KindCount `cbor:"Kinds"`
}

// KindCount counts like machines.
type KindCount struct {
	Type string `cbor:"Type"`
	Zone string `cbor:"Zone"`
	Spot bool   `cbor:"Spot"`
	N    int    `cbor:"N"`
}

// offers lists the groups that the parts held here offer to others.
func (c *Core) offers() []GroupOffer {
	var out []GroupOffer
	for _, id := range sortedKeys(c.groups) {
		g := c.groups[id]
		if g.offer == nil || g.writing {
			continue
		}
		if len(out) == maxOffers {
			break
		}
		n := map[grouprecord.Kind]int{}
		var kinds []grouprecord.Kind
		for _, m := range g.list() {
			k := m.kind()
			if n[k] == 0 {
				kinds = append(kinds, k)
			}
			n[k]++
		}
		o := GroupOffer{Key: g.key(), Mark: g.mark, To: g.offer.to}
		for _, k := range kinds {
			o.Kinds = append(o.Kinds, KindCount{k.Type, k.Zone, k.Spot, n[k]})
		}
		out = append(out, o)
	}
	return out
}

// endOffers takes back what nobody took in time, whether or not anybody still
// lacks machines: an offered group gets no work.
func (c *Core) endOffers() {
	for _, g := range c.groups {
		if g.offer != nil && c.now > g.offer.until {
			g.offer = nil
			c.placement.request()
		}
	}
}

// offerIdle offers a part's idle machines to those that lack some. They are
// gathered into groups of their own, so that one write moves many.
func (c *Core) offerIdle(p *part, plan *sharing.Plan) {
	if c.now < p.offerAfter {
		return
	}
	idle := c.idleOf(p)
	if len(idle) == 0 {
		return
	}
	work := c.unplaced(p)
	var spare []*machine
	for _, m := range idle {
		if m.yield || c.fill(work, c.types[m.typ].Cap, func(j *job) bool { return c.allowedOn(j, m) }) == 0 {
			spare = append(spare, m)
		}
	}
	offered := map[Part]Amount{}
	for _, g := range c.groups {
		if g.part == p.id && g.offer != nil {
			offered[g.offer.to] += c.cpus(g)
		}
	}
	for _, recipient := range plan.Recipients(p.id) {
		lack := recipient.Amount - offered[recipient.Part]
		var ms []*machine
		groups, bytes := map[*group]bool{}, 0
		for len(spare) > 0 && lack > 0 && len(ms) < c.groupMachines() {
			m := spare[0]
			if !groups[m.group] {
				// All their records are rewritten in one transaction.
				if len(groups) == c.cfg.TxnOps-1 || bytes+m.group.length() > maxGatheredBytes && len(groups) > 0 {
					break
				}
				groups[m.group] = true
				bytes += m.group.length()
			}
			spare = spare[1:]
			ms = append(ms, m)
			lack -= c.types[m.typ].Cap.CPU
		}
		if len(ms) == 0 {
			continue
		}
		p.offerAfter = c.now + second
		offer := func(g *group) {
			if g != nil {
				g.offer = &groupOffer{to: recipient.Part, until: c.now + 5*second}
			}
		}
		if len(groups) == 1 && len(ms) == len(ms[0].group.machines) {
			offer(ms[0].group)
			continue
		}
		for _, m := range ms {
			m.yield = true
		}
		c.regroup(p, ms, nil, prioStart, offer)
	}
}

// cpus is what a group's machines have in all.
func (c *Core) cpus(g *group) Amount {
	var sum Amount
	for _, m := range g.machines {
		sum += c.types[m.typ].Cap.CPU
	}
	return sum
}

// takeOffered takes groups that others offer to a part, if it has a use for them.
func (c *Core) takeOffered(p *part, work []waitingWork) {
	use := func(o GroupOffer) bool {
		took := 0
		for _, k := range o.Kinds {
			for range k.N {
				took += c.fill(work, c.types[k.Type].Cap, func(j *job) bool { return c.optionAllowed(j, rentOption{k.Type, k.Zone, k.Spot}) })
			}
		}
		return took > 0
	}
	for _, id := range c.cfg.Nodes {
		q := c.peers[id]
		if q == nil || q.failed || c.now-q.pingAt > 3*second {
			continue
		}
		for _, o := range q.ping.Groups {
			if o.To != p.id || q.taken[o.Key] == o.Mark || !use(o) {
				continue
			}
			if q.taken == nil {
				q.taken = map[string]Mark{}
			}
			q.taken[o.Key] = o.Mark
			c.takeGroup(p, o.Key, o.Mark)
		}
	}
	for _, o := range c.offers() { // parts held here have nobody to ask
		if o.To == p.id && use(o) {
			c.takeGroup(p, o.Key, o.Mark)
		}
	}
}
