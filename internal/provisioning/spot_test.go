package provisioning

import (
	"math"
	"testing"
)

// TestSpotInterruptionRate checks that the rate starts at one interruption per hour and
// follows the observations.
func TestSpotInterruptionRate(t *testing.T) {
	var spot SpotInterruptions
	if got := spot.Rate() * 3600; math.Abs(got-1) > 1e-9 {
		t.Errorf("%.3f interruptions per hour without observations, want 1", got)
	}
	for range 20 {
		spot.RecordInterruption()
		spot.AddServed(1800 * second)
	}
	if got := spot.Rate() * 3600; got < 1.8 || got > 2 {
		t.Errorf("%.3f interruptions per hour after 20 in 10 hours, want 1.8 to 2", got)
	}
}
