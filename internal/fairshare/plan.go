package fairshare

import (
	"cmp"
	"slices"

	"stairrelay/internal/cluster"
)

// rebalanceMarginDivisor determines the margin above a shard's target within which the shard
// transfers no capacity: the target divided by this number.
const rebalanceMarginDivisor = 6

// Plan divides the available capacity of all shards among them.
type Plan struct {
	// Loads is the snapshot on which the plan is based.
	Loads Snapshot
	// Targets holds the CPU capacity that each shard should have.
	Targets map[cluster.ShardID]cluster.Amount
	// TotalShortfall is the sum of the amounts by which shards are below their targets.
	TotalShortfall cluster.Amount
}

// NewPlan returns the plan for a snapshot. Equal snapshots give equal plans, so that
// controllers with the same information make the same decisions.
func NewPlan(loads Snapshot) *Plan {
	plan := &Plan{Loads: loads, Targets: computeTargets(loads)}
	for shard := range loads {
		plan.TotalShortfall += plan.shortfall(shard)
	}
	return plan
}

// computeTargets divides the total available capacity among the shards. The demand of the
// highest priority is met first, and within a priority the capacity is divided by max-min
// fairness.
func computeTargets(loads Snapshot) map[cluster.ShardID]cluster.Amount {
	shards := make([]cluster.ShardID, 0, len(loads))
	var remaining cluster.Amount
	for shard, load := range loads {
		shards = append(shards, shard)
		remaining += load.Available
	}
	slices.Sort(shards)
	targets := make(map[cluster.ShardID]cluster.Amount, len(shards))
	for priority := cluster.Production; priority >= cluster.BestEffort; priority-- {
		remaining = loads.allocate(shards, priority, remaining, targets)
	}
	return targets
}

// allocate adds to the targets what the shards get for their demand of one priority.
// The remaining capacity is divided by max-min fairness: the smallest demands are met
// first, and shards whose demand can't be met get equal shares. It returns the capacity
// that remains for lower priorities.
func (s Snapshot) allocate(
	shards []cluster.ShardID,
	priority cluster.Priority,
	remaining cluster.Amount,
	targets map[cluster.ShardID]cluster.Amount,
) cluster.Amount {
	byDemand := slices.Clone(shards)
	slices.SortStableFunc(byDemand, func(a, b cluster.ShardID) int {
		return cmp.Compare(s[a].Demand[priority], s[b].Demand[priority])
	})
	for i, shard := range byDemand {
		evenShare := remaining / cluster.Amount(len(byDemand)-i)
		amount := min(s[shard].Demand[priority], evenShare)
		targets[shard] += amount
		remaining -= amount
	}
	return remaining
}

// shortfall returns the amount by which a shard is below its target, or 0 if it is not.
func (p *Plan) shortfall(shard cluster.ShardID) cluster.Amount {
	return max(p.Targets[shard]-p.Loads[shard].Available, 0)
}

// TransferableCapacity returns the capacity that a shard should transfer to other
// shards. A result of zero or less means none.
//
// Demands change every second, and a transferred machine has to be drained and then
// fetches its images again. A shard therefore transfers only what exceeds its target by
// a margin, and no more than other shards lack; otherwise machines would move back and
// forth.
func (p *Plan) TransferableCapacity(shard cluster.ShardID) cluster.Amount {
	if p.TotalShortfall <= 0 {
		return 0
	}
	target := p.Targets[shard]
	excess := p.Loads[shard].Available - target - target/rebalanceMarginDivisor
	return min(excess, p.TotalShortfall)
}

// Shortfall is the amount by which a shard is below its target.
type Shortfall struct {
	Shard  cluster.ShardID
	Amount cluster.Amount
}

// Recipients returns the shards other than donor that are below their targets, in
// descending order of their shortfalls and by shard ID where shortfalls are equal.
func (p *Plan) Recipients(donor cluster.ShardID) []Shortfall {
	recipients := make([]Shortfall, 0, len(p.Loads))
	for shard := range p.Loads {
		if amount := p.shortfall(shard); shard != donor && amount > 0 {
			recipients = append(recipients, Shortfall{Shard: shard, Amount: amount})
		}
	}
	slices.SortFunc(recipients, func(a, b Shortfall) int {
		return cmp.Or(cmp.Compare(b.Amount, a.Amount), cmp.Compare(a.Shard, b.Shard))
	})
	return recipients
}

// ShortfallPriority returns the highest priority with demand in the shards other than
// donor that are below their targets, or BestEffort if there is none.
func (p *Plan) ShortfallPriority(donor cluster.ShardID) cluster.Priority {
	highest := cluster.BestEffort
	for shard, load := range p.Loads {
		if shard == donor || p.shortfall(shard) == 0 {
			continue
		}
		for priority := cluster.Production; priority > highest; priority-- {
			if load.Demand[priority] > 0 {
				highest = priority
			}
		}
	}
	return highest
}

// SelectWithinBudget returns the indexes of the sizes that fit into the budget
// together. It selects them in order, skipping sizes that exceed the remaining budget
// and sizes of 0.
func SelectWithinBudget(sizes []cluster.Amount, budget cluster.Amount) []int {
	var selected []int
	for i, size := range sizes {
		if size == 0 || size > budget {
			continue
		}
		budget -= size
		selected = append(selected, i)
	}
	return selected
}
