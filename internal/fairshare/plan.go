package fairshare

import (
	"cmp"
	"slices"

	"stairrelay/internal/cluster"
)

// rebalanceMargin is the divisor of the margin above its target that a shard keeps:
// one sixth of the target.
const rebalanceMargin = 6

// Plan divides the capacity of all machines among the shards.
type Plan struct {
	// Loads is the snapshot that was divided.
	Loads Snapshot
	// Targets holds the capacity in CPUs that each shard should have.
	Targets map[cluster.ShardID]cluster.Amount
	// TotalShortfall is the sum of what shards have less than their targets.
	TotalShortfall cluster.Amount
}

// NewPlan divides the capacity in a snapshot. Equal snapshots give equal plans, so
// that controllers which know the same decide the same.
func NewPlan(loads Snapshot) *Plan {
	plan := &Plan{Loads: loads, Targets: computeTargets(loads)}
	for shard := range loads {
		plan.TotalShortfall += plan.shortfall(shard)
	}
	return plan
}

// computeTargets divides the available capacity of all shards: the most important
// work first, and within a priority the smallest demand first.
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

// allocate adds to the targets what the work of a priority could use. Where the
// remaining capacity does not suffice, it is divided evenly among the shards whose
// demand is not met. allocate returns what remains for lower priorities.
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

// shortfall returns how much less than its target a shard has, at least 0.
func (p *Plan) shortfall(shard cluster.ShardID) cluster.Amount {
	return max(p.Targets[shard]-p.Loads[shard].Available, 0)
}

// Spare returns the capacity that a shard should give up; zero or less means none.
//
// Between shards that all lack machines, demands change every second. A machine that
// is transferred has to be drained first and then fetches its images anew, so only
// what exceeds the target by a margin is given up, and no more than others lack.
func (p *Plan) TransferableCapacity(shard cluster.ShardID) cluster.Amount {
	if p.TotalShortfall <= 0 {
		return 0
	}
	target := p.Targets[shard]
	excess := p.Loads[shard].Available - target - target/rebalanceMargin
	return min(excess, p.TotalShortfall)
}

// Shortfall is the amount by which a shard has less than its target.
type Shortfall struct {
	Shard  cluster.ShardID
	Amount cluster.Amount
}

// Recipients returns the shards other than the giver that have less than their
// targets, the largest shortfall first and by number where shortfalls are equal.
func (p *Plan) Recipients(giver cluster.ShardID) []Shortfall {
	recipients := make([]Shortfall, 0, len(p.Loads))
	for shard := range p.Loads {
		if amount := p.shortfall(shard); shard != giver && amount > 0 {
			recipients = append(recipients, Shortfall{Shard: shard, Amount: amount})
		}
	}
	slices.SortFunc(recipients, func(a, b Shortfall) int {
		return cmp.Or(cmp.Compare(b.Amount, a.Amount), cmp.Compare(a.Shard, b.Shard))
	})
	return recipients
}

// ShortfallPriority returns the highest priority of the work in shards other than
// the giver that have less than their targets, or BestEffort if there is none.
func (p *Plan) ShortfallPriority(giver cluster.ShardID) cluster.Priority {
	highest := cluster.BestEffort
	for shard, load := range p.Loads {
		if shard == giver || p.shortfall(shard) == 0 {
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

// PickWithin chooses, in order, the sizes that fit into what remains of a budget and
// returns their positions. Sizes of 0 are skipped.
func SelectWithinBudget(sizes []cluster.Amount, budget cluster.Amount) []int {
	var picked []int
	for i, size := range sizes {
		if size == 0 || size > budget {
			continue
		}
		budget -= size
		picked = append(picked, i)
	}
	return picked
}
