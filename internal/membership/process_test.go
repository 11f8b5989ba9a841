package membership

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// TestOverloadStretchesDelays checks that an overloaded process runs deferrable work
// less often, but at least once a second.
func TestOverloadStretchesDelays(t *testing.T) {
	const delay = 100 * millisecond
	for _, test := range []struct {
		name string
		load messages.ProcessLoad
		want cluster.Time
	}{
		{"at the limits", messages.ProcessLoad{CPUUsage: 0.75, EventDelay: 150 * millisecond}, delay},
		{"above the CPU limit", messages.ProcessLoad{CPUUsage: 0.76}, 500 * millisecond},
		{"above the event delay limit", messages.ProcessLoad{EventDelay: 200 * millisecond}, 600 * millisecond},
		{"far above the event delay limit", messages.ProcessLoad{EventDelay: 20 * second}, second},
	} {
		health := ProcessHealth{}
		health.RecordLoad(test.load)
		if got := health.StretchDelay(delay); got != test.want {
			t.Errorf("%s: %d ms, want %d ms", test.name, got/millisecond, test.want/millisecond)
		}
	}
}
