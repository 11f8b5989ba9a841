package ratelimit

import "testing"

// TestDivide works out shares of a limit of 10: 2 go evenly, 8 by need.
func TestDivide(t *testing.T) {
	idle, unknown := Demand{Known: true}, Demand{}
	for _, x := range []struct {
		name   string
		demand float64
		live   int
		others []Demand
		want   float64
	}{
		{"alone", 0, 1, nil, 10},
		{"alone, wants more than there is", 100, 1, nil, 10},
		{"nobody needs anything: evenly", 0, 2, []Demand{idle}, 5},
		{"need that fits, and half of what is over", 4, 2, []Demand{idle}, 1 + 5 + 1.5},
		{"idle beside need that fits", 0, 2, []Demand{{4, true}}, 1 + 1.5},
		{"idle beside need of all", 0, 2, []Demand{{100, true}}, 1},
		{"in proportion", 6, 2, []Demand{{18, true}}, 1 + 2},
		{"in proportion where a little is missing", 6, 2, []Demand{{2, true}}, 1 + 7.5*8/10},
		{"one not heard of counts with an even part", 100, 2, []Demand{unknown}, 1 + 125*8/129.0},
		{"what a silent one told before doesn't count", 0, 2, []Demand{{Rate: 100}}, 1 + 4.0/2},
		{"live ones beyond the others dilute the even part", 0, 4, []Demand{idle}, 0.5 + 2},
	} {
		if got := Divide(10, x.demand, x.live, x.others); !near(got, x.want) {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
}

// TestDivideWithinLimit: the shares of controllers that know the same of each
// other add up to the limit, whatever they need.
func TestDivideWithinLimit(t *testing.T) {
	for _, demands := range [][]float64{{0, 0, 0}, {1, 0, 0}, {5, 1, 0}, {50, 20, 1}, {3.6, 3.6, 3.6}} {
		sum := 0.0
		for self, demand := range demands {
			var others []Demand
			for i, d := range demands {
				if i != self {
					others = append(others, Demand{d, true})
				}
			}
			share := Divide(3.6, demand, len(demands), others)
			if share < 3.6/5/3-1e-9 {
				t.Errorf("demands %v: controller %d could not begin with %v", demands, self, share)
			}
			sum += share
		}
		if !near(sum, 3.6) {
			t.Errorf("demands %v: the shares add up to %v of 3.6", demands, sum)
		}
	}
}
