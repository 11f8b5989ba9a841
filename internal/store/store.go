// Package store carries out the core's calls of the state service.
package store

import (
	"errors"
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
	callTimeout = 1200 * time.Millisecond
	// watchMargin is how much longer than its own wait a watch may take.
	watchTimeoutMargin = 3 * time.Second
	// throttledPause is the wait before a page of a list is asked for again.
	throttleBackoff = 200 * time.Millisecond
	// pageSize is the number of keys that is asked for in a page of a list.
	pageSize = 1000
	// The idle connections that are kept for calls and for watches.
	maxIdleCalls, maxIdleWatches = 8, 4
)

// Store carries out the core's store effects.
type Client struct {
	service     *wire.JSONService
	watchClient *wire.Client // apart, since a watch takes as long as it asks for
	baseURL     string
	reply       engine.ReplyFunc
}

// New makes a Store for the state service at addr.
func New(addr string, reply engine.ReplyFunc) *Client {
	forCalls := wire.ClientOptions{DialTimeout: dialTimeout, MaxIdlePerHost: maxIdleCalls}
	forWatches := wire.ClientOptions{DialTimeout: dialTimeout, MaxIdlePerHost: maxIdleWatches}
	return &Client{
		service:     wire.NewJSONService(addr, callTimeout, forCalls),
		watchClient: wire.NewClient(forWatches),
		baseURL:     wire.BaseURL(addr),
		reply:       reply,
	}
}

// Do starts a call; its reply follows.
func (s *Client) Do(effect core.Effect) {
	switch effect := effect.(type) {
	case core.StoreTxn:
		go func() { s.reply(effect.Call, s.transaction(effect)) }()
	case core.StoreGet:
		go func() { s.reply(effect.Call, s.get(effect)) }()
	case core.StoreList:
		go func() { s.reply(effect.Call, s.list(effect)) }()
	case core.StoreWatch:
		go func() { s.reply(effect.Call, s.watch(effect)) }()
	}
}

// outcomeOf maps the statuses that all calls share.
func outcomeFromStatus(status int) core.Outcome {
	switch status {
	case http.StatusOK:
		return core.OK
	case http.StatusTooManyRequests:
		return core.Throttled
	case http.StatusServiceUnavailable:
		return core.NotApplied
	case http.StatusBadRequest:
		return core.Invalid
	}
	return core.UnknownOutcome
}

func (s *Client) transaction(txn core.StoreTxn) core.TxnReply {
	response, err := s.service.Call(http.MethodPost, "/multi", wire.EncodeTxn(txn))
	if err != nil {
		return core.TxnReply{Outcome: core.UnknownOutcome}
	}
	if response.Status != http.StatusOK && response.Status != http.StatusConflict {
		return core.TxnReply{Outcome: outcomeFromStatus(response.Status)}
	}
	answer, err := wire.DecodeTxn(response.Body)
	switch {
	case err != nil:
		return core.TxnReply{Outcome: core.UnknownOutcome}
	case response.Status == http.StatusOK:
		return core.TxnReply{Outcome: core.OK, Revision: answer.Revision}
	case len(answer.FailedKeys) == 0: // a conflict that names no key makes no sense
		return core.TxnReply{Outcome: core.UnknownOutcome}
	}
	return core.TxnReply{Outcome: core.Conflict, Revision: answer.Revision, FailedKeys: answer.FailedKeys}
}

func (s *Client) get(get core.StoreGet) core.GetReply {
	response, err := s.service.Call(http.MethodGet, "/keys/"+get.Key, nil)
	if err != nil {
		return core.GetReply{Outcome: core.UnknownOutcome}
	}
	if response.Status == http.StatusNotFound {
		return core.GetReply{Outcome: core.NotFound}
	}
	if outcome := outcomeFromStatus(response.Status); outcome != core.OK {
		return core.GetReply{Outcome: outcome}
	}
	kv, err := wire.DecodeGet(response.Body)
	if err != nil {
		return core.GetReply{Outcome: core.UnknownOutcome}
	}
	kv.Key = get.Key
	return core.GetReply{Outcome: core.OK, KV: kv}
}

// list reads all pages. The epoch is the first page's: whatever changes while
// the others are read is shown again by a watch from there.
func (s *Client) list(list core.StoreList) core.ListReply {
	first, outcome := s.readPage(list.Prefix, "")
	if outcome != core.OK {
		return core.ListReply{Outcome: outcome}
	}
	reply := core.ListReply{Outcome: core.OK, Items: first.Items, Revision: first.Revision}
	for page := first; page.More && len(page.Items) > 0; {
		lastKey := page.Items[len(page.Items)-1].Key
		page, outcome = s.readNextPage(list.Prefix, lastKey)
		if outcome != core.OK {
			return core.ListReply{Outcome: outcome}
		}
		reply.Items = append(reply.Items, page.Items...)
		reply.Paginated = true
	}
	return reply
}

// nextPage reads a page after the first. A list that is half read is not given
// up because of the request limit.
func (s *Client) readNextPage(prefix, lastKey string) (wire.ItemPage, core.Outcome) {
	for {
		page, outcome := s.readPage(prefix, lastKey)
		if outcome != core.Throttled {
			return page, outcome
		}
		time.Sleep(throttleBackoff)
	}
}

// page reads the page of a list that follows a key; the first has no such key.
func (s *Client) readPage(prefix, lastKey string) (wire.ItemPage, core.Outcome) {
	query := url.Values{
		"prefix": {prefix},
		"page":   {strconv.Itoa(pageSize)},
	}
	if lastKey != "" {
		query.Set("since", lastKey)
	}
	response, err := s.service.Call(http.MethodGet, "/keys?"+query.Encode(), nil)
	return decodePage(response, err)
}

func decodePage(response wire.Response, err error) (wire.ItemPage, core.Outcome) {
	if err != nil {
		return wire.ItemPage{}, core.UnknownOutcome
	}
	if outcome := outcomeFromStatus(response.Status); outcome != core.OK {
		return wire.ItemPage{}, outcome
	}
	page, err := wire.DecodeItems(response.Body)
	if err != nil {
		return wire.ItemPage{}, core.UnknownOutcome
	}
	return page, core.OK
}

func (s *Client) watch(watch core.StoreWatch) core.WatchReply {
	wait := time.Duration(watch.Timeout)
	query := url.Values{
		"prefix":  {watch.Prefix},
		"since":   {strconv.FormatUint(uint64(watch.SinceRevision), 10)},
		"blockMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	response, err := s.watchClient.Do(wire.Request{
		Method:  http.MethodGet,
		URL:     s.baseURL + "/watch?" + query.Encode(),
		Timeout: wait + watchTimeoutMargin,
	})
	// The answer holds all changes and may be of any size. One that is too large
	// is as good as none: the keys are read again by pages.
	if errors.Is(err, wire.ErrResponseTooLarge) || err == nil && response.Status == http.StatusGone {
		return core.WatchReply{Outcome: core.Compacted}
	}
	page, outcome := decodePage(response, err)
	if outcome != core.OK {
		return core.WatchReply{Outcome: outcome}
	}
	return core.WatchReply{Outcome: core.OK, Items: page.Items, Revision: page.Revision}
}
