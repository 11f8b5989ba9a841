package provisioning

import (
	"stairrelay/internal/eventloop"
	"stairrelay/internal/ratelimit"
)

const (
	// burstSeconds is the burst of calls that the cloud allows, divided by the rate.
	burstSeconds = 2
	// demandDecay is the factor by which the demand decays each second. The slow decay
	// keeps the share between bursts of provisioning requests.
	demandDecay = 0.8
)

// CloudRateLimiter keeps this controller's calls to the cloud within its share of the rate
// limit that all controllers have in common. The limit is shared by demand. With even
// shares, the owner of the only shard with work could use just a fraction of the limit,
// and the rest would go unused.
type CloudRateLimiter struct {
	loop   *eventloop.Loop
	config *Config

	bucket                ratelimit.TokenBucket
	demand                float64 // calls per second that this controller could use
	callsSinceMeasurement int     // calls since MeasureDemand was last called
	wasDenied             bool    // whether a call was denied since MeasureDemand was last called
	unreportedCalls       int     // calls since TakeCallCount was last called
}

// newCloudRateLimiter returns a limiter with a full bucket.
func newCloudRateLimiter(loop *eventloop.Loop, config *Config) *CloudRateLimiter {
	r := &CloudRateLimiter{loop: loop, config: config}
	r.UpdateShare()
	r.bucket.Fill()
	return r
}

// MeasureDemand updates the demand and the share from the calls to the cloud since it was
// last called. It must be called once a second. The demand rises immediately, to the whole
// limit if a call was denied, and decays slowly.
func (r *CloudRateLimiter) MeasureDemand() {
	needed := float64(r.callsSinceMeasurement)
	if r.wasDenied {
		needed = r.config.CloudRPS
	}
	r.callsSinceMeasurement, r.wasDenied = 0, false
	r.SetDemand(max(needed, r.demand*demandDecay))
}

// SetDemand sets the number of calls per second that this controller could use, and updates
// its share.
func (r *CloudRateLimiter) SetDemand(demand float64) {
	r.demand = demand
	r.UpdateShare()
}

// Demand returns the number of calls per second that this controller could use.
func (r *CloudRateLimiter) Demand() float64 { return r.demand }

// UpdateShare recomputes this controller's share. It must be called after the demand of
// this controller or the reachability of another one has changed.
func (r *CloudRateLimiter) UpdateShare() {
	r.bucket.Refill(r.loop.Now())
	rate := r.config.ShareByDemand(r.config.CloudRPS*r.config.BudgetShare, r.demand)
	r.bucket.SetRate(rate, max(burstSeconds*rate, 1))
}

// Share returns the number of calls per second that this controller may make.
func (r *CloudRateLimiter) Share() float64 { return r.bucket.Rate() }

// TryAcquire charges a call if the share allows it, and reports whether it did. A denied
// call raises the demand at the next measurement.
func (r *CloudRateLimiter) TryAcquire() bool {
	if !r.bucket.Take(r.loop.Now(), 1) {
		r.wasDenied = true
		return false
	}
	r.countCall()
	return true
}

// ForceAcquire charges a call that is made even if it exceeds the share, such as a retry
// or the fetch of the machine types, without which no task can start.
func (r *CloudRateLimiter) ForceAcquire() {
	r.bucket.Refill(r.loop.Now())
	r.bucket.Spend(1)
	r.countCall()
}

func (r *CloudRateLimiter) countCall() {
	r.callsSinceMeasurement++
	r.unreportedCalls++
}

// HandleThrottled empties the bucket after the cloud has throttled a call. While the
// controllers have different information about each other, their shares may add up to
// more than the limit.
func (r *CloudRateLimiter) HandleThrottled() { r.bucket.LowerTo(0) }

// TakeCallCount returns the number of calls charged since it was last called.
func (r *CloudRateLimiter) TakeCallCount() int {
	count := r.unreportedCalls
	r.unreportedCalls = 0
	return count
}
