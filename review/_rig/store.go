package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the state service.
type store struct {
	w *world

	mu                   sync.Mutex
	cond                 *sync.Cond
	epoch                uint64
	keys                 map[string]entry
	changes              []change
	down                 bool // outage for all nodes
	latency              time.Duration
	replay, slow         bool
	names                []string // sorted, as of namesAt
	namesAt              uint64
	links                map[int]*storeLink
	levelAt              time.Time
	reqLevel, writeLevel float64
}

type entry struct {
	Value json.RawMessage
	Mark  uint64
}

type change struct {
	Key   string
	Value json.RawMessage
	Mark  uint64
	Drop  bool
}

// storeLink is one node's way to the state service.
type storeLink struct {
	mode   linkMode
	refuse bool // 503 for this node alone
	heldAt time.Time
	conns  map[net.Conn]bool
}

type connTimeKey struct{}

type connInfo struct {
	at   time.Time
	conn net.Conn
}

func newStore(w *world) *store {
	s := &store{w: w, keys: map[string]entry{}, links: map[int]*storeLink{}, latency: 4 * time.Millisecond, levelAt: time.Now()}
	s.cond = sync.NewCond(&s.mu)
	s.reqLevel, s.writeLevel = w.site.RPS, w.site.WriteRPS
	return s
}

// listen opens the address at which a node reaches the state service.
func (s *store) listen(index int) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	link := &storeLink{conns: map[net.Conn]bool{}}
	s.links[index] = link
	server := &http.Server{
		Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { s.serve(link, index, rw, r) }),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connTimeKey{}, connInfo{time.Now(), c})
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			switch state {
			case http.StateNew:
				link.conns[c] = true
				if link.mode == linkReset {
					abort(c)
				}
			case http.StateClosed:
				delete(link.conns, c)
			}
		},
	}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (s *store) setLink(index int, mode linkMode, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	link := s.links[index]
	link.mode, link.refuse = mode, refuse
	if mode == linkHold {
		link.heldAt = time.Now()
	}
	if mode == linkReset {
		for c := range link.conns {
			abort(c)
		}
	}
	s.cond.Broadcast()
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.cond.Broadcast()
}

// pass waits while the link holds its packets. It returns false if the request never arrives.
func (s *store) pass(link *storeLink, r *http.Request) bool {
	info, _ := r.Context().Value(connTimeKey{}).(connInfo)
	for link.mode == linkHold {
		if info.at.After(link.heldAt) {
			return false
		}
		s.cond.Wait()
	}
	return link.mode == linkPass
}

