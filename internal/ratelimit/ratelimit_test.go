package ratelimit

import (
	"math"
	"testing"

	"stairrelay/internal/cluster"
)

// almostEqual reports whether two rates are equal except for rounding errors.
func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// TestTokenBucket checks that tokens are gained at the rate up to the capacity, and
// that a failed Take spends none.
func TestTokenBucket(t *testing.T) {
	var bucket TokenBucket
	bucket.SetRate(4, 10)
	if bucket.Take(0, 1) {
		t.Error("Take succeeded on an empty bucket")
	}
	if !bucket.Take(cluster.Second/2, 2) || bucket.Take(cluster.Second/2, 0.1) {
		t.Errorf("after 0.5 s at 4 tokens per second Take did not yield exactly 2 tokens; level %v", bucket.Level())
	}
	if bucket.Refill(100 * cluster.Second); bucket.Level() != 10 {
		t.Errorf("level %v after a long time, want the capacity of 10", bucket.Level())
	}
	if bucket.Take(100*cluster.Second, 11) || bucket.Level() != 10 {
		t.Errorf("Take of more than the capacity succeeded or changed the level: %v, want 10", bucket.Level())
	}
}

// TestNegativeLevel checks that Take fails until a negative level has recovered.
func TestNegativeLevel(t *testing.T) {
	var bucket TokenBucket
	bucket.SetRate(1, 5)
	bucket.Fill()
	if bucket.Spend(7); bucket.Level() != -2 {
		t.Errorf("level %v after spending 7 of 5 tokens, want -2", bucket.Level())
	}
	if bucket.Take(2*cluster.Second, 1) {
		t.Error("Take succeeded before the level had recovered")
	}
	if !bucket.Take(3*cluster.Second, 1) {
		t.Error("Take failed after the level had recovered")
	}
}

// TestRefund checks that a refund does not exceed the capacity.
func TestRefund(t *testing.T) {
	var bucket TokenBucket
	bucket.SetRate(1, 5)
	if bucket.Refund(3); bucket.Level() != 3 {
		t.Errorf("level %v after a refund of 3 to an empty bucket, want 3", bucket.Level())
	}
	if bucket.Refund(3); bucket.Level() != 5 {
		t.Errorf("level %v after a refund beyond the capacity, want 5", bucket.Level())
	}
}

// TestLowerTo checks that the level is reduced to the given one and never raised.
func TestLowerTo(t *testing.T) {
	var bucket TokenBucket
	bucket.SetRate(1, 5)
	bucket.Fill()
	if bucket.LowerTo(0); bucket.Level() != 0 {
		t.Errorf("level %v after LowerTo(0), want 0", bucket.Level())
	}
	bucket.Spend(3)
	if bucket.LowerTo(-1); bucket.Level() != -3 {
		t.Errorf("level %v after LowerTo(-1) at -3, want -3", bucket.Level())
	}
}

// TestCapacityReduced checks that a lower capacity applies from the next refill on.
func TestCapacityReduced(t *testing.T) {
	var bucket TokenBucket
	bucket.SetRate(1, 5)
	bucket.Fill()
	bucket.SetRate(3, 2)
	if bucket.Rate() != 3 || bucket.Capacity() != 2 || bucket.Level() != 5 {
		t.Errorf("rate %v, capacity %v, level %v", bucket.Rate(), bucket.Capacity(), bucket.Level())
	}
	if bucket.Refill(cluster.Second); bucket.Level() != 2 {
		t.Errorf("level %v after a refill, want the new capacity of 2", bucket.Level())
	}
}
