package provisioning

import (
	"math"
	"testing"
)

// TestSpotInterruptionRate shows that one interruption in an hour is assumed at first, and
// that what was observed outweighs it in time.
func TestSpotInterruptionRate(t *testing.T) {
	var spot SpotInterruptions
	if got := spot.Rate() * 3600; math.Abs(got-1) > 1e-9 {
		t.Errorf("%.3f interruptions an hour before any was observed", got)
	}
	for range 20 {
		spot.RecordInterruption()
		spot.AddServed(1800 * second)
	}
	if got := spot.Rate() * 3600; got < 1.8 || got > 2 {
		t.Errorf("%.3f interruptions an hour after 20 in 10 hours", got)
	}
}
