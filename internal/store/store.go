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
	watchMargin = 3 * time.Second
	// throttledPause is the wait before a page of a list is asked for again.
	throttledPause = 200 * time.Millisecond
	// pageSize is the number of keys that is asked for in a page of a list.
	pageSize = 1000
	// The idle connections that are kept for calls and for watches.
	idleCalls, idleWatches = 8, 4
)

// Store carries out the core's store effects.
type Store struct {
	service *wire.JSONService
	watches *wire.Client // apart, since a watch takes as long as it asks for
	baseURL string
	reply   engine.ReplyFunc
}

// New makes a Store for the state service at addr.
func New(addr string, reply engine.ReplyFunc) *Store {
	forCalls := wire.ClientOptions{DialTimeout: dialTimeout, IdlePerHost: idleCalls}
	forWatches := wire.ClientOptions{DialTimeout: dialTimeout, IdlePerHost: idleWatches}
	return &Store{
		service: wire.NewJSONService(addr, callTimeout, forCalls),
		watches: wire.NewClient(forWatches),
		baseURL: wire.BaseURL(addr),
		reply:   reply,
	}
}

// Do starts a call; its reply follows.
func (s *Store) Do(effect core.Effect) {
	switch effect := effect.(type) {
	case core.StoreTxn:
		go func() { s.reply(effect.Call, s.txn(effect)) }()
	case core.StoreGet:
		go func() { s.reply(effect.Call, s.get(effect)) }()
	case core.StoreList:
		go func() { s.reply(effect.Call, s.list(effect)) }()
	case core.StoreWatch:
		go func() { s.reply(effect.Call, s.watch(effect)) }()
	}
}

// outcomeOf maps the statuses that all calls share.
func outcomeOf(status int) core.Outcome {
	switch status {
	case http.StatusOK:
		return core.OK
	case http.StatusTooManyRequests:
		return core.Throttled
	case http.StatusServiceUnavailable:
		return core.NotDone
	case http.StatusBadRequest:
		return core.Invalid
	}
	return core.Unknown
}

func (s *Store) txn(txn core.StoreTxn) core.TxnReply {
	response, err := s.service.Call(http.MethodPost, "/multi", wire.EncodeTxn(txn))
	if err != nil {
		return core.TxnReply{Out: core.Unknown}
	}
	if response.Status != http.StatusOK && response.Status != http.StatusConflict {
		return core.TxnReply{Out: outcomeOf(response.Status)}
	}
	answer, err := wire.DecodeTxn(response.Body)
	switch {
	case err != nil:
		return core.TxnReply{Out: core.Unknown}
	case response.Status == http.StatusOK:
		return core.TxnReply{Out: core.OK, Epoch: answer.Epoch}
	case len(answer.Failed) == 0: // a conflict that names no key makes no sense
		return core.TxnReply{Out: core.Unknown}
	}
	return core.TxnReply{Out: core.Conflict, Epoch: answer.Epoch, Failed: answer.Failed}
}

func (s *Store) get(get core.StoreGet) core.GetReply {
	response, err := s.service.Call(http.MethodGet, "/keys/"+get.Key, nil)
	if err != nil {
		return core.GetReply{Out: core.Unknown}
	}
	if response.Status == http.StatusNotFound {
		return core.GetReply{Out: core.Missing}
	}
	if outcome := outcomeOf(response.Status); outcome != core.OK {
		return core.GetReply{Out: outcome}
	}
	kv, err := wire.DecodeGet(response.Body)
	if err != nil {
		return core.GetReply{Out: core.Unknown}
	}
	kv.Key = get.Key
	return core.GetReply{Out: core.OK, KV: kv}
}

// list reads all pages. The epoch is the first page's: whatever changes while
// the others are read is shown again by a watch from there.
func (s *Store) list(list core.StoreList) core.ListReply {
	first, outcome := s.page(list.Prefix, "")
	if outcome != core.OK {
		return core.ListReply{Out: outcome}
	}
	reply := core.ListReply{Out: core.OK, Items: first.Items, Epoch: first.Epoch}
	for page := first; page.More && len(page.Items) > 0; {
		lastKey := page.Items[len(page.Items)-1].Key
		page, outcome = s.nextPage(list.Prefix, lastKey)
		if outcome != core.OK {
			return core.ListReply{Out: outcome}
		}
		reply.Items = append(reply.Items, page.Items...)
		reply.Paged = true
	}
	return reply
}

// nextPage reads a page after the first. A list that is half read is not given
// up because of the request limit.
func (s *Store) nextPage(prefix, lastKey string) (wire.ItemPage, core.Outcome) {
	for {
		page, outcome := s.page(prefix, lastKey)
		if outcome != core.Throttled {
			return page, outcome
		}
		time.Sleep(throttledPause)
	}
}

// page reads the page of a list that follows a key; the first has no such key.
func (s *Store) page(prefix, lastKey string) (wire.ItemPage, core.Outcome) {
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
		return wire.ItemPage{}, core.Unknown
	}
	if outcome := outcomeOf(response.Status); outcome != core.OK {
		return wire.ItemPage{}, outcome
	}
	page, err := wire.DecodeItems(response.Body)
	if err != nil {
		return wire.ItemPage{}, core.Unknown
	}
	return page, core.OK
}

func (s *Store) watch(watch core.StoreWatch) core.WatchReply {
	wait := time.Duration(watch.Wait)
	query := url.Values{
		"prefix":  {watch.Prefix},
		"since":   {strconv.FormatUint(uint64(watch.Since), 10)},
		"blockMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	response, err := s.watches.Do(wire.Request{
		Method:  http.MethodGet,
		URL:     s.baseURL + "/watch?" + query.Encode(),
		Timeout: wait + watchMargin,
	})
	// The answer holds all changes and may be of any size. One that is too large
	// is as good as none: the keys are read again by pages.
	if errors.Is(err, wire.ErrAnswerTooLarge) || err == nil && response.Status == http.StatusGone {
		return core.WatchReply{Out: core.Gone}
	}
	page, outcome := decodePage(response, err)
	if outcome != core.OK {
		return core.WatchReply{Out: outcome}
	}
	return core.WatchReply{Out: core.OK, Items: page.Items, Epoch: page.Epoch}
}
