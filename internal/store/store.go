// Package store carries out the core's calls of the state service.
package store

import (
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"stairrelay/internal/messages"

	"stairrelay/internal/engine"
	"stairrelay/internal/wire"
)

const (
	dialTimeout = time.Second
	callTimeout = 1200 * time.Millisecond
	// watchTimeoutMargin is how much longer than its own wait a watch may take.
	watchTimeoutMargin = 3 * time.Second
	// throttleBackoff is the wait before a page of a list is asked for again.
	throttleBackoff = 200 * time.Millisecond
	// pageSize is the number of keys that is asked for in a page of a list.
	pageSize = 1000
	// The idle connections that are kept for calls and for watches.
	maxIdleCalls, maxIdleWatches = 8, 4
)

// Client carries out the core's store effects.
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
func (s *Client) Do(effect messages.Effect) {
	switch effect := effect.(type) {
	case messages.StoreTxn:
		go func() { s.reply(effect.Call, s.transaction(effect)) }()
	case messages.StoreGet:
		go func() { s.reply(effect.Call, s.get(effect)) }()
	case messages.StoreList:
		go func() { s.reply(effect.Call, s.list(effect)) }()
	case messages.StoreWatch:
		go func() { s.reply(effect.Call, s.watch(effect)) }()
	}
}

// outcomeFromStatus maps the statuses that all calls share.
func outcomeFromStatus(status int) messages.Outcome {
	switch status {
	case http.StatusOK:
		return messages.OK
	case http.StatusTooManyRequests:
		return messages.Throttled
	case http.StatusServiceUnavailable:
		return messages.NotApplied
	case http.StatusBadRequest:
		return messages.Invalid
	}
	return messages.UnknownOutcome
}

func (s *Client) transaction(txn messages.StoreTxn) messages.TxnReply {
	response, err := s.service.Call(http.MethodPost, "/multi", wire.EncodeTxn(txn))
	if err != nil {
		return messages.TxnReply{Outcome: messages.UnknownOutcome}
	}
	if response.Status != http.StatusOK && response.Status != http.StatusConflict {
		return messages.TxnReply{Outcome: outcomeFromStatus(response.Status)}
	}
	answer, err := wire.DecodeTxn(response.Body)
	switch {
	case err != nil:
		return messages.TxnReply{Outcome: messages.UnknownOutcome}
	case response.Status == http.StatusOK:
		return messages.TxnReply{Outcome: messages.OK, Revision: answer.Revision}
	case len(answer.FailedKeys) == 0: // a conflict that names no key makes no sense
		return messages.TxnReply{Outcome: messages.UnknownOutcome}
	}
	return messages.TxnReply{Outcome: messages.Conflict, Revision: answer.Revision, FailedKeys: answer.FailedKeys}
}

func (s *Client) get(get messages.StoreGet) messages.GetReply {
	response, err := s.service.Call(http.MethodGet, "/keys/"+get.Key, nil)
	if err != nil {
		return messages.GetReply{Outcome: messages.UnknownOutcome}
	}
	if response.Status == http.StatusNotFound {
		return messages.GetReply{Outcome: messages.NotFound}
	}
	if outcome := outcomeFromStatus(response.Status); outcome != messages.OK {
		return messages.GetReply{Outcome: outcome}
	}
	kv, err := wire.DecodeGet(response.Body)
	if err != nil {
		return messages.GetReply{Outcome: messages.UnknownOutcome}
	}
	kv.Key = get.Key
	return messages.GetReply{Outcome: messages.OK, KV: kv}
}

// list reads all pages. The epoch is the first page's: whatever changes while
// the others are read is shown again by a watch from there.
func (s *Client) list(list messages.StoreList) messages.ListReply {
	first, outcome := s.readPage(list.Prefix, "")
	if outcome != messages.OK {
		return messages.ListReply{Outcome: outcome}
	}
	reply := messages.ListReply{Outcome: messages.OK, Items: first.Items, Revision: first.Revision}
	for page := first; page.More && len(page.Items) > 0; {
		lastKey := page.Items[len(page.Items)-1].Key
		page, outcome = s.readNextPage(list.Prefix, lastKey)
		if outcome != messages.OK {
			return messages.ListReply{Outcome: outcome}
		}
		reply.Items = append(reply.Items, page.Items...)
		reply.Paginated = true
	}
	return reply
}

// readNextPage reads a page after the first. A list that is half read is not given
// up because of the request limit.
func (s *Client) readNextPage(prefix, lastKey string) (wire.ItemPage, messages.Outcome) {
	for {
		page, outcome := s.readPage(prefix, lastKey)
		if outcome != messages.Throttled {
			return page, outcome
		}
		time.Sleep(throttleBackoff)
	}
}

// readPage reads the page of a list that follows a key; the first has no such key.
func (s *Client) readPage(prefix, lastKey string) (wire.ItemPage, messages.Outcome) {
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

func decodePage(response wire.Response, err error) (wire.ItemPage, messages.Outcome) {
	if err != nil {
		return wire.ItemPage{}, messages.UnknownOutcome
	}
	if outcome := outcomeFromStatus(response.Status); outcome != messages.OK {
		return wire.ItemPage{}, outcome
	}
	page, err := wire.DecodeItems(response.Body)
	if err != nil {
		return wire.ItemPage{}, messages.UnknownOutcome
	}
	return page, messages.OK
}

func (s *Client) watch(watch messages.StoreWatch) messages.WatchReply {
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
		return messages.WatchReply{Outcome: messages.Compacted}
	}
	page, outcome := decodePage(response, err)
	if outcome != messages.OK {
		return messages.WatchReply{Outcome: outcome}
	}
	return messages.WatchReply{Outcome: messages.OK, Items: page.Items, Revision: page.Revision}
}