func (s *store) serve(link *storeLink, index int, rw http.ResponseWriter, r *http.Request) {
	body := readAll(r, 64<<10+1)
	s.mu.Lock()
	latency := s.latency
	s.mu.Unlock()
	if !strings.HasPrefix(r.URL.Path, "/watch") {
		if s.slow && time.Now().UnixNano()%20 == 0 {
			latency *= 75 // now and then a few hundred milliseconds
		}
		time.Sleep(latency)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.pass(link, r) {
		s.mu.Unlock()
		<-r.Context().Done()
		s.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	if s.replay && r.URL.Path == "/multi" && time.Now().UnixNano()%12 == 0 { // a late copy of the request
		late := time.Duration(1+time.Now().UnixNano()%30) * time.Second
		time.AfterFunc(late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.w.logf("store: a late copy of a transaction of node %d", index)
			s.multi(index, httptest.NewRecorder(), body)
		})
	}
	if (s.down || link.refuse) && !(r.URL.Path == "/watch") {
		writeJSON(rw, 503, map[string]any{"error": "trouble"})
		return
	}
	if !s.charge(1, 0) {
		writeJSON(rw, 429, map[string]any{"error": "too many requests"})
		return
	}
	switch {
	case r.URL.Path == "/multi" && r.Method == "POST":
		s.multi(index, rw, body)
	case strings.HasPrefix(r.URL.Path, "/keys/") && r.Method == "GET":
		e, ok := s.keys[strings.TrimPrefix(r.URL.Path, "/keys/")]
		if !ok {
			writeJSON(rw, 404, map[string]any{"epoch": s.epoch})
			return
		}
		writeJSON(rw, 200, map[string]any{"key": strings.TrimPrefix(r.URL.Path, "/keys/"), "value": e.Value, "mark": e.Mark})
	case r.URL.Path == "/keys":
		s.list(rw, r)
	case r.URL.Path == "/watch":
		s.watch(link, rw, r)
	default:
		writeJSON(rw, 400, map[string]any{"error": "malformed"})
	}
}

// charge charges the rate limits, which allow bursts of one second's worth.
func (s *store) charge(requests, writes float64) bool {
	now := time.Now()
	dt := now.Sub(s.levelAt).Seconds()
	s.levelAt = now
	s.reqLevel = min(s.reqLevel+dt*s.w.site.RPS, s.w.site.RPS)
	s.writeLevel = min(s.writeLevel+dt*s.w.site.WriteRPS, s.w.site.WriteRPS)
	if s.reqLevel < requests || s.writeLevel < writes {
		return false
	}
	s.reqLevel -= requests
	s.writeLevel -= writes
	return true
}

type multiBody struct {
	When []struct {
		Key  string `json:"key"`
		Mark uint64 `json:"mark"`
	} `json:"when"`
	Then []struct {
		Set   *string         `json:"set"`
		Value json.RawMessage `json:"value"`
		Drop  *string         `json:"drop"`
	} `json:"then"`
}

func (s *store) multi(index int, rw http.ResponseWriter, body []byte) {
	var b multiBody
	if len(body) > 64<<10 || json.Unmarshal(body, &b) != nil || len(b.Then) > s.w.site.TxnOps || len(b.When) > 4*s.w.site.TxnOps {
		s.w.logf("store: node %d sent a malformed or too large transaction: %d bytes, %d operations, %d conditions", index, len(body), len(b.Then), len(b.When))
		writeJSON(rw, 400, map[string]any{"error": "malformed"})
		return
	}
	for _, op := range b.Then {
		if len(op.Value) > int(s.w.site.ValueKB*1024) {
			s.w.logf("store: node %d sent a value of %d bytes", index, len(op.Value))
			writeJSON(rw, 400, map[string]any{"error": "value too large"})
			return
		}
	}
	if !s.charge(0, float64(len(b.Then))) {
		writeJSON(rw, 429, map[string]any{"error": "too many changes"})
		return
	}
	var failed []string
	for _, c := range b.When {
		if s.keys[c.Key].Mark != c.Mark {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		writeJSON(rw, 409, map[string]any{"failed": failed, "epoch": s.epoch})
		return
	}
	if len(b.Then) > 0 {
		s.epoch++
	}
	for _, op := range b.Then {
		if op.Set != nil {
			s.keys[*op.Set] = entry{op.Value, s.epoch}
			s.changes = append(s.changes, change{Key: *op.Set, Value: op.Value, Mark: s.epoch})
			s.w.logf("store: epoch %d node %d set %s %s", s.epoch, index, *op.Set, op.Value)
		} else if op.Drop != nil {
			if _, ok := s.keys[*op.Drop]; ok {
				delete(s.keys, *op.Drop)
				s.changes = append(s.changes, change{Key: *op.Drop, Mark: s.epoch, Drop: true})
				s.w.logf("store: epoch %d node %d drop %s", s.epoch, index, *op.Drop)
			}
		}
	}
	s.cond.Broadcast()
	writeJSON(rw, 200, map[string]any{"epoch": s.epoch})
}

// namesAfter returns the keys with a prefix that follow a key, in order.
func (s *store) namesAfter(prefix, since string) []string {
	if len(s.names) != len(s.keys) || s.namesAt != s.epoch {
		s.names, s.namesAt = s.names[:0], s.epoch
		for k := range s.keys {
			s.names = append(s.names, k)
		}
		sort.Strings(s.names)
	}
	from := sort.SearchStrings(s.names, max(prefix, since+"\x00"))
	to := from
	for to < len(s.names) && to < from+1001 && strings.HasPrefix(s.names[to], prefix) {
		to++
	}
	return s.names[from:to]
}

func (s *store) list(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, _ := strconv.Atoi(q.Get("page"))
	if page <= 0 || page > 1000 {
		page = 1000
	}
	names := s.namesAfter(q.Get("prefix"), q.Get("since"))
	items, size, truncated := []map[string]any{}, 0, false
	for _, k := range names {
		if len(items) == page || size+len(s.keys[k].Value)+len(k)+40 > 512<<10 {
			truncated = true
			break
		}
		size += len(s.keys[k].Value) + len(k) + 40
		items = append(items, map[string]any{"key": k, "value": s.keys[k].Value, "mark": s.keys[k].Mark})
	}
	writeJSON(rw, 200, map[string]any{"items": items, "truncated": truncated, "epoch": s.epoch})
}

func (s *store) watch(link *storeLink, rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	block, _ := strconv.Atoi(q.Get("blockMs"))
	until := time.Now().Add(time.Duration(min(block, 60000)) * time.Millisecond)
	timer := time.AfterFunc(time.Until(until), func() { s.mu.Lock(); s.cond.Broadcast(); s.mu.Unlock() })
	defer timer.Stop()
	gone := context.AfterFunc(r.Context(), func() { s.mu.Lock(); s.cond.Broadcast(); s.mu.Unlock() })
	defer gone()
	for {
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		waits := s.down || link.refuse || link.mode != linkPass
		if block == 0 && (s.down || link.refuse) {
			writeJSON(rw, 503, map[string]any{"error": "trouble"})
			return
		}
		if !waits {
			if len(s.changes) > 10000 && s.changes[len(s.changes)-10000].Mark > since+1 {
				writeJSON(rw, 410, map[string]any{"epoch": s.epoch})
				return
			}
			events := []map[string]any{}
			i := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Mark > since })
			for _, c := range s.changes[i:] {
				if !strings.HasPrefix(c.Key, q.Get("prefix")) {
					continue
				}
				if c.Drop {
					events = append(events, map[string]any{"drop": c.Key, "mark": c.Mark})
				} else {
					events = append(events, map[string]any{"set": c.Key, "value": c.Value, "mark": c.Mark})
				}
			}
			if len(events) > 0 || !time.Now().Before(until) {
				writeJSON(rw, 200, map[string]any{"epoch": s.epoch, "events": events})
				return
			}
		}
		s.cond.Wait()
	}
}
