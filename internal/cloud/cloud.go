// Package cloud carries out the core's calls of the cloud's interface.
package cloud

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"

	"stairrelay/internal/engine"
	"stairrelay/internal/wire"
)

const (
	dialTimeout = time.Second
	callTimeout = 4 * time.Second
	// maxIdleConnections is the number of idle connections that are kept.
	maxIdleConnections = 2
	// pageSize is the number of machines that is asked for in a page of the list.
	pageSize = 500
)

// Client carries out the core's cloud effects.
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
func (c *Client) Do(effect messages.Effect) {
	switch effect := effect.(type) {
	case messages.CloudMachineTypes:
		go func() { c.reply(effect.Call, c.listMachineTypes()) }()
	case messages.CloudScaleOut:
		go func() { c.reply(effect.Call, c.scaleOut(effect)) }()
	case messages.CloudScaleIn:
		go func() { c.reply(effect.Call, c.scaleIn(effect)) }()
	case messages.CloudList:
		go func() { c.reply(effect.Call, c.listMachines(effect.After)) }()
	}
}

func (c *Client) listMachineTypes() messages.MachineTypesReply {
	response, err := c.service.Call(http.MethodGet, "/flavors", nil)
	if err != nil || response.Status != http.StatusOK {
		return messages.MachineTypesReply{Outcome: messages.NotApplied}
	}
	types, err := wire.DecodeTypes(response.Body)
	if err != nil {
		return messages.MachineTypesReply{Outcome: messages.UnknownOutcome}
	}
	return messages.MachineTypesReply{Outcome: messages.OK, Types: types}
}

func (c *Client) scaleOut(rent messages.CloudScaleOut) messages.ScaleOutReply {
	response, err := c.service.Call(http.MethodPost, "/rentals", wire.EncodeScaleOut(rent))
	if err != nil {
		return messages.ScaleOutReply{Outcome: messages.UnknownOutcome}
	}
	switch response.Status {
	case http.StatusOK:
		return decodeScaleOut(response.Body)
	case http.StatusServiceUnavailable:
		if wire.IsOutOfCapacity(response.Body) {
			return messages.ScaleOutReply{Outcome: messages.NotFound}
		}
		return messages.ScaleOutReply{Outcome: messages.NotApplied}
	case http.StatusBadRequest:
		return messages.ScaleOutReply{Outcome: messages.Invalid}
	case http.StatusTooManyRequests:
		return messages.ScaleOutReply{Outcome: messages.Throttled}
	}
	return messages.ScaleOutReply{Outcome: messages.UnknownOutcome}
}

func decodeScaleOut(body []byte) messages.ScaleOutReply {
	ids, err := wire.DecodeScaleOut(body)
	if err != nil {
		return messages.ScaleOutReply{Outcome: messages.UnknownOutcome}
	}
	return messages.ScaleOutReply{Outcome: messages.OK, IDs: ids}
}

func (c *Client) scaleIn(effect messages.CloudScaleIn) messages.ScaleInReply {
	response, err := c.service.Call(http.MethodPost, "/rentals/return", wire.EncodeScaleIn(effect.IDs))
	if err != nil || response.Status != http.StatusOK {
		return messages.ScaleInReply{Outcome: messages.UnknownOutcome}
	}
	return messages.ScaleInReply{Outcome: messages.OK}
}

// listMachines reads the page of the machine list that follows a machine.
func (c *Client) listMachines(since cluster.MachineID) messages.CloudListReply {
	query := url.Values{"page": {strconv.Itoa(pageSize)}}
	if since != "" {
		query.Set("since", string(since))
	}
	response, err := c.service.Call(http.MethodGet, "/rentals?"+query.Encode(), nil)
	switch {
	case err == nil && response.Status == http.StatusTooManyRequests:
		return messages.CloudListReply{Outcome: messages.Throttled}
	case err != nil || response.Status != http.StatusOK:
		return messages.CloudListReply{Outcome: messages.NotApplied}
	}
	page, err := wire.DecodeMachines(response.Body)
	if err != nil {
		return messages.CloudListReply{Outcome: messages.UnknownOutcome}
	}
	return messages.CloudListReply{Outcome: messages.OK, Items: page.Machines, More: page.More}
}
