package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxPageBytes and maxPageItems limit a page of keys.
	maxPageBytes, maxPageItems = 512 << 10, 1000
	// keptChanges is the number of changes that a watch can ask for.
	keptChanges = 10_000
	// maxBody is the limit of a request body.
	maxBody = 64 << 10
)

// storeLimits are the limits that the settings give for the state service.
type storeLimits struct {
	rps, writeRPS float64
	valueBytes    int
	txnOps        int
}

// storeEntry is a key of the state service.
type storeEntry struct {
	value json.RawMessage
	mark  uint64
}

// storeChange is a change of a key. Its value is nil if the key was dropped.
type storeChange struct {
	key   string
	value json.RawMessage
	mark  uint64
}

// store is a stand-in of the state service.
type store struct {
	limits storeLimits

	mu       sync.Mutex
	epoch    uint64
	keys     map[string]storeEntry
	sorted   []string // the keys in order
	changes  []storeChange
	changed  chan struct{} // closed at the next change
	requests bucket
	writes   bucket
}

// bucket is a rate limit that allows bursts of one second's worth.
type bucket struct {
	rate, level float64
	at          time.Time
}

func newBucket(rate float64) bucket { return bucket{rate: rate, level: rate, at: time.Now()} }

// take reports whether n units are available, and takes them.
func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.level = min(b.rate, b.level+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

func newStore(limits storeLimits) *store {
	return &store{
		limits:   limits,
		keys:     map[string]storeEntry{},
		changed:  make(chan struct{}),
		requests: newBucket(limits.rps),
		writes:   newBucket(limits.writeRPS),
	}
}

// seed adds keys as one change without charging the limits.
func (s *store) seed(values map[string]json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	for key, value := range values {
		s.keys[key] = storeEntry{value: value, mark: s.epoch}
	}
	s.sorted = s.sorted[:0]
	for key := range s.keys {
		s.sorted = append(s.sorted, key)
	}
	slices.Sort(s.sorted)
	s.changes = nil
}

// get returns the value of a key, or nil.
func (s *store) get(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key].value
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /multi", s.serveMulti)
	mux.HandleFunc("GET /keys/{key...}", s.serveKey)
	mux.HandleFunc("GET /keys", s.serveKeys)
	mux.HandleFunc("GET /watch", s.serveWatch)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		allowed := s.requests.take(1)
		s.mu.Unlock()
		if !allowed {
			answer(w, http.StatusTooManyRequests, map[string]any{"error": "too many requests"})
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// answer writes a JSON response. The client may have disconnected.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

type multiRequest struct {
	When []struct {
		Key  string `json:"key"`
		Mark uint64 `json:"mark"`
	} `json:"when"`
	Then []struct {
		Set   string          `json:"set"`
		Value json.RawMessage `json:"value"`
		Drop  string          `json:"drop"`
	} `json:"then"`
}

func (s *store) serveMulti(w http.ResponseWriter, r *http.Request) {
	var body multiRequest
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&body) != nil || !s.allows(&body) {
		answer(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writes.take(float64(len(body.Then))) {
		answer(w, http.StatusTooManyRequests, map[string]any{"error": "too many changes"})
		return
	}
	var failed []string
	for _, condition := range body.When {
		if s.keys[condition.Key].mark != condition.Mark {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		answer(w, http.StatusConflict, map[string]any{"failed": failed, "epoch": s.epoch})
		return
	}
	if len(body.Then) > 0 {
		s.epoch++
	}
	for _, op := range body.Then {
		if op.Drop != "" {
			s.apply(op.Drop, nil)
		} else {
			s.apply(op.Set, op.Value)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	answer(w, http.StatusOK, map[string]any{"epoch": s.epoch})
}

// allows reports whether a transaction is within the limits of the state service.
func (s *store) allows(body *multiRequest) bool {
	if len(body.Then) > s.limits.txnOps || len(body.When) > 4*s.limits.txnOps {
		return false
	}
	for _, op := range body.Then {
		if len(op.Value) > s.limits.valueBytes || (op.Set == "") == (op.Drop == "") {
			return false
		}
	}
	return true
}

// apply changes a key at the present revision; a nil value drops it.
func (s *store) apply(key string, value json.RawMessage) {
	at, known := slices.BinarySearch(s.sorted, key)
	if value == nil {
		if !known {
			return
		}
		delete(s.keys, key)
		s.sorted = slices.Delete(s.sorted, at, at+1)
	} else {
		s.keys[key] = storeEntry{value: value, mark: s.epoch}
		if !known {
			s.sorted = slices.Insert(s.sorted, at, key)
		}
	}
	s.changes = append(s.changes, storeChange{key: key, value: value, mark: s.epoch})
	if len(s.changes) > keptChanges {
		s.changes = s.changes[len(s.changes)-keptChanges:]
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	s.mu.Lock()
	entry, known := s.keys[key]
	epoch := s.epoch
	s.mu.Unlock()
	if !known {
		answer(w, http.StatusNotFound, map[string]any{"epoch": epoch})
		return
	}
	answer(w, http.StatusOK, map[string]any{"key": key, "value": entry.value, "mark": entry.mark})
}

type storeItem struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	Mark  uint64          `json:"mark"`
}

func (s *store) serveKeys(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, since := query.Get("prefix"), query.Get("since")
	page, err := strconv.Atoi(query.Get("page"))
	if err != nil || page < 1 || page > maxPageItems {
		page = maxPageItems
	}
	items, size, truncated := []storeItem{}, 0, false
	s.mu.Lock()
	at := sort.Search(len(s.sorted), func(i int) bool { return s.sorted[i] >= prefix && s.sorted[i] > since })
	for ; at < len(s.sorted) && strings.HasPrefix(s.sorted[at], prefix); at++ {
		key := s.sorted[at]
		entry := s.keys[key]
		size += len(key) + len(entry.value) + 60
		if len(items) == page || size > maxPageBytes {
			truncated = true
			break
		}
		items = append(items, storeItem{key, entry.value, entry.mark})
	}
	epoch := s.epoch
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "epoch": epoch})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	block, _ := strconv.Atoi(query.Get("blockMs"))
	timeout := time.NewTimer(time.Duration(block) * time.Millisecond)
	defer timeout.Stop()
	for {
		events, epoch, gone, changed := s.changesAfter(query.Get("prefix"), since)
		if gone {
			answer(w, http.StatusGone, map[string]any{"epoch": epoch})
			return
		}
		if len(events) > 0 || block == 0 {
			answer(w, http.StatusOK, map[string]any{"epoch": epoch, "events": events})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			block = 0
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes of a prefix after a revision, whether they are no longer
// kept, and a channel that is closed at the next change.
func (s *store) changesAfter(prefix string, since uint64) (events []map[string]any, epoch uint64, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.changes) == keptChanges && since < s.changes[0].mark {
		return nil, s.epoch, true, s.changed
	}
	events = []map[string]any{}
	at := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].mark > since })
	for _, change := range s.changes[at:] {
		switch {
		case !strings.HasPrefix(change.key, prefix):
		case change.value == nil:
			events = append(events, map[string]any{"drop": change.key, "mark": change.mark})
		default:
			events = append(events, map[string]any{"set": change.key, "value": change.value, "mark": change.mark})
		}
	}
	return events, s.epoch, false, s.changed
}
