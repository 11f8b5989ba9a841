// Package sharing decides how much of all machines each part should have: what
// it gives up to parts that lack machines, to whom, and whether it may rent
// more. It is given a snapshot of every part's load and returns decisions.
package sharing

import "stairrelay/internal/model"

// cpu is one CPU as an Amount.
const cpu = model.AmountsPerUnit

// retireReserve is what a part keeps beyond its need before it returns machines
// for their price: a job or two of usual size.
const retireReserve = 8 * cpu

// rentLead is how much less than this part another one that lacks machines must
// have to be let rent first: less of a difference is not worth a delay.
const rentLead = 16 * cpu

// PartLoad is what a part has and what its jobs could use, by priority. All
// amounts are CPUs. Controllers send it to each other.
type PartLoad struct {
	Part   model.Part                         `cbor:"Part"`
	Have   model.Amount                       `cbor:"Have"`   // usable now
	Coming model.Amount                       `cbor:"Coming"` // booting
	Demand [model.Production + 1]model.Amount `cbor:"Demand"`
}

// Need is what the part's jobs could use in all.
func (l PartLoad) Need() model.Amount {
	var sum model.Amount
	for _, demand := range l.Demand {
		sum += demand
	}
	return sum
}

// total is what the part has and will have.
func (l PartLoad) total() model.Amount { return l.Have + l.Coming }

// lacks tells whether the part's jobs could use more than it will have.
func (l PartLoad) lacks() bool { return l.Need() > l.total() }

// Surplus is what the part can do without when a share of its need is kept as
// spare room; negative: it has less than that.
func (l PartLoad) Surplus(spareShare float64) model.Amount {
	need := l.Need()
	return l.Have - need - model.Amount(float64(need)*spareShare) - retireReserve
}

// Snapshot is every part's load as far as it is known.
type Snapshot map[model.Part]PartLoad

// OthersLack tells whether a part other than the given lacks machines.
func (s Snapshot) OthersLack(part model.Part) bool {
	for other, load := range s {
		if other != part && load.lacks() {
			return true
		}
	}
	return false
}

// RentsFirst tells whether no other part that lacks machines has much less than
// the given one: what the cloud still has should go to such a part first.
func (s Snapshot) RentsFirst(part model.Part) bool {
	own := s[part].total()
	for other, load := range s {
		if other != part && load.lacks() && load.total()+rentLead < own {
			return false
		}
	}
	return true
}
