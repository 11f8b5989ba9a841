// Package workers sends commands straight to workers and serves their reports.
package workers

import (
	"errors"
	"net/http"
	"time"

	"stairrelay/internal/messages"

	"stairrelay/internal/engine"
	"stairrelay/internal/sockets"
	"stairrelay/internal/wire"
)

const (
	dialTimeout = 1500 * time.Millisecond
	callTimeout = 2500 * time.Millisecond
	// acquireTimeout is how long a call waits for others to end before it is given up
	// as certainly not made.
	acquireTimeout = time.Second
)

// Client carries out the core's Orders and Inspect effects.
type Client struct {
	client  *wire.Client
	limiter *sockets.CallLimiter
	reply   engine.ReplyFunc
}

// New makes Workers for so many calls at once; 0: without limit.
func New(calls int, reply engine.ReplyFunc) *Client {
	return &Client{
		client:  wire.NewClient(wire.ClientOptions{DialTimeout: dialTimeout, MaxIdlePerHost: 1, MaxIdle: calls}),
		limiter: sockets.NewCallLimiter(calls),
		reply:   reply,
	}
}

// Do sends commands, or asks for a report; the reply follows.
func (w *Client) Do(effect messages.Effect) {
	switch effect := effect.(type) {
	case messages.PushCommands:
		go func() { w.reply(effect.Call, w.pushCommands(effect)) }()
	case messages.QueryWorkerStatus:
		go func() { w.reply(effect.Call, w.queryStatus(effect)) }()
	}
}

func (w *Client) pushCommands(orders messages.PushCommands) messages.PushCommandsReply {
	return w.send(orders.Addr, wire.Request{
		Method:      http.MethodPost,
		URL:         wire.BaseURL(orders.Addr) + "/orders",
		ContentType: wire.ContentTypeJSON,
		Body:        wire.EncodePushCommands(orders),
		Timeout:     callTimeout,
	})
}

func (w *Client) queryStatus(inspect messages.QueryWorkerStatus) messages.PushCommandsReply {
	return w.send(inspect.Addr, wire.Request{
		Method:  http.MethodGet,
		URL:     wire.BaseURL(inspect.Addr) + "/inspect",
		Timeout: callTimeout,
	})
}

// send makes a call as soon as there is a slot for it.
func (w *Client) send(addr string, request wire.Request) messages.PushCommandsReply {
	release, taken := w.limiter.Acquire(addr, acquireTimeout)
	if !taken {
		return messages.PushCommandsReply{Outcome: messages.NotApplied}
	}
	reply := w.call(request)
	answered := reply.Outcome == messages.OK || reply.Outcome == messages.Conflict
	release(answered)
	return reply
}

func (w *Client) call(request wire.Request) messages.PushCommandsReply {
	response, err := w.client.Do(request)
	if errors.Is(err, wire.ErrNotSent) {
		return messages.PushCommandsReply{Outcome: messages.NotApplied}
	}
	if err != nil {
		return messages.PushCommandsReply{Outcome: messages.UnknownOutcome}
	}
	var outcome messages.Outcome
	switch response.Status {
	case http.StatusOK:
		outcome = messages.OK
	case http.StatusConflict:
		outcome = messages.Conflict
	default:
		return messages.PushCommandsReply{Outcome: messages.UnknownOutcome}
	}
	report, err := wire.DecodeHeartbeatStatus(response.Body)
	if err != nil {
		return messages.PushCommandsReply{Outcome: messages.UnknownOutcome}
	}
	return messages.PushCommandsReply{Outcome: outcome, Status: report}
}
