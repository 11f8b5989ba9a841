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

// Idle machines are transferred between shards in groups: the owner of one shard offers
// a group, and the owner of the other shard acquires it.

const (
	// offerDuration is how long an offer is valid. Offered machines get no tasks.
	offerDuration = 5 * second
	// offerInterval is the minimum time between two rounds of offers of a shard.
	offerInterval = second
	// minIdleTime is how long a machine must have been idle to be offered.
	minIdleTime = second / 2
)

// TransferOffers returns the groups that the owned shards offer to others, at most
// membership.MaxTransferOffers. Groups with a pending write of their record are left out,
// as their mod revision is about to change.
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

// countKinds returns the number of a group's machines of each kind, in the order in
// which the kinds first occur.
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

// expireOffers withdraws the offers that were not accepted in time and requests a
// scheduling run. It must be called even if no shard has a shortfall, as an offered group
// gets no tasks.
func (r *Rebalancer) expireOffers() {
	for _, group := range r.state.Groups {
		if group.Offer != nil && r.loop.Now() > group.Offer.Until {
			group.WithdrawOffer()
			r.trigger.Request()
		}
	}
}

// OfferIdleMachines offers a shard's idle machines to shards with a shortfall, at most once
// per offerInterval. The machines are regrouped first if necessary, so that one write
// transfers many.
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

// spareMachines returns a shard's idle machines that are cordoned or that its own
// pending tasks don't need.
func (r *Rebalancer) spareMachines(shard *state.Shard) []*state.Machine {
	idle := r.idleMachines(shard)
	if len(idle) == 0 {
		return nil
	}
	work := r.queue.PendingWork(shard)
	var spare []*state.Machine
	for _, machine := range idle {
		isAllowed := func(job *state.Job) bool { return r.eligibility.IsAllowedOn(job, machine) }
		if machine.Cordoned || work.Pack(r.allocatable(machine), isAllowed) == 0 {
			spare = append(spare, machine)
		}
	}
	return spare
}

// idleMachines returns the machines of a shard that can be transferred to another shard.
// The result is nil if the shard is not owned or not ready.
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

// isTransferable reports whether a machine has been idle for minIdleTime, its address is
// known, neither its record nor its worker lists a task, and its group is not offered and
// has no write in flight.
func (r *Rebalancer) isTransferable(machine *state.Machine) bool {
	return len(machine.Assignments) == 0 && machine.RecordedTaskCount == 0 &&
		!machine.Group.WriteInFlight && machine.Group.Offer == nil &&
		machine.Address != "" && len(machine.UnrecordedToStop) == 0 &&
		r.loop.Now()-machine.IdleSince > minIdleTime
}

// offeredCPU returns the CPUs that a shard already offers to each recipient.
func (r *Rebalancer) offeredCPU(shard *state.Shard) map[cluster.ShardID]cluster.Amount {
	offered := map[cluster.ShardID]cluster.Amount{}
	for _, group := range r.state.Groups {
		if group.ShardID == shard.ID && group.Offer != nil {
			offered[group.Offer.ToShard] += r.groupCPU(group)
		}
	}
	return offered
}

// groupCPU returns the total CPUs of a group's machines.
func (r *Rebalancer) groupCPU(group *state.MachineGroup) cluster.Amount {
	var sum cluster.Amount
	for _, machine := range group.Machines {
		sum += r.machineCapacity(machine).CPU
	}
	return sum
}

// countToOffer returns how many machines, from the front of the list, to offer to a shard
// with a shortfall. They must fit into one group, and the records of their current
// groups into one transaction.
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

// offer offers machines to another shard. If they aren't a whole group, they are
// cordoned and moved to a new group, which is offered once its record is stored.
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

// isWholeGroup reports whether machines are exactly the machines of a group.
func isWholeGroup(group *state.MachineGroup, machines []*state.Machine) bool {
	isOther := func(machine *state.Machine) bool { return machine.Group != group }
	return len(machines) == len(group.Machines) && !slices.ContainsFunc(machines, isOther)
}

// AcceptOffers starts to acquire the groups that are offered to a shard and can run some of
// its pending work, and removes from work the tasks that fit on them. An offer of another
// controller is tried only once.
func (r *Rebalancer) AcceptOffers(shard *state.Shard, work PendingWork) {
	for _, peer := range r.deps.Peers.Peers() {
		if peer.IsUnreachable() || peer.PingAge() > membership.MaxPingAge {
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

// packOffer removes from work the tasks that fit on the offered machines. It reports
// whether any task did.
func (r *Rebalancer) packOffer(offer messages.TransferOffer, work PendingWork) bool {
	packed := 0
	for _, kind := range offer.Kinds {
		option := state.ProvisioningOption{Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot}
		isAllowed := func(job *state.Job) bool { return r.eligibility.IsOptionAllowed(job, option) }
		machineType := r.state.MachineTypes[kind.Type]
		for range kind.Count {
			packed += work.Pack(machineType.Allocatable(), isAllowed)
		}
	}
	return packed > 0
}

// ForgetWithdrawnOffers forgets the attempts to accept offers that a controller no longer
// makes. offers holds the offers in the controller's latest ping.
func (r *Rebalancer) ForgetWithdrawnOffers(from cluster.NodeID, offers []messages.TransferOffer) {
	r.attempted.forgetWithdrawn(from, offers)
}
