// Package cloud carries out the controller's calls of the cloud.
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
	// maxIdleConnections is the number of idle connections that are kept.
	maxIdleConnections = 2
	// pageSize is the number of machines in a page of the machine list.
	pageSize = 500
)

// Client carries out the controller's cloud effects.
type Client struct {
	service *wire.JSONClient
	reply   engine.ReplyFunc
}

// New makes a Client of the cloud at an address.
func New(address string, reply engine.ReplyFunc) *Client {
	options := wire.ClientOptions{DialTimeout: dialTimeout, MaxIdleConnsPerHost: maxIdleConnections}
	return &Client{service: wire.NewJSONClient(address, options), reply: reply}
}

// Do starts a call; its reply follows. Only a time-out gives a call up, since the
// controller waits for the reply to each effect.
func (c *Client) Do(effect messages.Effect) {
	ctx := context.Background()
	switch effect := effect.(type) {
	case messages.CloudMachineTypes:
		go func() { c.reply(effect.Call, c.listMachineTypes(ctx)) }()
	case messages.CloudScaleOut:
		go func() { c.reply(effect.Call, c.scaleOut(ctx, effect)) }()
	case messages.CloudScaleIn:
		go func() { c.reply(effect.Call, c.scaleIn(ctx, effect)) }()
	case messages.CloudList:
		go func() { c.reply(effect.Call, c.listMachines(ctx, effect)) }()
	}
}

func (c *Client) listMachineTypes(ctx context.Context) messages.MachineTypesReply {
	call := wire.Call{Method: http.MethodGet, Path: wire.MachineTypesPath, Timeout: callTimeout}
	types, err := wire.CallAndDecode(ctx, c.service, call, wire.DecodeMachineTypes)
	return messages.MachineTypesReply{Outcome: readOutcome(err), Types: types}
}

func (c *Client) listMachines(ctx context.Context, list messages.CloudList) messages.CloudListReply {
	call := wire.Call{
		Method:  http.MethodGet,
		Path:    wire.MachinesPath(list.After, pageSize),
		Timeout: callTimeout,
	}
	page, err := wire.CallAndDecode(ctx, c.service, call, wire.DecodeMachinePage)
	if wire.IsStatus(err, http.StatusTooManyRequests) {
		return messages.CloudListReply{Outcome: messages.Throttled}
	}
	return messages.CloudListReply{Outcome: readOutcome(err), Items: page.Machines, More: page.More}
}

// readOutcome tells the outcome of a read. One that got no response with status 200 was
// not applied, whatever the reason, as it would have changed nothing.
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

// isOutOfCapacity tells whether the cloud has no machine of the kind.
func isOutOfCapacity(err error) bool {
	refused, ok := errors.AsType[*wire.StatusError](err)
	return ok && refused.Status == http.StatusServiceUnavailable && wire.IsOutOfCapacity(refused.Body)
}

// scaleIn gives machines back. Whenever it fails its outcome is unknown: the machines may
// be gone, or may yet be taken away.
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
