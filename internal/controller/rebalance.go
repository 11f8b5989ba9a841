package controller

import (
	"maps"
	"slices"

	"stairrelay/internal/scheduling"
	"stairrelay/internal/state"

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
	for _, id := range slices.Sorted(maps.Keys(c.state.Groups)) {
		g := c.state.Groups[id]
		if g.Offer == nil || g.WritePending {
			continue
		}
		if len(out) == membership.MaxTransferOffers {
			break
		}
		n := map[grouprecord.Kind]int{}
		var kinds []grouprecord.Kind
		for _, m := range g.SortedMachines() {
			k := m.Kind()
			if n[k] == 0 {
				kinds = append(kinds, k)
			}
			n[k]++
		}
		o := messages.TransferOffer{Key: g.Key(), ModRevision: g.ModRevision, Recipient: g.Offer.ToShard}
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
	for _, g := range c.state.Groups {
		if g.Offer != nil && c.loop.Now() > g.Offer.Until {
			g.Offer = nil
			c.scheduler.Trigger.Request()
		}
	}
}

// offerIdleMachines offers a part's idle machines to those that lack some. They are
// gathered into groups of their own, so that one write moves many.
func (c *Controller) offerIdleMachines(p *state.Shard, plan *fairshare.Plan) {
	if c.loop.Now() < p.NextOfferAt {
		return
	}
	idle := c.idleMachines(p)
	if len(idle) == 0 {
		return
	}
	work := c.scheduler.Queue.PendingWork(p)
	var spare []*state.Machine
	for _, m := range idle {
		if m.Cordoned || work.Pack(c.state.MachineTypes[m.MachineType].Capacity, func(j *state.Job) bool { return c.scheduler.Eligibility.IsAllowedOn(j, m) }) == 0 {
			spare = append(spare, m)
		}
	}
	offered := map[cluster.ShardID]cluster.Amount{}
	for _, g := range c.state.Groups {
		if g.ShardID == p.ID && g.Offer != nil {
			offered[g.Offer.ToShard] += c.groupCPU(g)
		}
	}
	for _, recipient := range plan.Recipients(p.ID) {
		lack := recipient.Amount - offered[recipient.Shard]
		var ms []*state.Machine
		groups, bytes := map[*state.MachineGroup]bool{}, 0
		for len(spare) > 0 && lack > 0 && len(ms) < c.inventory.TargetGroupSize() {
			m := spare[0]
			if !groups[m.Group] {
				// All their records are rewritten in one transaction.
				if len(groups) == c.config.MaxTxnOps-1 || bytes+m.Group.EstimatedSize() > writequeue.MaxBatchBytes && len(groups) > 0 {
					break
				}
				groups[m.Group] = true
				bytes += m.Group.EstimatedSize()
			}
			spare = spare[1:]
			ms = append(ms, m)
			lack -= c.state.MachineTypes[m.MachineType].Capacity.CPU
		}
		if len(ms) == 0 {
			continue
		}
		p.NextOfferAt = c.loop.Now() + second
		offer := func(g *state.MachineGroup) {
			if g != nil {
				g.Offer = &state.GroupOffer{ToShard: recipient.Shard, Until: c.loop.Now() + 5*second}
			}
		}
		if len(groups) == 1 && len(ms) == len(ms[0].Group.Machines) {
			offer(ms[0].Group)
			continue
		}
		for _, m := range ms {
			m.Cordoned = true
		}
		c.inventory.Regroup(p, ms, nil, writequeue.Start, offer)
	}
}

// groupCPU is what a group's machines have in all.
func (c *Controller) groupCPU(g *state.MachineGroup) cluster.Amount {
	var sum cluster.Amount
	for _, m := range g.Machines {
		sum += c.state.MachineTypes[m.MachineType].Capacity.CPU
	}
	return sum
}

// acceptOffers takes groups that others offer to a part, if it has a use for them.
func (c *Controller) acceptOffers(p *state.Shard, work scheduling.PendingWork) {
	use := func(o messages.TransferOffer) bool {
		took := 0
		for _, k := range o.Kinds {
			for range k.Count {
				took += work.Pack(c.state.MachineTypes[k.Type].Capacity, func(j *state.Job) bool {
					return c.scheduler.Eligibility.IsOptionAllowed(j, state.ProvisioningOption{Type: k.Type, Zone: k.Zone, Spot: k.Spot})
				})
			}
		}
		return took > 0
	}
	for _, peer := range c.members.Peers() {
		if peer.IsUnreachable() || peer.PingAge() > membership.PingFreshness {
			continue
		}
		for _, o := range peer.LastPing().TransferOffers {
			if o.Recipient != p.ID || c.attemptedTransfers.contains(peer.ID(), o) || !use(o) {
				continue
			}
			c.attemptedTransfers.record(peer.ID(), o)
			c.inventory.AcquireGroup(p, o.Key, o.ModRevision)
		}
	}
	for _, o := range c.transferOffers() { // parts held here have nobody to ask
		if o.Recipient == p.ID && use(o) {
			c.inventory.AcquireGroup(p, o.Key, o.ModRevision)
		}
	}
}
