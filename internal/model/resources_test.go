package model

import "testing"

// TestHolds: the scarcest resource counts; what is overdrawn holds nothing, and a
// need of nothing has a bound.
func TestHolds(t *testing.T) {
	room := Res{CPU: 8, GPU: 2, Mem: 100}
	for _, test := range []struct {
		need Res
		want int
	}{
		{Res{CPU: 2, Mem: 10}, 4},
		{Res{CPU: 2, GPU: 1, Mem: 10}, 2},
		{Res{CPU: 9}, 0},
		{Res{}, mostHeld},
	} {
		if got := room.Holds(test.need); got != test.want {
			t.Errorf("%+v holds %+v %d times, want %d", room, test.need, got, test.want)
		}
	}
	if got := room.Minus(Res{CPU: 20}).Holds(Res{CPU: 1}); got != 0 {
		t.Errorf("overdrawn room holds %d", got)
	}
	if need := (Res{CPU: 4, GPU: 1, Mem: 50}); !need.Times(2).Fits(room) || need.Times(3).Fits(room) {
		t.Error("two fit, three don't")
	}
}
