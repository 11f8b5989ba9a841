package ratelimit

import "testing"

// TestShareByDemand checks shares of a limit of 10, of which 2 are divided evenly and 8
// by demand.
func TestShareByDemand(t *testing.T) {
	idle, unknown := Demand{Known: true}, Demand{}
	for _, test := range []struct {
		name   string
		demand float64
		live   int
		others []Demand
		want   float64
	}{
		{"alone", 0, 1, nil, 10},
		{"alone, demand above the limit", 100, 1, nil, 10},
		{"no demand", 0, 2, []Demand{idle}, 5},
		{"demand within the limit plus half of the unused rate", 4, 2, []Demand{idle}, 1 + 5 + 1.5},
		{"idle next to demand within the limit", 0, 2, []Demand{{4, true}}, 1 + 1.5},
		{"idle next to demand above the limit", 0, 2, []Demand{{100, true}}, 1},
		{"demands far above the limit reduced in proportion", 6, 2, []Demand{{18, true}}, 1 + 2},
		{"demands slightly above the 8 reduced in proportion", 6, 2, []Demand{{2, true}}, 1 + 7.5*8/10},
		{"an unknown demand counts as an even share", 100, 2, []Demand{unknown}, 1 + 125*8/129.0},
		{"the rate of an unknown demand is ignored", 0, 2, []Demand{{Rate: 100}}, 1 + 4.0/2},
		{"more live controllers reduce the even share", 0, 4, []Demand{idle}, 0.5 + 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := ShareByDemand(10, test.demand, test.live, test.others); !almostEqual(got, test.want) {
				t.Errorf("share %v, want %v", got, test.want)
			}
		})
	}
}

// TestSharesAddUpToLimit checks that the shares of controllers with the same information
// add up to the limit, and that each is at least an even share of a fifth of the limit.
func TestSharesAddUpToLimit(t *testing.T) {
	const limit = 3.6
	for _, demands := range [][]float64{{0, 0, 0}, {1, 0, 0}, {5, 1, 0}, {50, 20, 1}, {3.6, 3.6, 3.6}} {
		sum := 0.0
		for self, demand := range demands {
			var others []Demand
			for i, rate := range demands {
				if i != self {
					others = append(others, Demand{Rate: rate, Known: true})
				}
			}
			share := ShareByDemand(limit, demand, len(demands), others)
			if share < limit/5/3-1e-9 {
				t.Errorf("demands %v: share of controller %d is %v, less than its even share", demands, self, share)
			}
			sum += share
		}
		if !almostEqual(sum, limit) {
			t.Errorf("demands %v: shares add up to %v, want %v", demands, sum, limit)
		}
	}
}
