// Package workers sends commands to workers and serves their heartbeats.
package workers

import (
	"context"
	"errors"
	"net/http"
	"time"

	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
	"stairrelay/internal/sockets"
	"stairrelay/internal/wire"
)

const (
	dialTimeout = 1500 * time.Millisecond
	callTimeout = 2500 * time.Millisecond
	// slotTimeout is how long a call waits for others to end before it is given up as
	// certainly not made.
	slotTimeout = time.Second
)

// Client carries out the controller's effects on workers: command pushes and status
// queries.
type Client struct {
	client  *wire.Client
	limiter *sockets.CallLimiter
	reply   engine.ReplyFunc
}

// New makes a Client that makes so many calls at once; 0: without limit.
func New(calls int, reply engine.ReplyFunc) *Client {
	return &Client{
		client:  wire.NewClient(wire.ClientOptions{DialTimeout: dialTimeout, MaxIdleConnsPerHost: 1, MaxIdleConns: calls}),
		limiter: sockets.NewCallLimiter(calls),
		reply:   reply,
	}
}

// Do sends commands, or asks for a status; the reply follows. Only a time-out gives a
// call up, since the controller waits for the reply to each effect.
func (c *Client) Do(effect messages.Effect) {
	ctx := context.Background()
	switch effect := effect.(type) {
	case messages.PushCommands:
		go func() { c.reply(effect.Call, c.pushCommands(ctx, effect)) }()
	case messages.QueryWorkerStatus:
		go func() { c.reply(effect.Call, c.queryStatus(ctx, effect)) }()
	}
}

func (c *Client) pushCommands(ctx context.Context, push messages.PushCommands) messages.PushCommandsReply {
	return c.send(ctx, push.Addr, wire.Request{
		Method:      http.MethodPost,
		URL:         wire.BaseURL(push.Addr) + wire.PushCommandsPath,
		ContentType: wire.ContentTypeJSON,
		Body:        wire.EncodePushCommands(push),
		Timeout:     callTimeout,
	})
}

func (c *Client) queryStatus(ctx context.Context, query messages.QueryWorkerStatus) messages.PushCommandsReply {
	return c.send(ctx, query.Addr, wire.Request{
		Method:  http.MethodGet,
		URL:     wire.BaseURL(query.Addr) + wire.WorkerStatusPath,
		Timeout: callTimeout,
	})
}

// send makes a call as soon as there is a slot for it.
func (c *Client) send(ctx context.Context, address string, request wire.Request) messages.PushCommandsReply {
	release, acquired := c.limiter.Acquire(address, slotTimeout)
	if !acquired {
		return messages.PushCommandsReply{Outcome: messages.NotApplied}
	}
	reply := c.call(ctx, request)
	answered := reply.Outcome == messages.OK || reply.Outcome == messages.Conflict
	release(answered)
	return reply
}

// call makes a call. Commands count as not applied only if there was no connection: a
// worker may execute them minutes later, when its machine no longer hangs.
func (c *Client) call(ctx context.Context, request wire.Request) messages.PushCommandsReply {
	response, err := c.client.Do(ctx, request)
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
	status, err := wire.DecodeHeartbeatStatus(response.Body)
	if err != nil {
		return messages.PushCommandsReply{Outcome: messages.UnknownOutcome}
	}
	return messages.PushCommandsReply{Outcome: outcome, Status: status}
}
