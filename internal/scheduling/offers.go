package scheduling

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// Idle machines move between shards by groups: the owner of one offers them, that of
// the other acquires them.

const (
	// offerDuration is how long an offer stands; the machines get no tasks until then.
	offerDuration = 5 * second
	// offerInterval is the least time between two looks for machines to offer.
	offerInterval = second
	// minIdleTime is how long a machine must have been idle to be offered.
	minIdleTime = second / 2
)

// TransferOffers lists the groups that the owned shards offer to others.
func (r *Rebalancer) TransferOffers() []messages.TransferOffer {
	var offers []messages.TransferOffer
	for _, group := range r.state.SortedGroups() {
		if group.Offer == nil || group.WritePending {
			continue
		}
		if len(offers) == membership.MaxTransferOffers {
			break
		}
		offers = append(offers, messages.TransferOffer{
			Key:         group.Key(),
			ModRevision: group.ModRevision,
			Recipient:   group.Offer.ToShard,
			Kinds:       countKinds(group),
		})
	}
	return offers
}

// countKinds counts a group's machines by kind, in the order of the machines.
func countKinds(group *state.MachineGroup) []messages.MachineKindCount {
	counts := map[grouprecord.Kind]int{}
	var kinds []grouprecord.Kind
	for _, machine := range group.SortedMachines() {
		kind := machine.Kind()
		if counts[kind] == 0 {
			kinds = append(kinds, kind)
		}
		counts[kind]++
	}
	var kindCounts []messages.MachineKindCount
	for _, kind := range kinds {
		kindCounts = append(kindCounts, messages.MachineKindCount{Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot, Count: counts[kind]})
	}
	return kindCounts
}

// expireOffers takes back what was not acquired in time, whether or not another shard
// still lacks machines: an offered group gets no tasks.
func (r *Rebalancer) expireOffers() {
	for _, group := range r.state.Groups {
		if group.Offer != nil && r.loop.Now() > group.Offer.Until {
			group.WithdrawOffer()
			r.trigger.Request()
		}
	}
}

// OfferIdleMachines offers a shard's idle machines to those that lack some. They are
// gathered into groups of their own, so that one write moves many.
func (r *Rebalancer) OfferIdleMachines(shard *state.Shard, plan *fairshare.Plan) {
	if r.loop.Now() < shard.NextOfferAt {
		return
	}
	spare := r.spareMachines(shard)
	if len(spare) == 0 {
		return
	}
	offered := r.offeredCPU(shard)
	for _, recipient := range plan.Recipients(shard.ID) {
		count := r.countToOffer(spare, recipient.Amount-offered[recipient.Shard])
		if count == 0 {
			continue
		}
		shard.NextOfferAt = r.loop.Now() + offerInterval
		r.offer(shard, spare[:count:count], recipient.Shard)
		spare = spare[count:]
	}
}

// spareMachines lists a shard's idle machines that its own pending tasks don't need.
func (r *Rebalancer) spareMachines(shard *state.Shard) []*state.Machine {
	idle := r.idleMachines(shard)
	if len(idle) == 0 {
		return nil
	}
	work := r.queue.PendingWork(shard)
	var spare []*state.Machine
	for _, machine := range idle {
		isAllowed := func(job *state.Job) bool { return r.eligibility.IsAllowedOn(job, machine) }
		if machine.Cordoned || work.Pack(r.machineCapacity(machine), isAllowed) == 0 {
			spare = append(spare, machine)
		}
	}
	return spare
}

// idleMachines lists the machines of a shard that another may acquire.
func (r *Rebalancer) idleMachines(shard *state.Shard) []*state.Machine {
	if !shard.Owned || !shard.Ready {
		return nil
	}
	var idle []*state.Machine
	r.deps.CountMachineScans(shard.Machines)
	for _, machine := range shard.Machines {
		if r.eligibility.IsSchedulable(machine) && r.isTransferable(machine) {
			idle = append(idle, machine)
		}
	}
	return idle
}

// isTransferable tells whether a machine is idle, and neither its record nor its
// worker shows anything that is still to be cleared away.
func (r *Rebalancer) isTransferable(machine *state.Machine) bool {
	return len(machine.Assignments) == 0 && machine.RecordedTaskCount == 0 &&
		!machine.Group.WriteInFlight && machine.Group.Offer == nil &&
		machine.Address != "" && len(machine.UnrecordedToStop) == 0 &&
		r.loop.Now()-machine.IdleSince > minIdleTime
}

