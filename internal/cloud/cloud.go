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
	idleCalls = 2
	// pageSize is the number of machines that is asked for in a page of the list.
	pageSize = 500
)

// Cloud carries out the core's cloud effects.
type Cloud struct {
	service *wire.JSONService
	reply   engine.ReplyFunc
}

// New makes a Cloud for the cloud's interface at addr.
func New(addr string, reply engine.ReplyFunc) *Cloud {
	options := wire.ClientOptions{DialTimeout: dialTimeout, IdlePerHost: idleCalls}
	return &Cloud{
		service: wire.NewJSONService(addr, callTimeout, options),
		reply:   reply,
	}
}

// Do starts a call; its reply follows.
func (c *Cloud) Do(effect core.Effect) {
	switch effect := effect.(type) {
	case core.CloudTypes:
		go func() { c.reply(effect.Call, c.machineTypes()) }()
	case core.CloudRent:
		go func() { c.reply(effect.Call, c.rent(effect)) }()
	case core.CloudReturn:
		go func() { c.reply(effect.Call, c.returnMachines(effect)) }()
	case core.CloudList:
		go func() { c.reply(effect.Call, c.list(effect.Since)) }()
	}
}

func (c *Cloud) machineTypes() core.TypesReply {
	response, err := c.service.Call(http.MethodGet, "/flavors", nil)
	if err != nil || response.Status != http.StatusOK {
		return core.TypesReply{Out: core.NotDone}
	}
	types, err := wire.DecodeTypes(response.Body)
	if err != nil {
		return core.TypesReply{Out: core.Unknown}
	}
	return core.TypesReply{Out: core.OK, Types: types}
}

func (c *Cloud) rent(rent core.CloudRent) core.RentReply {
	response, err := c.service.Call(http.MethodPost, "/rentals", wire.EncodeRental(rent))
	if err != nil {
		return core.RentReply{Out: core.Unknown}
	}
	switch response.Status {
	case http.StatusOK:
		return decodeRental(response.Body)
	case http.StatusServiceUnavailable:
		if wire.SaysNoCapacity(response.Body) {
			return core.RentReply{Out: core.Missing}
		}
		return core.RentReply{Out: core.NotDone}
	case http.StatusBadRequest:
		return core.RentReply{Out: core.Invalid}
	case http.StatusTooManyRequests:
		return core.RentReply{Out: core.Throttled}
	}
	return core.RentReply{Out: core.Unknown}
}

func decodeRental(body []byte) core.RentReply {
	ids, err := wire.DecodeRental(body)
	if err != nil {
		return core.RentReply{Out: core.Unknown}
	}
	return core.RentReply{Out: core.OK, IDs: ids}
}

func (c *Cloud) returnMachines(effect core.CloudReturn) core.ReturnReply {
	response, err := c.service.Call(http.MethodPost, "/rentals/return", wire.EncodeReturn(effect.IDs))
	if err != nil || response.Status != http.StatusOK {
		return core.ReturnReply{Out: core.Unknown}
	}
	return core.ReturnReply{Out: core.OK}
}

// list reads the page of the machine list that follows a machine.
func (c *Cloud) list(since core.MachineID) core.CloudListReply {
	query := url.Values{"page": {strconv.Itoa(pageSize)}}
	if since != "" {
		query.Set("since", string(since))
	}
	response, err := c.service.Call(http.MethodGet, "/rentals?"+query.Encode(), nil)
	switch {
	case err == nil && response.Status == http.StatusTooManyRequests:
		return core.CloudListReply{Out: core.Throttled}
	case err != nil || response.Status != http.StatusOK:
		return core.CloudListReply{Out: core.NotDone}
	}
	page, err := wire.DecodeMachines(response.Body)
	if err != nil {
		return core.CloudListReply{Out: core.Unknown}
	}
	return core.CloudListReply{Out: core.OK, Items: page.Machines, More: page.More}
}
