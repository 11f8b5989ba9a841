// Package cloud carries out the core's calls of the cloud's interface.
package cloud

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"stairrelay/internal/core"
	"stairrelay/internal/engine"
	"stairrelay/internal/wire"
)

const (
	dialTimeout = time.Second
	callTimeout = 4 * time.Second
	// idleCalls is the number of idle connections that are kept.
	maxIdleConnections = 2
	// pageSize is the number of machines that is asked for in a page of the list.
	pageSize = 500
)

// Cloud carries out the core's cloud effects.
type Client struct {
	service *wire.JSONService
	reply   engine.ReplyFunc
}

// New makes a Cloud for the cloud's interface at addr.
func New(addr string, reply engine.ReplyFunc) *Client {
	options := wire.ClientOptions{DialTimeout: dialTimeout, MaxIdlePerHost: maxIdleConnections}
	return &Client{
		service: wire.NewJSONService(addr, callTimeout, options),
		reply:   reply,
	}
}

// Do starts a call; its reply follows.
func (c *Client) Do(effect core.Effect) {
	switch effect := effect.(type) {
	case core.CloudMachineTypes:
		go func() { c.reply(effect.Call, c.listMachineTypes()) }()
	case core.CloudScaleOut:
		go func() { c.reply(effect.Call, c.scaleOut(effect)) }()
	case core.CloudScaleIn:
		go func() { c.reply(effect.Call, c.scaleIn(effect)) }()
	case core.CloudList:
		go func() { c.reply(effect.Call, c.listMachines(effect.After)) }()
	}
}

func (c *Client) listMachineTypes() core.MachineTypesReply {
	response, err := c.service.Call(http.MethodGet, "/flavors", nil)
	if err != nil || response.Status != http.StatusOK {
		return core.MachineTypesReply{Outcome: core.NotApplied}
	}
	types, err := wire.DecodeTypes(response.Body)
	if err != nil {
		return core.MachineTypesReply{Outcome: core.UnknownOutcome}
	}
	return core.MachineTypesReply{Outcome: core.OK, Types: types}
}

func (c *Client) scaleOut(rent core.CloudScaleOut) core.ScaleOutReply {
	response, err := c.service.Call(http.MethodPost, "/rentals", wire.EncodeScaleOut(rent))
	if err != nil {
		return core.ScaleOutReply{Outcome: core.UnknownOutcome}
	}
	switch response.Status {
	case http.StatusOK:
		return decodeScaleOut(response.Body)
	case http.StatusServiceUnavailable:
		if wire.IsOutOfCapacity(response.Body) {
			return core.ScaleOutReply{Outcome: core.NotFound}
		}
		return core.ScaleOutReply{Outcome: core.NotApplied}
	case http.StatusBadRequest:
		return core.ScaleOutReply{Outcome: core.Invalid}
	case http.StatusTooManyRequests:
		return core.ScaleOutReply{Outcome: core.Throttled}
	}
	return core.ScaleOutReply{Outcome: core.UnknownOutcome}
}

func decodeScaleOut(body []byte) core.ScaleOutReply {
	ids, err := wire.DecodeScaleOut(body)
	if err != nil {
		return core.ScaleOutReply{Outcome: core.UnknownOutcome}
	}
	return core.ScaleOutReply{Outcome: core.OK, IDs: ids}
}

func (c *Client) scaleIn(effect core.CloudScaleIn) core.ScaleInReply {
	response, err := c.service.Call(http.MethodPost, "/rentals/return", wire.EncodeScaleIn(effect.IDs))
	if err != nil || response.Status != http.StatusOK {
		return core.ScaleInReply{Outcome: core.UnknownOutcome}
	}
	return core.ScaleInReply{Outcome: core.OK}
}

// list reads the page of the machine list that follows a machine.
func (c *Client) listMachines(since core.MachineID) core.CloudListReply {
	query := url.Values{"page": {strconv.Itoa(pageSize)}}
	if since != "" {
		query.Set("since", string(since))
	}
	response, err := c.service.Call(http.MethodGet, "/rentals?"+query.Encode(), nil)
	switch {
	case err == nil && response.Status == http.StatusTooManyRequests:
		return core.CloudListReply{Outcome: core.Throttled}
	case err != nil || response.Status != http.StatusOK:
		return core.CloudListReply{Outcome: core.NotApplied}
	}
	page, err := wire.DecodeMachines(response.Body)
	if err != nil {
		return core.CloudListReply{Outcome: core.UnknownOutcome}
	}
	return core.CloudListReply{Outcome: core.OK, Items: page.Machines, More: page.More}
}
