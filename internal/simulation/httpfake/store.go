package httpfake

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// watchPollInterval is how often a watch checks for changes.
const watchPollInterval = 20 * time.Millisecond

// item is a key in a list or a change in a watch or transaction. In a list, Key holds the
// key. In a change, either PutKey or DeletedKey holds it.
type item struct {
	Key         string          `json:"key,omitempty"`
	PutKey      string          `json:"set,omitempty"`
	DeletedKey  string          `json:"drop,omitempty"`
	Value       json.RawMessage `json:"value,omitempty"`
	ModRevision uint64          `json:"mark"`
}

func encodeKey(kv messages.KV) item {
	return item{Key: kv.Key, Value: kv.Value, ModRevision: uint64(kv.ModRevision)}
}

func encodeChange(kv messages.KV) item {
	if kv.Value == nil {
		return item{DeletedKey: kv.Key, ModRevision: uint64(kv.ModRevision)}
	}
	return item{PutKey: kv.Key, Value: kv.Value, ModRevision: uint64(kv.ModRevision)}
}

// revisionResponse is the body of the response to a transaction or to a read of a key that
// does not exist.
type revisionResponse struct {
	Revision cluster.Revision `json:"epoch"`
	Failed   []string         `json:"failed,omitempty"`
}

// ServeStore starts the HTTP server of the store and returns the server's address.
func (s *Services) ServeStore() (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /multi", s.serveTransaction)
	mux.HandleFunc("GET /keys/{key...}", s.serveKey)
	mux.HandleFunc("GET /keys", s.serveKeys)
	mux.HandleFunc("GET /watch", s.serveWatch)
	return s.serve(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		var down bool
		s.WithLock(func() { down = s.StoreDown })
		if down {
			writeJSON(w, http.StatusServiceUnavailable, errorResponse{Error: "trouble"})
			return
		}
		mux.ServeHTTP(w, request)
	}))
}

// transaction is the body of a transaction request.
type transaction struct {
	Compares []struct {
		Key         string `json:"key"`
		ModRevision uint64 `json:"mark"`
	} `json:"when"`
	Operations []item `json:"then"`
}

func (t *transaction) compares() []messages.Compare {
	var compares []messages.Compare
	for _, c := range t.Compares {
		compares = append(compares, messages.Compare{Key: c.Key, ModRevision: cluster.ModRevision(c.ModRevision)})
	}
	return compares
}

func (t *transaction) operations() []messages.TxnOp {
	var operations []messages.TxnOp
	for _, o := range t.Operations {
		if o.DeletedKey != "" {
			operations = append(operations, messages.TxnOp{Key: o.DeletedKey})
		} else {
			operations = append(operations, messages.TxnOp{Key: o.PutKey, Value: o.Value})
		}
	}
	return operations
}

func (s *Services) serveTransaction(w http.ResponseWriter, request *http.Request) {
	var txn transaction
	if !readJSON(w, request, &txn) {
		return
	}
	var reply messages.TxnReply
	s.WithLock(func() { reply = s.Store.Commit(txn.compares(), txn.operations()) })
	status := http.StatusOK
	if reply.Outcome == messages.Conflict {
		status = http.StatusConflict
	}
	writeJSON(w, status, revisionResponse{Revision: reply.Revision, Failed: reply.FailedKeys})
}

func (s *Services) serveKey(w http.ResponseWriter, request *http.Request) {
	var reply messages.GetReply
	var revision cluster.Revision
	s.WithLock(func() {
		reply = s.Store.Get(request.PathValue("key"))
		revision = s.Store.Revision
	})
	if reply.Outcome == messages.NotFound {
		writeJSON(w, http.StatusNotFound, revisionResponse{Revision: revision})
		return
	}
	writeJSON(w, http.StatusOK, encodeKey(reply.KV))
}

func (s *Services) serveKeys(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	var list messages.ListReply
	s.WithLock(func() { list = s.Store.List(query.Get("prefix")) })
	pageSize, _ := strconv.Atoi(query.Get("page"))
	items, truncated := keyPage(list.Items, query.Get("since"), pageSize)
	writeJSON(w, http.StatusOK, struct {
		Items     []item           `json:"items"`
		Truncated bool             `json:"truncated"`
		Revision  cluster.Revision `json:"epoch"`
	}{items, truncated, list.Revision})
}

// keyPage returns a page of a sorted list and reports whether more keys follow the page.
// The page begins after the given key, or is the first one if that key is empty.
func keyPage(list []messages.KV, after string, size int) ([]item, bool) {
	items := []item{}
	for _, kv := range list {
		if kv.Key <= after {
			continue
		}
		if len(items) == size {
			return items, true
		}
		items = append(items, encodeKey(kv))
	}
	return items, false
}

// serveWatch responds as soon as there is a change, or after the requested timeout.
func (s *Services) serveWatch(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	timeoutMillis, _ := strconv.Atoi(query.Get("blockMs"))
	until := time.Now().Add(time.Duration(timeoutMillis) * time.Millisecond)
	for {
		var changes messages.WatchReply
		s.WithLock(func() { changes = s.Store.Changes(query.Get("prefix"), cluster.Revision(since)) })
		if len(changes.Items) > 0 || time.Now().After(until) {
			writeChanges(w, changes)
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-s.ctx.Done():
			return
		case <-time.After(watchPollInterval):
		}
	}
}

func writeChanges(w http.ResponseWriter, changes messages.WatchReply) {
	events := []item{}
	for _, kv := range changes.Items {
		events = append(events, encodeChange(kv))
	}
	writeJSON(w, http.StatusOK, struct {
		Revision cluster.Revision `json:"epoch"`
		Events   []item           `json:"events"`
	}{changes.Revision, events})
}
