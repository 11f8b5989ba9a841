// Package cloud implements the controller's client of the cloud.
package cloud

import (
	"context"
	"errors"
	"net/http"
	"time"

	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
	"stairrelay/internal/wire"
)

const (
	dialTimeout = time.Second
	callTimeout = 4 * time.Second
	// maxIdleConnections limits the idle connections that are kept open.
	maxIdleConnections = 2
	// pageSize is the maximum number of machines in a page of the machine list.
	pageSize = 500
)

// Client executes the controller's effects on the cloud.
type Client struct {
	service *wire.JSONClient
	reply   engine.ReplyFunc
}

// New returns a Client of the cloud at the given address. The Client passes replies to the
// given function.
func New(address string, reply engine.ReplyFunc) *Client {
	options := wire.ClientOptions{DialTimeout: dialTimeout, MaxIdleConnsPerHost: maxIdleConnections}
	return &Client{service: wire.NewJSONClient(address, options), reply: reply}
}

// Do starts the call for an effect and returns immediately. The reply is passed to the
// function given to New. Calls have timeouts but are never cancelled, because the
// controller waits for the reply to each effect.
func (c *Client) Do(effect messages.Effect) {
	ctx := context.Background()
	switch effect := effect.(type) {
	case messages.CloudListMachineTypes:
		go func() { c.reply(effect.Call, c.listMachineTypes(ctx)) }()
	case messages.CloudScaleOut:
		go func() { c.reply(effect.Call, c.scaleOut(ctx, effect)) }()
	case messages.CloudScaleIn:
		go func() { c.reply(effect.Call, c.scaleIn(ctx, effect)) }()
	case messages.CloudListMachines:
		go func() { c.reply(effect.Call, c.listMachines(ctx, effect)) }()
	}
}

func (c *Client) listMachineTypes(ctx context.Context) messages.ListMachineTypesReply {
	call := wire.Call{Method: http.MethodGet, Path: wire.MachineTypesPath, Timeout: callTimeout}
	types, err := wire.CallAndDecode(ctx, c.service, call, wire.DecodeMachineTypes)
	return messages.ListMachineTypesReply{Outcome: readOutcome(err), Types: types}
}

func (c *Client) listMachines(ctx context.Context, list messages.CloudListMachines) messages.ListMachinesReply {
	call := wire.Call{
		Method:  http.MethodGet,
		Path:    wire.MachinesPath(list.After, pageSize),
		Timeout: callTimeout,
	}
	page, err := wire.CallAndDecode(ctx, c.service, call, wire.DecodeMachinePage)
	if wire.IsStatus(err, http.StatusTooManyRequests) {
		return messages.ListMachinesReply{Outcome: messages.Throttled}
	}
	return messages.ListMachinesReply{Outcome: readOutcome(err), Items: page.Machines, More: page.More}
}

// readOutcome returns the outcome of a read that ended with err. It is UnknownOutcome if the
// response cannot be decoded, and NotApplied after any other error, since reads have no side
// effects and can be retried.
func readOutcome(err error) messages.Outcome {
	if err == nil {
		return messages.OK
	}
	if _, undecodable := errors.AsType[*wire.DecodeError](err); undecodable {
		return messages.UnknownOutcome
	}
	return messages.NotApplied
}

func (c *Client) scaleOut(ctx context.Context, scaleOut messages.CloudScaleOut) messages.ScaleOutReply {
	call := wire.Call{
		Method:  http.MethodPost,
		Path:    wire.ScaleOutPath,
		Body:    wire.EncodeScaleOut(scaleOut),
		Timeout: callTimeout,
	}
	ids, err := wire.CallAndDecode(ctx, c.service, call, wire.DecodeScaleOutResponse)
	if isOutOfCapacity(err) {
		return messages.ScaleOutReply{Outcome: messages.NotFound}
	}
	return messages.ScaleOutReply{Outcome: wire.OutcomeOf(err), IDs: ids}
}

// isOutOfCapacity reports whether err, the error of a scale-out, means that the cloud has no
// capacity for the requested machines.
func isOutOfCapacity(err error) bool {
	statusErr, ok := errors.AsType[*wire.StatusError](err)
	return ok && statusErr.Status == http.StatusServiceUnavailable && wire.IsOutOfCapacity(statusErr.Body)
}

// scaleIn releases machines. The outcome of a failed call is always unknown, because the
// machines may have been released or may still be released later.
func (c *Client) scaleIn(ctx context.Context, scaleIn messages.CloudScaleIn) messages.ScaleInReply {
	call := wire.Call{
		Method:  http.MethodPost,
		Path:    wire.ScaleInPath,
		Body:    wire.EncodeScaleIn(scaleIn.IDs),
		Timeout: callTimeout,
	}
	if _, err := c.service.Call(ctx, call); err != nil {
		return messages.ScaleInReply{Outcome: messages.UnknownOutcome}
	}
	return messages.ScaleInReply{Outcome: messages.OK}
}
