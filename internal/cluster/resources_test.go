package cluster

import "testing"

// TestHolds: the scarcest resource counts; what is overdrawn holds nothing, and a
// need of nothing has a bound.
func TestHolds(t *testing.T) {
	room := Resources{CPU: 8, GPU: 2, Memory: 100}
	for _, test := range []struct {
		need Resources
		want int
	}{
		{Resources{CPU: 2, Memory: 10}, 4},
		{Resources{CPU: 2, GPU: 1, Memory: 10}, 2},
		{Resources{CPU: 9}, 0},
		{Resources{}, maxFitCount},
	} {
		if got := room.FitCount(test.need); got != test.want {
			t.Errorf("%+v holds %+v %d times, want %d", room, test.need, got, test.want)
		}
	}
	if got := room.Minus(Resources{CPU: 20}).FitCount(Resources{CPU: 1}); got != 0 {
		t.Errorf("overdrawn room holds %d", got)
	}
	if need := (Resources{CPU: 4, GPU: 1, Memory: 50}); !need.Times(2).FitsIn(room) || need.Times(3).FitsIn(room) {
		t.Error("two fit, three don't")
	}
}
