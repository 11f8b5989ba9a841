// Package store carries out the controller's calls of the state service.
package store

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
	callTimeout = 1200 * time.Millisecond
	// watchTimeoutMargin is by how much the call of a watch may outlast the watch.
	watchTimeoutMargin = 3 * time.Second
	// throttleBackoff is the wait before a throttled page of a list is read again.
	throttleBackoff = 200 * time.Millisecond
	// pageSize is the number of keys in a page of a list.
	pageSize = 1000
	// maxIdleCalls and maxIdleWatches are the idle connections that are kept.
	maxIdleCalls, maxIdleWatches = 8, 4
)

// Client carries out the controller's store effects.
type Client struct {
	service      *wire.JSONClient
	watchService *wire.JSONClient // has connections of its own, since watches keep them long
	reply        engine.ReplyFunc
}

// New makes a Client of the state service at an address.
func New(address string, reply engine.ReplyFunc) *Client {
	forCalls := wire.ClientOptions{DialTimeout: dialTimeout, MaxIdleConnsPerHost: maxIdleCalls}
	forWatches := wire.ClientOptions{DialTimeout: dialTimeout, MaxIdleConnsPerHost: maxIdleWatches}
	return &Client{
		service:      wire.NewJSONClient(address, forCalls),
		watchService: wire.NewJSONClient(address, forWatches),
		reply:        reply,
	}
}

// Do starts a call; its reply follows. Only a time-out gives a call up, since the
// controller waits for the reply to each effect.
func (c *Client) Do(effect messages.Effect) {
	ctx := context.Background()
	switch effect := effect.(type) {
	case messages.StoreTxn:
		go func() { c.reply(effect.Call, c.commit(ctx, effect)) }()
	case messages.StoreGet:
		go func() { c.reply(effect.Call, c.get(ctx, effect)) }()
	case messages.StoreList:
		go func() { c.reply(effect.Call, c.list(ctx, effect)) }()
	case messages.StoreWatch:
		go func() { c.reply(effect.Call, c.watch(ctx, effect)) }()
	}
}

func (c *Client) commit(ctx context.Context, txn messages.StoreTxn) messages.TxnReply {
	call := wire.Call{
		Method:  http.MethodPost,
		Path:    wire.TxnPath,
		Body:    wire.EncodeTxn(txn),
		Timeout: callTimeout,
	}
	response, err := wire.CallAndDecode(ctx, c.service, call, wire.DecodeTxnResponse)
	if refused, ok := errors.AsType[*wire.StatusError](err); ok && refused.Status == http.StatusConflict {
		return decodeConflict(refused.Body)
	}
	return messages.TxnReply{Outcome: wire.OutcomeOf(err), Revision: response.Revision}
}

// decodeConflict reads the response to a transaction whose compares failed. One that
// names no key leaves open what has happened.
func decodeConflict(body []byte) messages.TxnReply {
	response, err := wire.DecodeTxnResponse(body)
	if err != nil || len(response.FailedKeys) == 0 {
		return messages.TxnReply{Outcome: messages.UnknownOutcome}
	}
	return messages.TxnReply{
		Outcome:    messages.Conflict,
		Revision:   response.Revision,
		FailedKeys: response.FailedKeys,
	}
}

func (c *Client) get(ctx context.Context, get messages.StoreGet) messages.GetReply {
	call := wire.Call{Method: http.MethodGet, Path: wire.KeyPath(get.Key), Timeout: callTimeout}
	kv, err := wire.CallAndDecode(ctx, c.service, call, wire.DecodeKV)
	if wire.IsStatus(err, http.StatusNotFound) {
		return messages.GetReply{Outcome: messages.NotFound}
	}
	if err != nil {
		return messages.GetReply{Outcome: wire.OutcomeOf(err)}
	}
	kv.Key = get.Key
	return messages.GetReply{Outcome: messages.OK, KV: kv}
}

// list reads all pages. The revision is that of the first page: a watch from there
// shows again whatever changes while the others are read.
func (c *Client) list(ctx context.Context, list messages.StoreList) messages.ListReply {
	page, err := c.readPage(ctx, list.Prefix, "")
	if err != nil {
		return messages.ListReply{Outcome: wire.OutcomeOf(err)}
	}
	reply := messages.ListReply{Outcome: messages.OK, Items: page.Items, Revision: page.Revision}
	for page.More && len(page.Items) > 0 {
		lastKey := page.Items[len(page.Items)-1].Key
		page, err = c.readNextPage(ctx, list.Prefix, lastKey)
		if err != nil {
			return messages.ListReply{Outcome: wire.OutcomeOf(err)}
		}
		reply.Items = append(reply.Items, page.Items...)
		reply.Paginated = true
	}
	return reply
}

// readNextPage reads a page after the first. Throttling does not end a list that is
// half read: begun anew, it would take more requests still.
func (c *Client) readNextPage(ctx context.Context, prefix, lastKey string) (wire.KVPage, error) {
	for {
		page, err := c.readPage(ctx, prefix, lastKey)
		if !wire.IsStatus(err, http.StatusTooManyRequests) {
			return page, err
		}
		select {
		case <-time.After(throttleBackoff):
		case <-ctx.Done():
			return wire.KVPage{}, ctx.Err()
		}
	}
}

// readPage reads the page of a list that follows a key; the first page follows none.
func (c *Client) readPage(ctx context.Context, prefix, after string) (wire.KVPage, error) {
	call := wire.Call{
		Method:  http.MethodGet,
		Path:    wire.KeysPath(prefix, after, pageSize),
		Timeout: callTimeout,
	}
	return wire.CallAndDecode(ctx, c.service, call, wire.DecodeKVPage)
}

func (c *Client) watch(ctx context.Context, watch messages.StoreWatch) messages.WatchReply {
	timeout := time.Duration(watch.Timeout)
	call := wire.Call{
		Method:  http.MethodGet,
		Path:    wire.WatchPath(watch.Prefix, watch.SinceRevision, timeout),
		Timeout: timeout + watchTimeoutMargin,
	}
	changes, err := wire.CallAndDecode(ctx, c.watchService, call, wire.DecodeKVPage)
	// A response holds all changes and may be of any size. One that is too large is as
	// good as none, and would be again: the keys are to be read by pages instead.
	if errors.Is(err, wire.ErrResponseTooLarge) || wire.IsStatus(err, http.StatusGone) {
		return messages.WatchReply{Outcome: messages.Compacted}
	}
	return messages.WatchReply{
		Outcome:  wire.OutcomeOf(err),
		Items:    changes.Items,
		Revision: changes.Revision,
	}
}
