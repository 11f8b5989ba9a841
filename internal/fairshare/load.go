// Package fairshare decides how much of the whole fleet's capacity each shard
// should have: what it gives up to shards that lack machines, to which of them,
// and whether it may scale out. It is given a snapshot of every shard's load and
// returns decisions.
package fairshare

import "stairrelay/internal/cluster"

// cpu is one CPU as an Amount.
const cpu = cluster.AmountsPerUnit

// scaleInReserve is what a shard keeps beyond its demand and spare share before it
// releases machines for their price: a job or two of usual size.
const scaleInReserve = 8 * cpu

// scaleOutLead is how much less capacity another shard with a shortfall must have to
// scale out before this one. A smaller difference is not worth a delay.
const scaleOutLead = 16 * cpu

// ShardLoad is the capacity of a shard and what its jobs could use, by priority. All
// amounts are CPUs. Controllers send it to each other.
type ShardLoad struct {
	Shard     cluster.ShardID                        `cbor:"Part"`
	Available cluster.Amount                         `cbor:"Have"`   // on machines that are up
	Booting   cluster.Amount                         `cbor:"Coming"` // on machines that are booting
	Demand    [cluster.Production + 1]cluster.Amount `cbor:"Demand"` // by cluster.Priority
}

// TotalDemand returns what the shard's jobs of all priorities could use.
func (l ShardLoad) TotalDemand() cluster.Amount {
	var sum cluster.Amount
	for _, demand := range l.Demand {
		sum += demand
	}
	return sum
}

// totalCapacity returns what the shard has, booting machines included.
func (l ShardLoad) totalCapacity() cluster.Amount { return l.Available + l.Booting }

// hasShortfall reports whether the shard's jobs could use more than its capacity
// once all machines are up.
func (l ShardLoad) hasShortfall() bool { return l.TotalDemand() > l.totalCapacity() }

// Surplus returns what the shard can release when it keeps spareShare of its demand
// as spare capacity, and the fixed reserve. It is negative when the shard has less
// than that.
func (l ShardLoad) ReleasableCapacity(spareShare float64) cluster.Amount {
	demand := l.TotalDemand()
	spare := cluster.Amount(float64(demand) * spareShare)
	return l.Available - demand - spare - scaleInReserve
}

// Snapshot is the load of every shard as far as it is known.
type Snapshot map[cluster.ShardID]ShardLoad

// OthersHaveShortfall reports whether a shard other than the given one has a
// shortfall.
func (s Snapshot) OthersHaveShortfall(shard cluster.ShardID) bool {
	for other, load := range s {
		if other != shard && load.hasShortfall() {
			return true
		}
	}
	return false
}

// CanScaleOutFirst reports whether the shard need not wait for another one. It has
// to wait while some other shard with a shortfall has much less capacity: what the
// cloud still offers should go to that one first.
func (s Snapshot) CanScaleOutFirst(shard cluster.ShardID) bool {
	capacity := s[shard].totalCapacity()
	for other, load := range s {
		if other != shard && load.hasShortfall() && load.totalCapacity()+scaleOutLead < capacity {
			return false
		}
	}
	return true
}