// offeredCPU sums up what a shard offers already, by the recipient.
func (r *Rebalancer) offeredCPU(shard *state.Shard) map[cluster.ShardID]cluster.Amount {
	offered := map[cluster.ShardID]cluster.Amount{}
	for _, group := range r.state.Groups {
		if group.ShardID == shard.ID && group.Offer != nil {
			offered[group.Offer.ToShard] += r.groupCPU(group)
		}
	}
	return offered
}

// groupCPU is what a group's machines have in all.
func (r *Rebalancer) groupCPU(group *state.MachineGroup) cluster.Amount {
	var sum cluster.Amount
	for _, machine := range group.Machines {
		sum += r.machineCapacity(machine).CPU
	}
	return sum
}

// countToOffer tells how many of the machines, from the first on, are offered to a
// shard with a shortfall: no more than go into one group, and than are listed by
// records that can all be rewritten in one transaction.
func (r *Rebalancer) countToOffer(machines []*state.Machine, shortfall cluster.Amount) int {
	count, groups, bytes := 0, map[*state.MachineGroup]bool{}, 0
	for count < len(machines) && shortfall > 0 && count < r.deps.Groups.TargetGroupSize() {
		machine := machines[count]
		if !groups[machine.Group] {
			size := machine.Group.EstimatedSize()
			if len(groups) == r.config.MaxTxnOps-1 || bytes+size > writequeue.MaxBatchBytes && len(groups) > 0 {
				break
			}
			groups[machine.Group] = true
			bytes += size
		}
		count++
		shortfall -= r.machineCapacity(machine).CPU
	}
	return count
}

// offer offers machines to another shard: as the group that they are, or else as a
// group of their own once its record is stored.
func (r *Rebalancer) offer(shard *state.Shard, machines []*state.Machine, recipient cluster.ShardID) {
	if group := machines[0].Group; isWholeGroup(group, machines) {
		group.OfferTo(recipient, r.loop.Now()+offerDuration)
		return
	}
	for _, machine := range machines {
		machine.Cordon()
	}
	r.deps.Groups.Regroup(shard, machines, nil, writequeue.PriorityStart, func(group *state.MachineGroup) {
		if group != nil {
			group.OfferTo(recipient, r.loop.Now()+offerDuration)
		}
	})
}

// isWholeGroup tells whether machines are all those of a group.
func isWholeGroup(group *state.MachineGroup, machines []*state.Machine) bool {
	isOther := func(machine *state.Machine) bool { return machine.Group != group }
	return len(machines) == len(group.Machines) && !slices.ContainsFunc(machines, isOther)
}

// AcceptOffers acquires groups that other shards offer to a shard if it has a use for
// them, and takes from the work what they will do.
func (r *Rebalancer) AcceptOffers(shard *state.Shard, work PendingWork) {
	for _, peer := range r.deps.Peers.Peers() {
		if peer.IsUnreachable() || peer.PingAge() > membership.PingFreshness {
			continue
		}
		for _, offer := range peer.LastPing().TransferOffers {
			if offer.Recipient != shard.ID || r.attempted.contains(peer.ID(), offer) || !r.packOffer(offer, work) {
				continue
			}
			r.attempted.record(peer.ID(), offer)
			r.deps.Groups.AcquireGroup(shard, offer.Key, offer.ModRevision)
		}
	}
	for _, offer := range r.TransferOffers() { // of other owned shards
		if offer.Recipient == shard.ID && r.packOffer(offer, work) {
			r.deps.Groups.AcquireGroup(shard, offer.Key, offer.ModRevision)
		}
	}
}

// packOffer takes from the work what the offered machines can do; false: nothing.
func (r *Rebalancer) packOffer(offer messages.TransferOffer, work PendingWork) bool {
	packed := 0
	for _, kind := range offer.Kinds {
		option := state.ProvisioningOption{Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot}
		isAllowed := func(job *state.Job) bool { return r.eligibility.IsOptionAllowed(job, option) }
		for range kind.Count {
			packed += work.Pack(r.state.MachineTypes[kind.Type].Capacity, isAllowed)
		}
	}
	return packed > 0
}

// RetainOffered forgets the attempts to acquire groups that a controller does not
// offer any more.
func (r *Rebalancer) RetainOffered(from cluster.NodeID, offers []messages.TransferOffer) {
	r.attempted.retainOffered(from, offers)
}
