package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"stairrelay/internal/core"
)

// watchPoll is how often a watch looks for changes.
const watchPoll = 20 * time.Millisecond

// itemForm is a key of a list, with Key, or a change, with Set or Drop.
type itemForm struct {
	Key   string          `json:"key,omitempty"`
	Set   string          `json:"set,omitempty"`
	Drop  string          `json:"drop,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
	Mark  uint64          `json:"mark"`
}

func keyForm(kv core.KV) itemForm {
	return itemForm{Key: kv.Key, Value: kv.Value, Mark: uint64(kv.Mark)}
}

func changeForm(kv core.KV) itemForm {
	if kv.Value == nil {
		return itemForm{Drop: kv.Key, Mark: uint64(kv.Mark)}
	}
	return itemForm{Set: kv.Key, Value: kv.Value, Mark: uint64(kv.Mark)}
}

// epochForm is the body of an answer without keys.
type epochForm struct {
	Epoch  core.Epoch `json:"epoch"`
	Failed []string   `json:"failed,omitempty"`
}

// ServeState starts the state service and returns its address.
func (r *Region) ServeState() (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /multi", r.serveTxn)
	mux.HandleFunc("GET /keys/{key...}", r.serveKey)
	mux.HandleFunc("GET /keys", r.serveKeys)
	mux.HandleFunc("GET /watch", r.serveWatch)
	return r.serve(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		var down bool
		r.Locked(func() { down = r.StateDown })
		if down {
			writeJSON(w, http.StatusServiceUnavailable, errorForm{Error: "trouble"})
			return
		}
		mux.ServeHTTP(w, request)
	}))
}

// txnForm is a transaction.
type txnForm struct {
	When []struct {
		Key  string `json:"key"`
		Mark uint64 `json:"mark"`
	} `json:"when"`
	Then []itemForm `json:"then"`
}

func (f *txnForm) conditions() []core.Cond {
	var conditions []core.Cond
	for _, c := range f.When {
		conditions = append(conditions, core.Cond{Key: c.Key, Mark: core.Mark(c.Mark)})
	}
	return conditions
}

func (f *txnForm) operations() []core.TxnOp {
	var operations []core.TxnOp
	for _, o := range f.Then {
		if o.Drop != "" {
			operations = append(operations, core.TxnOp{Key: o.Drop})
		} else {
			operations = append(operations, core.TxnOp{Key: o.Set, Value: o.Value})
		}
	}
	return operations
}

func (r *Region) serveTxn(w http.ResponseWriter, request *http.Request) {
	var form txnForm
	if !readJSON(w, request, &form) {
		return
	}
	var reply core.TxnReply
	r.Locked(func() { reply = r.State.Txn(form.conditions(), form.operations()) })
	status := http.StatusOK
	if reply.Out == core.Conflict {
		status = http.StatusConflict
	}
	writeJSON(w, status, epochForm{Epoch: reply.Epoch, Failed: reply.Failed})
}

func (r *Region) serveKey(w http.ResponseWriter, request *http.Request) {
	var reply core.GetReply
	var epoch core.Epoch
	r.Locked(func() {
		reply = r.State.Get(request.PathValue("key"))
		epoch = r.State.Epoch
	})
	if reply.Out == core.Missing {
		writeJSON(w, http.StatusNotFound, epochForm{Epoch: epoch})
		return
	}
	writeJSON(w, http.StatusOK, keyForm(reply.KV))
}

func (r *Region) serveKeys(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	var list core.ListReply
	r.Locked(func() { list = r.State.List(query.Get("prefix")) })
	pageSize, _ := strconv.Atoi(query.Get("page"))
	items, truncated := pageOf(list.Items, query.Get("since"), pageSize)
	writeJSON(w, http.StatusOK, struct {
		Items     []itemForm `json:"items"`
		Truncated bool       `json:"truncated"`
		Epoch     core.Epoch `json:"epoch"`
	}{items, truncated, list.Epoch})
}

// pageOf cuts the page that follows a key out of a sorted list; true when
// there are more keys.
func pageOf(list []core.KV, since string, size int) ([]itemForm, bool) {
	items := []itemForm{}
	for _, kv := range list {
		if kv.Key <= since {
			continue
		}
		if len(items) == size {
			return items, true
		}
		items = append(items, keyForm(kv))
	}
	return items, false
}

// serveWatch answers as soon as there is a change, at the latest after the
// time that the caller asks for.
func (r *Region) serveWatch(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	block, _ := strconv.Atoi(query.Get("blockMs"))
	until := time.Now().Add(time.Duration(block) * time.Millisecond)
	for {
		var changes core.WatchReply
		r.Locked(func() { changes = r.State.Changes(query.Get("prefix"), core.Epoch(since)) })
		if len(changes.Items) > 0 || time.Now().After(until) {
			writeChanges(w, changes)
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-r.ctx.Done():
			return
		case <-time.After(watchPoll):
		}
	}
}

func writeChanges(w http.ResponseWriter, changes core.WatchReply) {
	events := []itemForm{}
	for _, kv := range changes.Items {
		events = append(events, changeForm(kv))
	}
	writeJSON(w, http.StatusOK, struct {
		Epoch  core.Epoch `json:"epoch"`
		Events []itemForm `json:"events"`
	}{changes.Epoch, events})
}
