// Package store implements the controller's client of the store, an external
// consensus-backed key-value store.
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
	// watchTimeoutMargin is how much longer the timeout of a watch's HTTP call is than
	// the timeout of the watch.
	watchTimeoutMargin = 3 * time.Second
	// throttleBackoff is the delay before the throttled read of a list's second or later
	// page is retried.
	throttleBackoff = 200 * time.Millisecond
	// pageSize is the maximum number of keys in a page of a list.
	pageSize = 1000
	// maxIdleCallConnections and maxIdleWatchConnections limit the idle connections
	// that are kept open.
	maxIdleCallConnections, maxIdleWatchConnections = 8, 4
)

// Client executes the controller's effects on the store.
type Client struct {
	service      *wire.JSONClient
	watchService *wire.JSONClient // separate connections, because watches are long polls
	reply        engine.ReplyFunc
}

// New returns a Client of the store at the given address. The Client passes replies to the
// given function.
func New(address string, reply engine.ReplyFunc) *Client {
	callOptions := wire.ClientOptions{DialTimeout: dialTimeout, MaxIdleConnsPerHost: maxIdleCallConnections}
	watchOptions := wire.ClientOptions{DialTimeout: dialTimeout, MaxIdleConnsPerHost: maxIdleWatchConnections}
	return &Client{
		service:      wire.NewJSONClient(address, callOptions),
		watchService: wire.NewJSONClient(address, watchOptions),
		reply:        reply,
	}
}

// Do starts the call for an effect and returns immediately. The reply is passed to the
// function given to New. Calls have timeouts but are never cancelled, because the
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
	if statusErr, ok := errors.AsType[*wire.StatusError](err); ok && statusErr.Status == http.StatusConflict {
		return decodeConflict(statusErr.Body)
	}
	return messages.TxnReply{Outcome: wire.OutcomeOf(err), Revision: response.Revision}
}

// decodeConflict decodes the response to a transaction whose compares failed. The outcome
// is unknown if the response does not name the failed keys.
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

// list reads all pages of a list. The reply has the revision of the first page, so that a
// watch from that revision returns all changes made while the other pages were read. If a
// page cannot be read, the reply has no items.
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

// readNextPage reads a page after the first one. It retries while the read is throttled,
// because restarting the whole list would take even more requests.
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

// readPage reads a page of a list. The page begins after the given key, or is the first
// one if that key is empty.
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
	// The response contains all changes and is not paginated. If it exceeds the size
	// limit, a retry would fail in the same way, so the outcome is Compacted, which makes
	// the controller list the keys instead.
	if errors.Is(err, wire.ErrResponseTooLarge) || wire.IsStatus(err, http.StatusGone) {
		return messages.WatchReply{Outcome: messages.Compacted}
	}
	return messages.WatchReply{
		Outcome:  wire.OutcomeOf(err),
		Items:    changes.Items,
		Revision: changes.Revision,
	}
}
