package provisioning

import "testing"

// TestDeniedCallRaisesDemand checks that a denied request raises the demand, and so the
// share, at the next measurement.
func TestDeniedCallRaisesDemand(t *testing.T) {
	limiter := newHarness(t).RateLimiter
	limiter.HandleThrottled()
	if limiter.TryAcquire() || !limiter.wasDenied {
		t.Error("a request on an empty bucket was allowed or not counted as denied")
	}
	before := limiter.Share()
	if limiter.MeasureDemand(); limiter.Share() <= before {
		t.Errorf("share %.2f before and %.2f after a denied request, want a larger share", before, limiter.Share())
	}
}
