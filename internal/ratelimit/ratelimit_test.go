package ratelimit

import (
	"math"
	"testing"

	"stairrelay/internal/cluster"
)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// TestTokenBucket: tokens come at the rate, never beyond the capacity, and what
// is refused costs nothing.
func TestTokenBucket(t *testing.T) {
	var b TokenBucket
	b.SetRate(4, 10)
	if b.Take(0, 1) {
		t.Error("an empty bucket gave a token")
	}
	if !b.Take(cluster.Second/2, 2) || b.Take(cluster.Second/2, 0.1) {
		t.Errorf("half a second at 4 tokens a second was not 2 tokens: %v are left", b.Level())
	}
	if b.Refill(100 * cluster.Second); b.Level() != 10 {
		t.Errorf("a full bucket of 10 holds %v", b.Level())
	}
	if b.Take(100*cluster.Second, 11) || b.Level() != 10 {
		t.Errorf("more than the capacity was given, or a refusal cost: %v", b.Level())
	}
}

// TestDebt: what was spent without being earned is paid before anything else.
func TestDebt(t *testing.T) {
	var b TokenBucket
	b.SetRate(1, 5)
	b.Fill()
	if b.Spend(7); b.Level() != -2 {
		t.Errorf("5 less 7 left %v", b.Level())
	}
	if b.Take(2*cluster.Second, 1) {
		t.Error("a token was given out of debt")
	}
	if !b.Take(3*cluster.Second, 1) {
		t.Error("no token after the debt was paid")
	}
}

// TestRefund: a refund never goes beyond the capacity.
func TestRefund(t *testing.T) {
	var b TokenBucket
	b.SetRate(1, 5)
	if b.Refund(3); b.Level() != 3 {
		t.Errorf("a refund of 3 left %v", b.Level())
	}
	if b.Refund(3); b.Level() != 5 {
		t.Errorf("a bucket of 5 holds %v", b.Level())
	}
}

// TestLower: the level goes down to the given one and never up.
func TestLower(t *testing.T) {
	var b TokenBucket
	b.SetRate(1, 5)
	b.Fill()
	if b.Lower(0); b.Level() != 0 {
		t.Errorf("lowered to 0, holds %v", b.Level())
	}
	b.Spend(3)
	if b.Lower(-1); b.Level() != -3 {
		t.Errorf("in debt by 3, lowered to -1 and holds %v", b.Level())
	}
}

// TestRateChange: a lower capacity applies with the next refill.
func TestRateChange(t *testing.T) {
	var b TokenBucket
	b.SetRate(1, 5)
	b.Fill()
	b.SetRate(3, 2)
	if b.Rate() != 3 || b.Capacity() != 2 || b.Level() != 5 {
		t.Errorf("rate %v, capacity %v, level %v", b.Rate(), b.Capacity(), b.Level())
	}
	if b.Refill(cluster.Second); b.Level() != 2 {
		t.Errorf("a bucket cut to 2 holds %v", b.Level())
	}
}
