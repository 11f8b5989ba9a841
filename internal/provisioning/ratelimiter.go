package provisioning

import (
	"stairrelay/internal/eventloop"
	"stairrelay/internal/ratelimit"
)

const (
	// burstSeconds is for how many seconds of its rate the cloud allows bursts.
	burstSeconds = 2
	// demandDecay is what is left of a demand after a second without need: machines
	// are requested in waves.
	demandDecay = 0.8
)

// RequestRate is this controller's share of the cloud's request rate, which is one
// limit for all controllers. Each takes a share of it by what it could use, as with
// the state service's write rate: the owner of the only shard with work would
// otherwise request a fleet at a fraction of the rate, while controllers without need
// had the rest.
type CloudRateLimiter struct {
	loop   *eventloop.Loop
	config *Config

	bucket       ratelimit.TokenBucket
	demand       float64 // requests a second that this controller could use
	recentCalls  int     // since the demand was last measured
	wasDenied    bool    // a request had to wait since then
	countedCalls int     // since the count was last taken
}

// newRequestRate makes a rate whose burst is available in full.
func newCloudRateLimiter(loop *eventloop.Loop, config *Config) *CloudRateLimiter {
	r := &CloudRateLimiter{loop: loop, config: config}
	r.UpdateShare()
	r.bucket.Fill()
	return r
}

// MeasureDemand works out what this controller could use; to be called once a second.
// A need shows at once and fades slowly.
func (r *CloudRateLimiter) MeasureDemand() {
	want := float64(r.recentCalls)
	if r.wasDenied {
		want = r.config.CloudRPS
	}
	r.recentCalls, r.wasDenied = 0, false
	r.SetDemand(max(want, r.demand*demandDecay))
}

// SetDemand takes over how many requests a second this controller could use.
func (r *CloudRateLimiter) SetDemand(demand float64) {
	r.demand = demand
	r.UpdateShare()
}

// Demand is how many requests a second this controller could use.
func (r *CloudRateLimiter) Demand() float64 { return r.demand }

// Divide works out this controller's share anew; to be called when the demand or the
// reachability of another controller has changed.
func (r *CloudRateLimiter) UpdateShare() {
	r.bucket.Refill(r.loop.Now())
	rate := r.config.ShareByDemand(r.config.CloudRPS*r.config.BudgetShare, r.demand)
	r.bucket.SetRate(rate, max(burstSeconds*rate, 1))
}

// Share is how many requests a second this controller may make.
func (r *CloudRateLimiter) Share() float64 { return r.bucket.Rate() }

// TryCall takes a request out of the share. If there is none left it records that a
// request had to wait, and returns false.
func (r *CloudRateLimiter) TryAcquire() bool {
	if !r.bucket.Take(r.loop.Now(), 1) {
		r.wasDenied = true
		return false
	}
	r.countCall()
	return true
}

// ForceCall counts a request that waits for nothing: without the machine types nothing
// runs, and a request that is repeated was taken out of the share once.
func (r *CloudRateLimiter) ForceAcquire() {
	r.bucket.Refill(r.loop.Now())
	r.bucket.Spend(1)
	r.countCall()
}

func (r *CloudRateLimiter) countCall() {
	r.recentCalls++
	r.countedCalls++
}

// HandleThrottled is called when the cloud has refused a request for its rate: the
// controllers' views of their shares differ for a moment, and this one has used more
// than there was.
func (r *CloudRateLimiter) HandleThrottled() { r.bucket.LowerTo(0) }

// TakeCallCount returns the requests made since the count was last taken.
func (r *CloudRateLimiter) TakeCallCount() int {
	count := r.countedCalls
	r.countedCalls = 0
	return count
}
