package ratelimit

// evenShareDivisor determines the part of a limit that is divided evenly: the limit divided
// by this number. The even share lets an idle controller start immediately when work
// arrives.
const evenShareDivisor = 5

// demandMargin is the headroom factor on a measured demand. A controller that is held
// back by its share measures no more than that share, so without headroom its share
// would not grow.
const demandMargin = 1.25

// Demand is the demand on a limit that another controller has reported.
type Demand struct {
	Rate  float64 // requests per second that it could use
	Known bool    // whether it has reported its demand recently
}

// ShareByDemand returns this controller's share of a limit that all controllers have in
// common. All rates are per second. demand is the rate that this controller could use,
// liveControllers is the number of live controllers including this one, and others
// holds the demands of the other controllers that are known to be alive.
//
// One fifth of the limit is divided evenly. From the rest each controller gets its
// demand, reduced in proportion if the demands exceed the rest. What the demands leave
// over is divided evenly as well. An unknown demand counts as an even share of the
// rest. The shares of controllers that have the same information add up to the limit.
func ShareByDemand(limit, demand float64, liveControllers int, others []Demand) float64 {
	controllers := float64(liveControllers)
	evenShare := limit / evenShareDivisor / controllers
	rest := limit * (evenShareDivisor - 1) / evenShareDivisor
	ownDemand := demand * demandMargin
	totalDemand := ownDemand
	for _, other := range others {
		if other.Known {
			totalDemand += other.Rate * demandMargin
		} else {
			totalDemand += rest / controllers
		}
	}
	if totalDemand > rest {
		return evenShare + ownDemand*rest/totalDemand
	}
	return evenShare + ownDemand + (rest-totalDemand)/controllers
}
