// Package workers sends commands straight to workers and serves their reports.
package workers

import (
	"errors"
	"net/http"
	"time"

	"stairrelay/internal/core"
	"stairrelay/internal/engine"
	"stairrelay/internal/sockets"
	"stairrelay/internal/wire"
)

const (
	dialTimeout = 1500 * time.Millisecond
	callTimeout = 2500 * time.Millisecond
	// slotWait is how long a call waits for others to end before it is given up
	// as certainly not made.
	slotWait = time.Second
)

// Workers carries out the core's Orders and Inspect effects.
type Workers struct {
	client *wire.Client
	slots  *sockets.Slots
	reply  engine.ReplyFunc
}

// New makes Workers for so many calls at once; 0: without limit.
func New(calls int, reply engine.ReplyFunc) *Workers {
	return &Workers{
		client: wire.NewClient(wire.ClientOptions{DialTimeout: dialTimeout, IdlePerHost: 1, Idle: calls}),
		slots:  sockets.NewSlots(calls),
		reply:  reply,
	}
}

// Do sends commands, or asks for a report; the reply follows.
func (w *Workers) Do(effect core.Effect) {
	switch effect := effect.(type) {
	case core.Orders:
		go func() { w.reply(effect.Call, w.order(effect)) }()
	case core.Inspect:
		go func() { w.reply(effect.Call, w.inspect(effect)) }()
	}
}

func (w *Workers) order(orders core.Orders) core.OrdersReply {
	return w.send(orders.Addr, wire.Request{
		Method:      http.MethodPost,
		URL:         wire.BaseURL(orders.Addr) + "/orders",
		ContentType: wire.JSON,
		Body:        wire.EncodeOrders(orders),
		Timeout:     callTimeout,
	})
}

func (w *Workers) inspect(inspect core.Inspect) core.OrdersReply {
	return w.send(inspect.Addr, wire.Request{
		Method:  http.MethodGet,
		URL:     wire.BaseURL(inspect.Addr) + "/inspect",
		Timeout: callTimeout,
	})
}

// send makes a call as soon as there is a slot for it.
func (w *Workers) send(addr string, request wire.Request) core.OrdersReply {
	release, taken := w.slots.Take(addr, slotWait)
	if !taken {
		return core.OrdersReply{Out: core.NotDone}
	}
	reply := w.call(request)
	answered := reply.Out == core.OK || reply.Out == core.Conflict
	release(answered)
	return reply
}

func (w *Workers) call(request wire.Request) core.OrdersReply {
	response, err := w.client.Do(request)
	if errors.Is(err, wire.ErrNotSent) {
		return core.OrdersReply{Out: core.NotDone}
	}
	if err != nil {
		return core.OrdersReply{Out: core.Unknown}
	}
	var outcome core.Outcome
	switch response.Status {
	case http.StatusOK:
		outcome = core.OK
	case http.StatusConflict:
		outcome = core.Conflict
	default:
		return core.OrdersReply{Out: core.Unknown}
	}
	report, err := wire.DecodeReport(response.Body)
	if err != nil {
		return core.OrdersReply{Out: core.Unknown}
	}
	return core.OrdersReply{Out: outcome, Report: report}
}
