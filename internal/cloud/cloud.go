// Package cloud is the actor that talks to the cloud's interface.
package cloud

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"stairrelay/internal/core"
	"stairrelay/internal/wire"
)

// Cloud carries out the core's cloud effects.
type Cloud struct {
	base    string
	h       *http.Client
	answer  func(core.CallID, any)
	timeout time.Duration
}

// New makes the actor for the cloud's interface at addr.
func New(addr string, answer func(core.CallID, any)) *Cloud {
	return &Cloud{base: "http://" + addr, h: wire.NewClient(time.Second, 2, 0), answer: answer, timeout: 4 * time.Second}
}

// Do starts a call; its answer comes as a message.
func (c *Cloud) Do(e core.Effect) {
	switch e := e.(type) {
	case core.CloudTypes:
		go func() { c.answer(e.Call, c.types()) }()
	case core.CloudRent:
		go func() { c.answer(e.Call, c.rent(e)) }()
	case core.CloudReturn:
		go func() { c.answer(e.Call, c.giveBack(e)) }()
	case core.CloudList:
		go func() { c.answer(e.Call, c.list()) }()
	}
}

func (c *Cloud) call(method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	return wire.Call(ctx, c.h, method, c.base+path, "application/json", body)
}

func (c *Cloud) types() core.TypesReply {
	status, b, err := c.call("GET", "/flavors", nil)
	if err != nil || status != 200 {
		return core.TypesReply{Out: core.NotDone}
	}
	t, err := wire.DecodeTypes(b)
	if err != nil {
		return core.TypesReply{Out: core.Unknown}
	}
	return core.TypesReply{Out: core.OK, Types: t}
}

func (c *Cloud) rent(e core.CloudRent) core.RentReply {
	status, b, err := c.call("POST", "/rentals", wire.EncodeRental(e))
	switch {
	case err != nil:
		return core.RentReply{Out: core.Unknown}
	case status == 200:
		ids, err := wire.DecodeRental(b)
		if err != nil {
			return core.RentReply{Out: core.Unknown}
		}
		return core.RentReply{Out: core.OK, IDs: ids}
	case status == 503:
		// Out of machines and out of order share a status; only the first is final.
		var r struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(b, &r) == nil && r.Error == "no capacity" {
			return core.RentReply{Out: core.Missing}
		}
		return core.RentReply{Out: core.NotDone}
	case status == 400:
		return core.RentReply{Out: core.Invalid}
	case status == 429:
		return core.RentReply{Out: core.Throttled}
	}
	return core.RentReply{Out: core.Unknown}
}

func (c *Cloud) giveBack(e core.CloudReturn) core.ReturnReply {
	status, _, err := c.call("POST", "/rentals/return", wire.EncodeReturn(e.IDs))
	if err != nil || status != 200 {
		return core.ReturnReply{Out: core.Unknown}
	}
	return core.ReturnReply{Out: core.OK}
}

func (c *Cloud) list() core.CloudListReply {
	var all []core.Listed
	since := ""
	for {
		q := url.Values{"page": {"500"}}
		if since != "" {
			q.Set("since", since)
		}
		status, b, err := c.call("GET", "/rentals?"+q.Encode(), nil)
		if err != nil || status != 200 {
			return core.CloudListReply{Out: core.NotDone}
		}
		items, more, err := wire.DecodeList(b)
		if err != nil {
			return core.CloudListReply{Out: core.Unknown}
		}
		all = append(all, items...)
		if !more || len(items) == 0 {
			return core.CloudListReply{Out: core.OK, Items: all}
		}
		since = string(items[len(items)-1].ID)
	}
}
