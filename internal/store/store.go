// Package store is the actor that talks to the state service.
package store

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"stairrelay/internal/core"
	"stairrelay/internal/wire"
)

// Answer hands a call's result back to the core.
type Answer func(core.CallID, any)

// Store carries out the core's store effects.
type Store struct {
	base    string
	h       *http.Client
	watch   *http.Client
	answer  Answer
	timeout time.Duration
}

// New makes the actor for the state service at addr.
func New(addr string, answer Answer) *Store {
	return &Store{base: "http://" + addr, h: wire.NewClient(time.Second, 8, 0), watch: wire.NewClient(time.Second, 4, 0),
		answer: answer, timeout: 1200 * time.Millisecond}
}

// Do starts a call; its answer comes as a message.
func (s *Store) Do(e core.Effect) {
	switch e := e.(type) {
	case core.StoreTxn:
		go func() { s.answer(e.Call, s.txn(e)) }()
	case core.StoreGet:
		go func() { s.answer(e.Call, s.get(e)) }()
	case core.StoreList:
		go func() { s.answer(e.Call, s.list(e)) }()
	case core.StoreWatch:
		go func() { s.answer(e.Call, s.watchFor(e)) }()
	}
}

func (s *Store) call(method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	return wire.Call(ctx, s.h, method, s.base+path, "application/json", body)
}

// outcome maps what is common to all calls.
func outcome(status int, err error) core.Outcome {
	switch {
	case err != nil:
		return core.Unknown
	case status == 200:
		return core.OK
	case status == 429:
		return core.Throttled
	case status == 503:
		return core.NotDone
	case status == 400:
		return core.Invalid
	}
	return core.Unknown
}

func (s *Store) txn(e core.StoreTxn) core.TxnReply {
	status, b, err := s.call("POST", "/multi", wire.EncodeTxn(e))
	if err == nil && (status == 200 || status == 409) {
		epoch, failed, err := wire.DecodeTxn(b)
		switch {
		case err != nil:
			return core.TxnReply{Out: core.Unknown}
		case status == 200:
			return core.TxnReply{Out: core.OK, Epoch: epoch}
		case len(failed) == 0:
			return core.TxnReply{Out: core.Unknown}
		}
		return core.TxnReply{Out: core.Conflict, Epoch: epoch, Failed: failed}
	}
	return core.TxnReply{Out: outcome(status, err)}
}

func (s *Store) get(e core.StoreGet) core.GetReply {
	status, b, err := s.call("GET", "/keys/"+e.Key, nil)
	if err == nil && status == 404 {
		return core.GetReply{Out: core.Missing}
	}
	out := outcome(status, err)
	if out != core.OK {
		return core.GetReply{Out: out}
	}
	kv, err := wire.DecodeGet(b)
	if err != nil {
		return core.GetReply{Out: core.Unknown}
	}
	kv.Key = e.Key
	return core.GetReply{Out: core.OK, KV: kv}
}

// list reads all pages. The epoch is the first page's: whatever changes while
// the others are read is shown again by a watch from there.
func (s *Store) list(e core.StoreList) core.ListReply {
	var all []core.KV
	var first core.Epoch
	since := ""
	for page := 0; ; page++ {
		q := url.Values{"prefix": {e.Prefix}, "page": {"1000"}}
		if since != "" {
			q.Set("since", since)
		}
		status, b, err := s.call("GET", "/keys?"+q.Encode(), nil)
		if out := outcome(status, err); out != core.OK {
			if out == core.Throttled && page > 0 {
				time.Sleep(200 * time.Millisecond)
				page--
				continue
			}
			return core.ListReply{Out: out}
		}
		items, more, epoch, err := wire.DecodeItems(b)
		if err != nil {
			return core.ListReply{Out: core.Unknown}
		}
		if page == 0 {
			first = epoch
		}
		all = append(all, items...)
		if !more || len(items) == 0 {
			return core.ListReply{Out: core.OK, Items: all, Epoch: first, Paged: page > 0}
		}
		since = items[len(items)-1].Key
	}
}

func (s *Store) watchFor(e core.StoreWatch) core.WatchReply {
	wait := time.Duration(e.Wait)
	ctx, cancel := context.WithTimeout(context.Background(), wait+3*time.Second)
	defer cancel()
	q := url.Values{"prefix": {e.Prefix}, "since": {strconv.FormatUint(uint64(e.Since), 10)},
		"blockMs": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	status, b, err := wire.Call(ctx, s.watch, "GET", s.base+"/watch?"+q.Encode(), "", nil)
	if err == nil && status == 410 {
		return core.WatchReply{Out: core.Gone}
	}
	out := outcome(status, err)
	if out != core.OK {
		return core.WatchReply{Out: out}
	}
	items, _, epoch, err := wire.DecodeItems(b)
	if err != nil {
		return core.WatchReply{Out: core.Unknown}
	}
	return core.WatchReply{Out: core.OK, Items: items, Epoch: epoch}
}
