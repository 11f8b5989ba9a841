// Package ratelimit keeps a controller within its share of the rate limits that all
// controllers have in common. It provides a token bucket and the division of a limit
// among the controllers by demand.
package ratelimit

import "stairrelay/internal/cluster"

// A TokenBucket gains tokens at a rate up to a capacity. Spend charges a request that
// can't wait even if the bucket is empty: the level becomes negative, and Take fails
// until it has recovered. The zero value is empty and gains no tokens. A bucket has no
// clock; methods that depend on the time take it as an argument. It is not safe for
// concurrent use.
type TokenBucket struct {
	rate       float64 // tokens per second
	capacity   float64
	level      float64
	refilledAt cluster.Time // time of the last refill
}

// SetRate sets the tokens gained per second and the capacity. The level stays as it is
// until the next refill, which applies the new capacity.
func (b *TokenBucket) SetRate(rate, capacity float64) { b.rate, b.capacity = rate, capacity }

// Rate returns the number of tokens gained per second.
func (b *TokenBucket) Rate() float64 { return b.rate }

// Capacity returns the maximum number of tokens that the bucket holds.
func (b *TokenBucket) Capacity() float64 { return b.capacity }

// Level returns the number of tokens as of the last refill, less those spent since. It
// is negative if more tokens were spent than gained.
func (b *TokenBucket) Level() float64 { return b.level }

// Fill raises the level to the capacity.
func (b *TokenBucket) Fill() { b.level = b.capacity }

// Refill adds the tokens gained since the last refill.
func (b *TokenBucket) Refill(now cluster.Time) {
	b.level += b.rate * float64(now-b.refilledAt) / float64(cluster.Second)
	b.level = min(b.level, b.capacity)
	b.refilledAt = now
}

// Take refills the bucket and spends tokens if it holds that many. It reports whether
// the tokens were spent.
func (b *TokenBucket) Take(now cluster.Time, tokens float64) bool {
	b.Refill(now)
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// Spend spends tokens whether or not the bucket holds them.
func (b *TokenBucket) Spend(tokens float64) { b.level -= tokens }

// Refund returns tokens that were spent but not needed, up to the capacity.
func (b *TokenBucket) Refund(tokens float64) { b.level = min(b.level+tokens, b.capacity) }

// LowerTo reduces the level to at most the given one. It is called after a server has
// throttled a request, which shows that fewer tokens are left than the bucket counts.
func (b *TokenBucket) LowerTo(level float64) { b.level = min(b.level, level) }
