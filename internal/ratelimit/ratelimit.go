// Package ratelimit keeps a controller within its part of rates that all
// controllers share: a token bucket, and the division of one limit among the
// controllers by what each could use.
package ratelimit

import "stairrelay/internal/cluster"

// TokenBucket gains tokens at a rate up to a capacity. What has to be done at
// once may be spent without having been earned: the level is below zero then,
// and nothing else is taken until the debt is paid. The zero value is empty and
// gains nothing. A bucket doesn't read a clock: every call that depends on the
// time is given it.
type TokenBucket struct {
	rate       float64 // tokens a second
	capacity   float64
	level      float64
	refilledAt cluster.Time // up to when the level accounts for the rate
}

// SetRate changes the tokens gained a second and the most that the bucket
// holds. The level stays until the next refill, which applies the capacity.
func (b *TokenBucket) SetRate(rate, capacity float64) { b.rate, b.capacity = rate, capacity }

// Rate returns the tokens gained a second.
func (b *TokenBucket) Rate() float64 { return b.rate }

// Capacity returns the most that the bucket holds.
func (b *TokenBucket) Capacity() float64 { return b.capacity }

// Level returns the tokens as of the last refill, less what was spent since.
// It is negative while the bucket is in debt.
func (b *TokenBucket) Level() float64 { return b.level }

// Fill raises the level to the capacity.
func (b *TokenBucket) Fill() { b.level = b.capacity }

// Refill adds what was gained since the last refill.
func (b *TokenBucket) Refill(now cluster.Time) {
	b.level += b.rate * float64(now-b.refilledAt) / float64(cluster.Second)
	b.level = min(b.level, b.capacity)
	b.refilledAt = now
}

// Take spends tokens if the bucket holds as many, and tells whether it did.
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

// Refund gives back tokens that were spent on nothing.
func (b *TokenBucket) Refund(tokens float64) { b.level = min(b.level+tokens, b.capacity) }

// Lower reduces the level to at most the given one, as when the server has
// shown that less is left than the bucket says.
func (b *TokenBucket) Lower(level float64) { b.level = min(b.level, level) }
