package ratelimit

// evenDivisor: one part in this many of a limit is divided evenly, so that an
// idle controller can begin at once when work comes.
const evenDivisor = 5

// demandMargin is how much more than its measured demand a controller is
// reckoned to need: a demand that is measured under a tight share would else
// never show that it is larger.
const demandMargin = 1.25

// Demand is what another controller has told of its use of a limit.
type Demand struct {
	Rate  float64 // a second that it could use
	Known bool    // false: nothing was heard of it lately
}

// Divide returns the share of a limit that falls to a controller which could
// use a rate of demand, among live controllers of which others are those known
// to be alive beside it. A fifth is divided evenly; of the rest each gets what
// it could use, in proportion where that is more than there is, and what nobody
// could use is divided evenly too. A controller not heard of lately counts with
// an even part of the rest.
func Divide(limit, demand float64, live int, others []Demand) float64 {
	members := float64(live)
	even := limit / evenDivisor / members
	rest := limit * (evenDivisor - 1) / evenDivisor
	mine := demand * demandMargin
	sum := mine
	for _, other := range others {
		if other.Known {
			sum += other.Rate * demandMargin
		} else {
			sum += rest / members
		}
	}
	if sum > rest {
		return even + mine*rest/sum
	}
	return even + mine + (rest-sum)/members
}
