package provisioning

import "testing"

// TestDeniedCallRaisesDemand shows that a call that had to wait shows as demand at
// once.
func TestDeniedCallRaisesDemand(t *testing.T) {
	rate := newHarness(t).RateLimiter
	rate.HandleThrottled()
	if rate.TryAcquire() || !rate.wasDenied {
		t.Error("a call without a share was let through, or not noted")
	}
	before := rate.Share()
	if rate.MeasureDemand(); rate.Share() <= before {
		t.Errorf("rate %.2f before and %.2f after calls had to wait", before, rate.Share())
	}
}
