package provisioning

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

const (
	// maxBackoffDoublings is the maximum number of times that the backoff of an option
	// doubles. A longer backoff saves writes: each request is stored and later deleted.
	maxBackoffDoublings = 2
	// invalidOptionBackoff is the backoff of an option that the cloud rejects as
	// invalid.
	invalidOptionBackoff = 300 * second
	// requestThrottledDelay is the delay before a call that the cloud has throttled is
	// retried.
	requestThrottledDelay = second / 2
	// requestRetryDelay is the delay before a call that failed or has an unknown outcome
	// is retried.
	requestRetryDelay = 3 * second
)

// Requests executes provisioning requests. A request is stored before the cloud is
// called, and retried under its name until it is answered. Retries are idempotent, as
// the cloud grants the machines of a name only once.
type Requests struct {
	*shared
	rateLimiter *CloudRateLimiter

	// onAnswered is called when the cloud has granted machines or is out of capacity for
	// an option, so that another request can be made.
	onAnswered func()
}

// ApplyRecord adds a stored request of an earlier owner to the shard and calls the
// cloud for it again. It ignores the requests of other shards, and drops the shard if the
// record is malformed.
func (r *Requests) ApplyRecord(kv messages.KV, shard *state.Shard) {
	shardID, request, err := decodeRequest(kv)
	if err != nil {
		r.deps.Ownership.DropCorruptShard(shard, kv.Key, err.Error())
		return
	}
	if shardID != shard.ID {
		return
	}
	shard.ProvisioningRequests[request.Name] = request
	r.call(shard, request)
}

// Create enqueues the write of a new request for machines and calls the cloud once the
// request is stored. The caller charges the first call to the rate limiter.
func (r *Requests) Create(shard *state.Shard, option state.ProvisioningOption, count int) {
	request := &state.ProvisioningRequest{
		Name:    r.deps.Names.NextProvisioningRequest(shard),
		Option:  option,
		Count:   count,
		GroupID: r.deps.Names.NextGroup(shard),
	}
	shard.ProvisioningRequests[request.Name] = request
	key := requestKey(request.Name)
	write := &writequeue.Write{
		ShardID: shard.ID,
		Keys:    []string{key},
		Build: func(writeID string) ([]messages.TxnOp, []cluster.ModRevision) {
			value := encodeRequest(shard.ID, request, writeID)
			return []messages.TxnOp{{Key: key, Value: value}}, []cluster.ModRevision{0}
		},
		// The key of the request is absent again once the request is complete, so a late
		// copy of this write could create the request again, and the next owner would
		// record its machines a second time. The copy therefore also requires the group's
		// key to be absent. If a copy may still arrive, completion creates that key, which
		// then exists until the next claim makes the copy fail.
		ExtraCompares: []messages.Compare{{Key: state.GroupKey(request.GroupID), ModRevision: 0}},
		OnConflict:    func() { r.deps.Ownership.HandleForeignWrite(shard, key, "a request with this name already exists") },
	}
	write.OnApplied = func(revision cluster.Revision) {
		request.ModRevision, request.CreateInDoubt = cluster.ModRevision(revision), write.InDoubt
		r.call(shard, request)
	}
	r.queue.Enqueue(writequeue.PriorityScaleOut, write)
}

// call calls the cloud for the machines of a stored request. It charges all calls for the
// request but the first to the rate limiter. It does nothing if the request was answered
// or is no longer current.
func (r *Requests) call(shard *state.Shard, request *state.ProvisioningRequest) {
	if !shard.IsProvisioningCurrent(request) || request.Answered {
		return
	}
	if request.Attempts++; request.Attempts > 1 {
		r.rateLimiter.ForceAcquire()
	}
	call := eventloop.Call(r.loop, func(reply messages.ScaleOutReply) {
		if shard.IsProvisioningCurrent(request) {
			r.handleReply(shard, request, reply)
		}
	})
	r.loop.Emit(messages.CloudScaleOut{
		Call:  call,
		Name:  request.Name,
		Type:  request.Option.Type,
		Zone:  request.Option.Zone,
		Spot:  request.Option.Spot,
		Count: request.Count,
	})
}

func (r *Requests) handleReply(shard *state.Shard, request *state.ProvisioningRequest, reply messages.ScaleOutReply) {
	switch reply.Outcome { //nolint:exhaustive // after any other outcome the request is retried
	case messages.OK:
		r.handleGranted(shard, request, reply.IDs)
	case messages.NotFound:
		r.handleOutOfCapacity(shard, request)
	case messages.Invalid:
		r.backOff(shard, request.Option, invalidOptionBackoff)
		request.MarkAnswered(0)
		r.complete(shard, request, nil)
	case messages.Throttled:
		r.rateLimiter.HandleThrottled()
		r.loop.After(requestThrottledDelay, func() { r.call(shard, request) })
	default:
		r.loop.After(requestRetryDelay, func() { r.call(shard, request) })
	}
}

// handleGranted completes a request for which the cloud has granted machines. If there are
// fewer than requested, the option is backed off.
func (r *Requests) handleGranted(shard *state.Shard, request *state.ProvisioningRequest, ids []cluster.MachineID) {
	option := request.Option
	r.loop.Log(messages.LogDebug, "machines provisioned", "shard", int(shard.ID), "type", option.Type, "zone", option.Zone, "spot", option.Spot, "requested", request.Count, "granted", len(ids))
	if len(ids) < request.Count {
		r.backOff(shard, option, r.config.OutOfCapacityBackoff)
	}
	delete(shard.OutOfCapacityCount, option)
	request.MarkAnswered(len(ids))
	r.complete(shard, request, ids)
	r.onAnswered()
}

// handleOutOfCapacity completes a request for whose option the cloud has no capacity, and
// backs off the option. Each consecutive rejection doubles the backoff, at most
// maxBackoffDoublings times.
func (r *Requests) handleOutOfCapacity(shard *state.Shard, request *state.ProvisioningRequest) {
	option := request.Option
	doublings := shard.OutOfCapacityCount[option]
	r.backOff(shard, option, r.config.OutOfCapacityBackoff<<doublings)
	shard.OutOfCapacityCount[option] = min(doublings+1, maxBackoffDoublings)
	request.MarkAnswered(0)
	r.complete(shard, request, nil)
	r.onAnswered()
}

// backOff prevents requests for an option for the given duration.
func (r *Requests) backOff(shard *state.Shard, option state.ProvisioningOption, duration cluster.Time) {
	shard.OptionBackoffUntil[option] = r.loop.Now() + duration
}
