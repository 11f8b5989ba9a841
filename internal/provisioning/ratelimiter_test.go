package provisioning

import "testing"

// TestDeniedCallRaisesDemand checks that a denied call raises the share at the next
// measurement of the demand.
func TestDeniedCallRaisesDemand(t *testing.T) {
	limiter := newHarness(t).RateLimiter
	limiter.HandleThrottled()
	if limiter.TryAcquire() || !limiter.wasDenied {
		t.Error("a call on an empty bucket was allowed or not recorded as denied")
	}
	before := limiter.Share()
	if limiter.MeasureDemand(); limiter.Share() <= before {
		t.Errorf("share %.2f before and %.2f after a denied call, want a larger share", before, limiter.Share())
	}
}
