package ratelimit

// evenDivisor: one fifth of a limit is divided evenly, so that an idle controller can
// begin at once when work arrives.
const evenDivisor = 5

// demandMargin is the factor by which a controller's demand is taken to exceed the
// measured one. A demand measured under a tight share would otherwise never show that
// it is larger.
const demandMargin = 1.25

// Demand is what another controller has reported of its use of a limit.
type Demand struct {
	Rate  float64 // what it could use, per second
	Known bool    // false: it has reported nothing lately
}

// Divide returns a controller's share of a limit that all controllers share; limit,
// demand and result are rates per second. demand is what this controller could use,
// live the number of controllers that are alive, and others the demands of those
// known to be alive beside it.
//
// A fifth of the limit is divided evenly. Of the rest each controller gets what it
// could use, in proportion where that exceeds the rest, and what nobody could use is
// divided evenly too. A controller whose demand is not known counts with an even
// share of the rest. The shares of controllers that know the same add up to the
// limit.
func ShareByDemand(limit, demand float64, live int, others []Demand) float64 {
	members := float64(live)
	evenShare := limit / evenDivisor / members
	rest := limit * (evenDivisor - 1) / evenDivisor
	ownDemand := demand * demandMargin
	totalDemand := ownDemand
	for _, other := range others {
		if other.Known {
			totalDemand += other.Rate * demandMargin
		} else {
			totalDemand += rest / members
		}
	}
	if totalDemand > rest {
		return evenShare + ownDemand*rest/totalDemand
	}
	return evenShare + ownDemand + (rest-totalDemand)/members
}
