// Package fairshare decides how the capacity of the whole fleet is shared among the
// shards: how much capacity each shard should have, how much it transfers to which other
// shards, and whether it may scale out. It keeps no state; its input is a snapshot of the
// load of every shard.
//
// A shard lacks capacity if its demand exceeds its capacity, including booting machines. It
// has a shortfall if its available capacity, without booting machines, is below its target.
// The target is the share of the total available capacity that the shard should have.
package fairshare

import "stairrelay/internal/cluster"

// cpu is one CPU as an Amount.
const cpu = cluster.AmountsPerUnit

// scaleInReserve is the capacity that a shard keeps beyond its demand and its spare
// capacity when it releases machines to save cost.
const scaleInReserve = 8 * cpu

// scaleOutYieldMargin is the difference in capacity up to which a shard does not wait for
// the scale-out of a smaller shard that lacks capacity. Such a difference is not worth a
// delay.
const scaleOutYieldMargin = 16 * cpu

// ShardLoad is the capacity of a shard and the demand of its jobs by priority. All
// amounts are CPUs. Controllers send it to each other.
type ShardLoad struct {
	Shard     cluster.ShardID                        `cbor:"Part"`
	Available cluster.Amount                         `cbor:"Have"`   // on running machines
	Booting   cluster.Amount                         `cbor:"Coming"` // on booting machines
	Demand    [cluster.Production + 1]cluster.Amount `cbor:"Demand"` // by cluster.Priority
}

// TotalDemand returns the demand of the shard's jobs of all priorities.
func (l ShardLoad) TotalDemand() cluster.Amount {
	var sum cluster.Amount
	for _, demand := range l.Demand {
		sum += demand
	}
	return sum
}

// totalCapacity returns the capacity of the shard, including machines that are booting.
func (l ShardLoad) totalCapacity() cluster.Amount { return l.Available + l.Booting }

// lacksCapacity reports whether the shard's demand exceeds its capacity, including
// machines that are booting.
func (l ShardLoad) lacksCapacity() bool { return l.TotalDemand() > l.totalCapacity() }

// ReleasableCapacity returns the available capacity that the shard does not need to keep.
// The shard keeps its demand, spare capacity of spareShare times the demand, and
// scaleInReserve. The result is negative if the shard has less than this.
func (l ShardLoad) ReleasableCapacity(spareShare float64) cluster.Amount {
	demand := l.TotalDemand()
	spare := cluster.Amount(float64(demand) * spareShare)
	return l.Available - demand - spare - scaleInReserve
}

// Snapshot holds the load of each shard whose load is known.
type Snapshot map[cluster.ShardID]ShardLoad

// OthersLackCapacity reports whether any shard other than the given one lacks capacity.
func (s Snapshot) OthersLackCapacity(shard cluster.ShardID) bool {
	for other, load := range s {
		if other != shard && load.lacksCapacity() {
			return true
		}
	}
	return false
}

// CanScaleOutFirst reports whether the shard may scale out without waiting for another
// one. It must wait while another shard lacks capacity and has much less than this one, so
// that the remaining capacity of the cloud goes to that shard first.
func (s Snapshot) CanScaleOutFirst(shard cluster.ShardID) bool {
	capacity := s[shard].totalCapacity()
	for other, load := range s {
		if other != shard && load.lacksCapacity() && load.totalCapacity()+scaleOutYieldMargin < capacity {
			return false
		}
	}
	return true
}
