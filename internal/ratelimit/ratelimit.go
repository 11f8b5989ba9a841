// Package ratelimit keeps a controller within its share of rates that all controllers
// have in common: a token bucket, and the division of one limit among the controllers
// by what each could use.
package ratelimit

import "stairrelay/internal/cluster"

// TokenBucket gains tokens at a rate up to a capacity. Requests that can't wait are
// charged with Spend even if the bucket is empty: the level becomes negative, and Take
// refuses everything until it has recovered. The zero value is empty and gains
// nothing. A bucket doesn't read a clock: calls that depend on the time get it as an
// argument. It is not safe for concurrent use.
type TokenBucket struct {
	rate       float64 // tokens per second
	capacity   float64
	level      float64
	refilledAt cluster.Time // time of the last refill
}

// SetRate sets the tokens gained per second and the most that the bucket holds. The
// level stays as it is until the next refill, which applies the capacity.
func (b *TokenBucket) SetRate(rate, capacity float64) { b.rate, b.capacity = rate, capacity }

// Rate returns the tokens gained per second.
func (b *TokenBucket) Rate() float64 { return b.rate }

// Capacity returns the most that the bucket holds.
func (b *TokenBucket) Capacity() float64 { return b.capacity }

// Level returns the tokens as of the last refill, less what was spent since. It is
// negative while more was spent than gained.
func (b *TokenBucket) Level() float64 { return b.level }

// Fill raises the level to the capacity.
func (b *TokenBucket) Fill() { b.level = b.capacity }

// Refill adds the tokens gained since the last refill.
func (b *TokenBucket) Refill(now cluster.Time) {
	b.level += b.rate * float64(now-b.refilledAt) / float64(cluster.Second)
	b.level = min(b.level, b.capacity)
	b.refilledAt = now
}

// Take refills the bucket and spends tokens if it holds as many. It reports whether it
// did.
func (b *TokenBucket) Take(now cluster.Time, tokens float64) bool {
	b.Refill(now)
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// Spend takes tokens whether or not the bucket holds them.
func (b *TokenBucket) Spend(tokens float64) { b.level -= tokens }

// Refund returns tokens that turned out not to be used, up to the capacity.
func (b *TokenBucket) Refund(tokens float64) { b.level = min(b.level+tokens, b.capacity) }

// Lower reduces the level to at most the given one. It is used when a server has
// refused a request, which shows that fewer tokens are left than the bucket counts.
func (b *TokenBucket) LowerTo(level float64) { b.level = min(b.level, level) }
