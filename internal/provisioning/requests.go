package provisioning

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

const (
	// maxBackoffDoublings bounds how often the back-off of an option doubles: each
	// request costs two puts, a whole second's worth where the write rate is low.
	maxBackoffDoublings = 2
	// invalidOptionBackoff is the back-off of an option that the cloud calls invalid.
	invalidOptionBackoff = 300 * second
	// requestThrottledDelay is the wait before a request is repeated that the cloud
	// has refused for its rate.
	requestThrottledDelay = second / 2
	// requestRetryDelay is the wait before a request is repeated whose outcome is not
	// known.
	requestRetryDelay = 3 * second
)

// Requests carries out provisioning requests. Each is recorded before the cloud is
// called, and repeated under its name until it is answered: the cloud grants the
// machines of a name once, however often it is asked for them.
type Requests struct {
	*shared
	rate *RequestRate

	// handleAnswer is called when the cloud has answered a request, so that another
	// one may take its place.
	handleAnswer func()
}

// ApplyRecord takes in the record of a request that an earlier owner of a shard has left,
// and calls the cloud for it again.
func (r *Requests) ApplyRecord(kv messages.KV, shard *state.Shard) {
	owner, request, err := decodeRequest(kv)
	if err != nil {
		r.deps.Ownership.DropCorruptShard(shard, kv.Key, err.Error())
		return
	}
	if owner != shard.ID {
		return
	}
	shard.ProvisioningRequests[request.Name] = request
	r.call(shard, request)
}

// Create records a request for machines, and calls the cloud once it is stored. The
// first call is charged by the caller.
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
		// Once the request is settled its key is absent again, and a late copy of this
		// write would bring it back; the next owner would then record its machines a
		// second time. The key of its machines' group stays until the next claim
		// fences off the copy.
		ExtraCompares: []messages.Compare{{Key: state.GroupKey(request.GroupID), ModRevision: 0}},
		OnConflict:    func() { r.deps.Ownership.HandleForeignWrite(shard, key, "name is in use") },
	}
	write.OnApplied = func(revision cluster.Revision) {
		request.ModRevision, request.CreateInDoubt = cluster.ModRevision(revision), write.InDoubt
		r.call(shard, request)
	}
	r.queue.Enqueue(writequeue.PriorityScaleOut, write)
}

// call asks the cloud for the machines of a recorded request.
func (r *Requests) call(shard *state.Shard, request *state.ProvisioningRequest) {
	if !shard.IsProvisioningCurrent(request) || request.Answered {
		return
	}
	if request.Attempts++; request.Attempts > 1 {
		r.rate.ForceCall()
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
	switch reply.Outcome { //nolint:exhaustive // after any other outcome the request may have been carried out, and is repeated
	case messages.OK:
		r.handleGranted(shard, request, reply.IDs)
	case messages.NotFound:
		r.handleOutOfCapacity(shard, request)
	case messages.Invalid:
		r.backOff(shard, request.Option, invalidOptionBackoff)
		request.MarkAnswered(0)
		r.complete(shard, request, nil)
	case messages.Throttled:
		r.rate.HandleThrottled()
		r.loop.After(requestThrottledDelay, func() { r.call(shard, request) })
	default:
		r.loop.After(requestRetryDelay, func() { r.call(shard, request) })
	}
}

// handleGranted is called when the cloud has granted machines, perhaps fewer than were
// asked for.
func (r *Requests) handleGranted(shard *state.Shard, request *state.ProvisioningRequest, ids []cluster.MachineID) {
	option := request.Option
	r.loop.Log(messages.LogDebug, "machines provisioned", "shard", int(shard.ID), "type", option.Type, "zone", option.Zone, "spot", option.Spot, "requested", request.Count, "granted", len(ids))
	if len(ids) < request.Count {
		r.backOff(shard, option, r.config.OutOfCapacityBackoff)
	}
	delete(shard.OutOfCapacityCount, option)
	request.MarkAnswered(len(ids))
	r.complete(shard, request, ids)
	r.handleAnswer()
}

// handleOutOfCapacity is called when the cloud has no machines of a request's option. It
// is not requested again before a pause, which doubles each time in a row.
func (r *Requests) handleOutOfCapacity(shard *state.Shard, request *state.ProvisioningRequest) {
	option := request.Option
	doublings := shard.OutOfCapacityCount[option]
	r.backOff(shard, option, r.config.OutOfCapacityBackoff<<doublings)
	shard.OutOfCapacityCount[option] = min(doublings+1, maxBackoffDoublings)
	request.MarkAnswered(0)
	r.complete(shard, request, nil)
	r.handleAnswer()
}

// backOff keeps an option from being requested for a time.
func (r *Requests) backOff(shard *state.Shard, option state.ProvisioningOption, duration cluster.Time) {
	shard.OutOfCapacityUntil[option] = r.loop.Now() + duration
}
