// Package workers sends commands and status queries to workers and serves their heartbeats.
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
	// slotTimeout is how long a call waits for a free slot before it fails with
	// the outcome NotApplied.
	slotTimeout = time.Second
)

// Client executes the controller's effects on workers: command pushes and status queries.
type Client struct {
	client  *wire.Client
	limiter *sockets.CallLimiter
	reply   engine.ReplyFunc
}

// New returns a Client that passes the replies to the given function. The Client makes at
// most the given number of concurrent calls; 0 means no limit.
func New(calls int, reply engine.ReplyFunc) *Client {
	return &Client{
		client:  wire.NewClient(wire.ClientOptions{DialTimeout: dialTimeout, MaxIdleConnsPerHost: 1, MaxIdleConns: calls}),
		limiter: sockets.NewCallLimiter(calls),
		reply:   reply,
	}
}

// Do starts to push commands or to query a status, and returns immediately. The reply is
// passed to the function given to New. Calls have timeouts but are never cancelled, because
// the controller waits for the reply to each effect.
func (c *Client) Do(effect messages.Effect) {
	ctx := context.Background()
	switch effect := effect.(type) {
	case messages.PushCommands:
		go func() { c.reply(effect.Call, c.pushCommands(ctx, effect)) }()
	case messages.QueryWorkerStatus:
		go func() { c.reply(effect.Call, c.queryStatus(ctx, effect)) }()
	}
}

func (c *Client) pushCommands(ctx context.Context, push messages.PushCommands) messages.WorkerReply {
	return c.send(ctx, push.Addr, wire.Request{
		Method:      http.MethodPost,
		URL:         wire.BaseURL(push.Addr) + wire.PushCommandsPath,
		ContentType: wire.ContentTypeJSON,
		Body:        wire.EncodePushCommands(push),
		Timeout:     callTimeout,
	})
}

func (c *Client) queryStatus(ctx context.Context, query messages.QueryWorkerStatus) messages.WorkerReply {
	return c.send(ctx, query.Addr, wire.Request{
		Method:  http.MethodGet,
		URL:     wire.BaseURL(query.Addr) + wire.WorkerStatusPath,
		Timeout: callTimeout,
	})
}

// send waits for a free slot and makes a call. The outcome is NotApplied if no slot becomes
// free within slotTimeout.
func (c *Client) send(ctx context.Context, address string, request wire.Request) messages.WorkerReply {
	release, acquired := c.limiter.Acquire(address, slotTimeout)
	if !acquired {
		return messages.WorkerReply{Outcome: messages.NotApplied}
	}
	reply := c.call(ctx, request)
	answered := reply.Outcome == messages.OK || reply.Outcome == messages.Conflict
	release(answered)
	return reply
}

// call makes a call without waiting for a slot. After a failure, the outcome is NotApplied
// only if the request was not sent. If it was sent, a machine that hangs may still receive
// the commands and execute them minutes later.
func (c *Client) call(ctx context.Context, request wire.Request) messages.WorkerReply {
	response, err := c.client.Do(ctx, request)
	if errors.Is(err, wire.ErrNotSent) {
		return messages.WorkerReply{Outcome: messages.NotApplied}
	}
	if err != nil {
		return messages.WorkerReply{Outcome: messages.UnknownOutcome}
	}
	var outcome messages.Outcome
	switch response.Status {
	case http.StatusOK:
		outcome = messages.OK
	case http.StatusConflict:
		outcome = messages.Conflict
	default:
		return messages.WorkerReply{Outcome: messages.UnknownOutcome}
	}
	status, err := wire.DecodeHeartbeatStatus(response.Body)
	if err != nil {
		return messages.WorkerReply{Outcome: messages.UnknownOutcome}
	}
	return messages.WorkerReply{Outcome: outcome, Status: status}
}
