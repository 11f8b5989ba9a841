// Package fairshare decides how much of the whole fleet's capacity each shard
// should have: what it gives up to shards that lack machines, to which of them,
// and whether it may scale out. It is given a snapshot of every shard's load and
// returns decisions.
package fairshare

import "stairrelay/internal/cluster"

// cpu is one CPU as an Amount.
const cpu = cluster.AmountsPerUnit

// scaleInReserve is what a part keeps beyond its need before it returns machines
// for their price: a job or two of usual size.
const scaleInReserve = 8 * cpu

// scaleOutLead is how much less than this part another one that lacks machines must
// have to be let rent first: less of a difference is not worth a delay.
const scaleOutLead = 16 * cpu

// ShardLoad is what a part has and what its jobs could use, by priority. All
// amounts are CPUs. Controllers send it to each other.
type ShardLoad struct {
	Shard     cluster.ShardID                        `cbor:"Part"`
	Available cluster.Amount                         `cbor:"Have"`   // usable now
	Booting   cluster.Amount                         `cbor:"Coming"` // booting
	Demand    [cluster.Production + 1]cluster.Amount `cbor:"Demand"`
}

// TotalDemand is what the part's jobs could use in all.
func (l ShardLoad) TotalDemand() cluster.Amount {
	var sum cluster.Amount
	for _, demand := range l.Demand {
		sum += demand
	}
	return sum
}

// totalCapacity is what the part has and will have.
func (l ShardLoad) totalCapacity() cluster.Amount { return l.Available + l.Booting }

// hasShortfall tells whether the part's jobs could use more than it will have.
func (l ShardLoad) hasShortfall() bool { return l.TotalDemand() > l.totalCapacity() }

// Surplus is what the part can do without when a share of its need is kept as
// spare room; negative: it has less than that.
func (l ShardLoad) Surplus(spareShare float64) cluster.Amount {
	need := l.TotalDemand()
	return l.Available - need - cluster.Amount(float64(need)*spareShare) - scaleInReserve
}

// Snapshot is every part's load as far as it is known.
type Snapshot map[cluster.ShardID]ShardLoad

// OthersHaveShortfall tells whether a part other than the given lacks machines.
func (s Snapshot) OthersHaveShortfall(part cluster.ShardID) bool {
	for other, load := range s {
		if other != part && load.hasShortfall() {
			return true
		}
	}
	return false
}

// CanScaleOutFirst tells whether no other part that lacks machines has much less than
// the given one: what the cloud still has should go to such a part first.
func (s Snapshot) CanScaleOutFirst(part cluster.ShardID) bool {
	own := s[part].totalCapacity()
	for other, load := range s {
		if other != part && load.hasShortfall() && load.totalCapacity()+scaleOutLead < own {
			return false
		}
	}
	return true
}
