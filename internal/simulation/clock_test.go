package simulation

import (
	"slices"
	"testing"

	"stairrelay/internal/cluster"
)

// TestClockOrdersEvents checks that events run in the order of their due times, and
// those with the same due time in the order in which they were queued.
func TestClockOrdersEvents(t *testing.T) {
	var c clock
	var order []string
	record := func(name string) func() { return func() { order = append(order, name) } }
	c.After(2*second, record("third"))
	c.After(second, record("first"))
	c.After(second, record("second"))
	c.After(3*second, record("too late"))
	c.RunUntil(2 * second)
	if want := []string{"first", "second", "third"}; !slices.Equal(order, want) {
		t.Errorf("order %v, want %v", order, want)
	}
	if c.Now != 2*second {
		t.Errorf("now %v, want %v", c.Now, 2*second)
	}
}

// TestClockRepeatsActionUntilStopped checks that an action repeats at its interval
// until the clock is stopped.
func TestClockRepeatsActionUntilStopped(t *testing.T) {
	var c clock
	var times []cluster.Time
	c.repeatEvery(second, func() {
		times = append(times, c.Now)
		if len(times) == 3 {
			c.stop()
		}
	})
	c.RunUntil(10 * second)
	if want := []cluster.Time{second, 2 * second, 3 * second}; !slices.Equal(times, want) {
		t.Errorf("repeated at %v, want %v", times, want)
	}
}

// TestClockTreatsNegativeDelayAsZero checks that simulated time does not run backwards
// if an event is scheduled with a negative delay.
func TestClockTreatsNegativeDelayAsZero(t *testing.T) {
	var c clock
	c.After(second, func() {
		c.After(-second, func() {
			if c.Now != second {
				t.Errorf("now %v, want %v", c.Now, second)
			}
		})
	})
	c.RunUntil(2 * second)
}
