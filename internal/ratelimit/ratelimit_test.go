package ratelimit

import (
	"math"
	"testing"

	"stairrelay/internal/cluster"
)

// near compares rates that were computed with rounding.
func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// TestTokenBucket checks that tokens are gained at the rate up to the capacity, and that
// a refused request costs nothing.
func TestTokenBucket(t *testing.T) {
	var bucket TokenBucket
	bucket.SetRate(4, 10)
	if bucket.Take(0, 1) {
		t.Error("a token was taken from an empty bucket")
	}
	if !bucket.Take(cluster.Second/2, 2) || bucket.Take(cluster.Second/2, 0.1) {
		t.Errorf("half a second at 4 tokens per second was not 2 tokens: %v are left", bucket.Level())
	}
	if bucket.Refill(100 * cluster.Second); bucket.Level() != 10 {
		t.Errorf("a full bucket of 10 holds %v", bucket.Level())
	}
	if bucket.Take(100*cluster.Second, 11) || bucket.Level() != 10 {
		t.Errorf("more than the capacity was taken, or a refusal cost tokens: %v are left", bucket.Level())
	}
}

// TestDebt checks that nothing is taken while more was spent than gained.
func TestDebt(t *testing.T) {
	var bucket TokenBucket
	bucket.SetRate(1, 5)
	bucket.Fill()
	if bucket.Spend(7); bucket.Level() != -2 {
		t.Errorf("5 less 7 left %v", bucket.Level())
	}
	if bucket.Take(2*cluster.Second, 1) {
		t.Error("a token was taken at a negative level")
	}
	if !bucket.Take(3*cluster.Second, 1) {
		t.Error("no token after the level has recovered")
	}
}

// TestRefund checks that a refund never exceeds the capacity.
func TestRefund(t *testing.T) {
	var bucket TokenBucket
	bucket.SetRate(1, 5)
	if bucket.Refund(3); bucket.Level() != 3 {
		t.Errorf("a refund of 3 left %v", bucket.Level())
	}
	if bucket.Refund(3); bucket.Level() != 5 {
		t.Errorf("a bucket of 5 holds %v", bucket.Level())
	}
}

// TestLower checks that the level is reduced to the given one and never raised.
func TestLower(t *testing.T) {
	var bucket TokenBucket
	bucket.SetRate(1, 5)
	bucket.Fill()
	if bucket.LowerTo(0); bucket.Level() != 0 {
		t.Errorf("lowered to 0, holds %v", bucket.Level())
	}
	bucket.Spend(3)
	if bucket.LowerTo(-1); bucket.Level() != -3 {
		t.Errorf("in debt by 3, lowered to -1 and holds %v", bucket.Level())
	}
}

// TestRateChange checks that a lower capacity applies from the next refill on.
func TestRateChange(t *testing.T) {
	var bucket TokenBucket
	bucket.SetRate(1, 5)
	bucket.Fill()
	bucket.SetRate(3, 2)
	if bucket.Rate() != 3 || bucket.Capacity() != 2 || bucket.Level() != 5 {
		t.Errorf("rate %v, capacity %v, level %v", bucket.Rate(), bucket.Capacity(), bucket.Level())
	}
	if bucket.Refill(cluster.Second); bucket.Level() != 2 {
		t.Errorf("a bucket cut to 2 holds %v", bucket.Level())
	}
}
