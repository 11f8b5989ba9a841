package controller

import (
	"maps"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// Idle machines move between parts by groups: one part offers, the other takes.

// transferOffers lists the groups that the parts held here offer to others.
func (c *Controller) transferOffers() []messages.TransferOffer {
	var out []messages.TransferOffer
	for _, id := range slices.Sorted(maps.Keys(c.machineGroups)) {
		g := c.machineGroups[id]
		if g.offer == nil || g.writePending {
			continue
		}
		if len(out) == membership.MaxTransferOffers {
			break
		}
		n := map[grouprecord.Kind]int{}
		var kinds []grouprecord.Kind
		for _, m := range g.sortedMachines() {
			k := m.kind()
			if n[k] == 0 {
				kinds = append(kinds, k)
			}
			n[k]++
		}
		o := messages.TransferOffer{Key: g.key(), ModRevision: g.modRevision, Recipient: g.offer.toShard}
		for _, k := range kinds {
			o.Kinds = append(o.Kinds, messages.MachineKindCount{Type: k.Type, Zone: k.Zone, Spot: k.Spot, Count: n[k]})
		}
		out = append(out, o)
	}
	return out
}

// expireOffers takes back what nobody took in time, whether or not anybody still
// lacks machines: an offered group gets no work.
func (c *Controller) expireOffers() {
	for _, g := range c.machineGroups {
		if g.offer != nil && c.loop.Now() > g.offer.until {
			g.offer = nil
			c.schedulingTrigger.request()
		}
	}
}

// offerIdleMachines offers a part's idle machines to those that lack some. They are
// gathered into groups of their own, so that one write moves many.
func (c *Controller) offerIdleMachines(p *shard, plan *fairshare.Plan) {
	if c.loop.Now() < p.nextOfferAt {
		return
	}
	idle := c.idleMachines(p)
	if len(idle) == 0 {
		return
	}
	work := c.listPendingWork(p)
	var spare []*machine
	for _, m := range idle {
		if m.cordoned || c.packWork(work, c.machineTypes[m.machineType].Capacity, func(j *job) bool { return c.isAllowedOn(j, m) }) == 0 {
			spare = append(spare, m)
		}
	}
	offered := map[cluster.ShardID]cluster.Amount{}
	for _, g := range c.machineGroups {
		if g.shardID == p.id && g.offer != nil {
			offered[g.offer.toShard] += c.groupCPU(g)
		}
	}
	for _, recipient := range plan.Recipients(p.id) {
		lack := recipient.Amount - offered[recipient.Shard]
		var ms []*machine
		groups, bytes := map[*machineGroup]bool{}, 0
		for len(spare) > 0 && lack > 0 && len(ms) < c.groupMachines() {
			m := spare[0]
			if !groups[m.group] {
				// All their records are rewritten in one transaction.
				if len(groups) == c.config.MaxTxnOps-1 || bytes+m.group.estimatedSize() > writequeue.MaxBatchBytes && len(groups) > 0 {
					break
				}
				groups[m.group] = true
				bytes += m.group.estimatedSize()
			}
			spare = spare[1:]
			ms = append(ms, m)
			lack -= c.machineTypes[m.machineType].Capacity.CPU
		}
		if len(ms) == 0 {
			continue
		}
		p.nextOfferAt = c.loop.Now() + second
		offer := func(g *machineGroup) {
			if g != nil {
				g.offer = &groupOffer{toShard: recipient.Shard, until: c.loop.Now() + 5*second}
			}
		}
		if len(groups) == 1 && len(ms) == len(ms[0].group.machines) {
			offer(ms[0].group)
			continue
		}
		for _, m := range ms {
			m.cordoned = true
		}
		c.regroup(p, ms, nil, writequeue.Start, offer)
	}
}

// groupCPU is what a group's machines have in all.
func (c *Controller) groupCPU(g *machineGroup) cluster.Amount {
	var sum cluster.Amount
	for _, m := range g.machines {
		sum += c.machineTypes[m.machineType].Capacity.CPU
	}
	return sum
}

// acceptOffers takes groups that others offer to a part, if it has a use for them.
func (c *Controller) acceptOffers(p *shard, work []pendingWork) {
	use := func(o messages.TransferOffer) bool {
		took := 0
		for _, k := range o.Kinds {
			for range k.Count {
				took += c.packWork(work, c.machineTypes[k.Type].Capacity, func(j *job) bool { return c.isOptionAllowed(j, provisioningOption{k.Type, k.Zone, k.Spot}) })
			}
		}
		return took > 0
	}
	for _, peer := range c.members.Peers() {
		if peer.IsUnreachable() || peer.PingAge() > membership.PingFreshness {
			continue
		}
		for _, o := range peer.LastPing().TransferOffers {
			if o.Recipient != p.id || c.attemptedTransfers.contains(peer.ID(), o) || !use(o) {
				continue
			}
			c.attemptedTransfers.record(peer.ID(), o)
			c.acquireGroup(p, o.Key, o.ModRevision)
		}
	}
	for _, o := range c.transferOffers() { // parts held here have nobody to ask
		if o.Recipient == p.id && use(o) {
			c.acquireGroup(p, o.Key, o.ModRevision)
		}
	}
}
