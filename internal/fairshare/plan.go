package fairshare

import (
	"cmp"
	"slices"

	"stairrelay/internal/cluster"
)

// rebalanceMargin: a part keeps what is one part in this many beyond its target.
const rebalanceMargin = 6

// Plan is the division of all machines that there are.
type Plan struct {
	Loads Snapshot
	// Targets is what each part should have.
	Targets map[cluster.ShardID]cluster.Amount
	// TotalShortfall is what parts have less than their targets, in all.
	TotalShortfall cluster.Amount
}

// NewPlan divides the machines of a snapshot.
func NewPlan(loads Snapshot) *Plan {
	p := &Plan{Loads: loads, Targets: computeTargets(loads)}
	for part := range loads {
		p.TotalShortfall += p.shortfall(part)
	}
	return p
}

// computeTargets divides all the machines there are: more important work first, and
// within a priority the least served part first.
func computeTargets(loads Snapshot) map[cluster.ShardID]cluster.Amount {
	parts, rest := make([]cluster.ShardID, 0, len(loads)), cluster.Amount(0)
	for part, load := range loads {
		parts = append(parts, part)
		rest += load.Available
	}
	slices.Sort(parts)
	out := make(map[cluster.ShardID]cluster.Amount, len(parts))
	for priority := cluster.Production; priority >= cluster.BestEffort; priority-- {
		rest = loads.allocate(parts, priority, rest, out)
	}
	return out
}

// allocate gives each part what its work of a priority could use, of at most rest
// evenly where that is not enough. It adds to given and returns what is left.
func (s Snapshot) allocate(parts []cluster.ShardID, priority cluster.Priority, rest cluster.Amount, given map[cluster.ShardID]cluster.Amount) cluster.Amount {
	open := slices.Clone(parts)
	slices.SortStableFunc(open, func(a, b cluster.ShardID) int {
		return cmp.Compare(s[a].Demand[priority], s[b].Demand[priority])
	})
	for i, part := range open {
		even := rest / cluster.Amount(len(open)-i)
		amount := min(s[part].Demand[priority], even)
		given[part] += amount
		rest -= amount
	}
	return rest
}

// shortfall is how much less than its target a part has; 0: it has enough.
func (p *Plan) shortfall(part cluster.ShardID) cluster.Amount {
	return max(p.Targets[part]-p.Loads[part].Available, 0)
}

// Spare is what a part should give up; zero or less: nothing.
//
// Between parts that all lack machines needs change every second; what moves
// for that runs empty first and fetches its images anew. Only what goes beyond
// a margin is worth it, and no more than others lack.
func (p *Plan) Spare(part cluster.ShardID) cluster.Amount {
	if p.TotalShortfall <= 0 {
		return 0
	}
	target := p.Targets[part]
	return min(p.Loads[part].Available-target-target/rebalanceMargin, p.TotalShortfall)
}

// Shortfall says how much less than its target a part has.
type Shortfall struct {
	Shard  cluster.ShardID
	Amount cluster.Amount
}

// Recipients lists the parts that lack machines which the giver could offer
// them, the neediest first.
func (p *Plan) Recipients(giver cluster.ShardID) []Shortfall {
	out := make([]Shortfall, 0, len(p.Loads))
	for part := range p.Loads {
		if amount := p.shortfall(part); part != giver && amount > 0 {
			out = append(out, Shortfall{part, amount})
		}
	}
	slices.SortFunc(out, func(a, b Shortfall) int {
		if a.Amount != b.Amount {
			return cmp.Compare(b.Amount, a.Amount)
		}
		return int(a.Shard) - int(b.Shard)
	})
	return out
}

// ShortfallPriority is the highest priority of work in parts other than the giver
// that lack machines; BestEffort if there is none.
func (p *Plan) ShortfallPriority(giver cluster.ShardID) cluster.Priority {
	top := cluster.BestEffort
	for part, load := range p.Loads {
		if part == giver || p.shortfall(part) == 0 {
			continue
		}
		for priority := cluster.Production; priority > top; priority-- {
			if load.Demand[priority] > 0 {
				top = priority
			}
		}
	}
	return top
}

// PickWithin picks, in order, the sizes that fit into what is left of a budget,
// and returns their positions. Sizes of nothing are passed over.
func PickWithin(sizes []cluster.Amount, budget cluster.Amount) []int {
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
