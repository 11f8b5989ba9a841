// Package sharing decides how much of all machines each part should have: what
// it gives up to parts that lack machines, to whom, and whether it may rent
// more. It is given a snapshot of every part's load and returns decisions.
package sharing

import "stairrelay/internal/model"

// cpu is one CPU as an Amount.
const cpu = model.AmountsPerUnit

// retireReserve is what a part keeps beyond its need before it returns machines
// for their price: a job or two of usual size.
const scaleInReserve = 8 * cpu

// rentLead is how much less than this part another one that lacks machines must
// have to be let rent first: less of a difference is not worth a delay.
const scaleOutLead = 16 * cpu

// PartLoad is what a part has and what its jobs could use, by priority. All
// amounts are CPUs. Controllers send it to each other.
type ShardLoad struct {
	Shard     model.ShardID                      `cbor:"Part"`
	Available model.Amount                       `cbor:"Have"`   // usable now
	Booting   model.Amount                       `cbor:"Coming"` // booting
	Demand    [model.Production + 1]model.Amount `cbor:"Demand"`
}

// Need is what the part's jobs could use in all.
func (l ShardLoad) TotalDemand() model.Amount {
	var sum model.Amount
	for _, demand := range l.Demand {
		sum += demand
	}
	return sum
}

// total is what the part has and will have.
func (l ShardLoad) totalCapacity() model.Amount { return l.Available + l.Booting }

// lacks tells whether the part's jobs could use more than it will have.
func (l ShardLoad) hasShortfall() bool { return l.TotalDemand() > l.totalCapacity() }

// Surplus is what the part can do without when a share of its need is kept as
// spare room; negative: it has less than that.
func (l ShardLoad) Surplus(spareShare float64) model.Amount {
	need := l.TotalDemand()
	return l.Available - need - model.Amount(float64(need)*spareShare) - scaleInReserve
}

// Snapshot is every part's load as far as it is known.
type Snapshot map[model.ShardID]ShardLoad

// OthersLack tells whether a part other than the given lacks machines.
func (s Snapshot) OthersHaveShortfall(part model.ShardID) bool {
	for other, load := range s {
		if other != part && load.hasShortfall() {
			return true
		}
	}
	return false
}

// RentsFirst tells whether no other part that lacks machines has much less than
// the given one: what the cloud still has should go to such a part first.
func (s Snapshot) CanScaleOutFirst(part model.ShardID) bool {
	own := s[part].totalCapacity()
	for other, load := range s {
		if other != part && load.hasShortfall() && load.totalCapacity()+scaleOutLead < own {
			return false
		}
	}
	return true
}
