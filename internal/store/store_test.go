package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"stairrelay/internal/core"
	"stairrelay/internal/wire"
)

// ask carries out an effect against a server and returns its reply.
func execute(t *testing.T, handler http.HandlerFunc, effect core.Effect) any {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	replies := make(chan any, 1)
	store := New(strings.TrimPrefix(server.URL, "http://"), func(_ core.CallID, body any) { replies <- body })
	store.Do(effect)
	select {
	case reply := <-replies:
		return reply
	case <-time.After(10 * time.Second):
		t.Fatal("no reply")
		return nil
	}
}

// pages serves a list in three pages, the second of which is throttled once.
func servePages(t *testing.T) http.HandlerFunc {
	throttled := false
	next := map[string]struct {
		key       string
		truncated bool
		epoch     int
	}{
		"":  {"a", true, 7},
		"a": {"b", true, 8},
		"b": {"c", false, 9},
	}
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/keys" || r.URL.Query().Get("prefix") != "jobs/" || r.URL.Query().Get("page") != "1000" {
			t.Errorf("asked for %s", r.URL)
		}
		since := r.URL.Query().Get("since")
		if since == "a" && !throttled {
			throttled = true
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		page := next[since]
		_ = json.NewEncoder(w).Encode(map[string]any{
			"items":     []map[string]any{{"key": page.key, "value": 1, "mark": 3}},
			"truncated": page.truncated,
			"epoch":     page.epoch,
		})
	}
}

// TestListPages: a list holds all pages as of the first one's epoch, also when
// the request limit is met on the way.
func TestListPages(t *testing.T) {
	reply := execute(t, servePages(t), core.StoreList{Prefix: "jobs/"}).(core.ListReply)
	var keys []string
	for _, item := range reply.Items {
		keys = append(keys, item.Key)
	}
	if reply.Outcome != core.OK || strings.Join(keys, "") != "abc" || reply.Revision != 7 || !reply.Paginated {
		t.Errorf("read %+v", reply)
	}
}

// TestOutcomes: what each status means; nothing is taken for done that may not be.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		effect core.Effect
		status int
		body   string
		want   string
	}{
		{core.StoreTxn{}, 200, `{"epoch":4}`, fmt.Sprint(core.TxnReply{Outcome: core.OK, Revision: 4})},
		{core.StoreTxn{}, 200, `{}`, fmt.Sprint(core.TxnReply{Outcome: core.UnknownOutcome})},
		{core.StoreTxn{}, 409, `{"epoch":4,"failed":["k"]}`, fmt.Sprint(core.TxnReply{Outcome: core.Conflict, Revision: 4, FailedKeys: []string{"k"}})},
		{core.StoreTxn{}, 409, `{"epoch":4}`, fmt.Sprint(core.TxnReply{Outcome: core.UnknownOutcome})},
		{core.StoreTxn{}, 400, ``, fmt.Sprint(core.TxnReply{Outcome: core.Invalid})},
		{core.StoreTxn{}, 429, ``, fmt.Sprint(core.TxnReply{Outcome: core.Throttled})},
		{core.StoreTxn{}, 503, ``, fmt.Sprint(core.TxnReply{Outcome: core.NotApplied})},
		{core.StoreTxn{}, 500, ``, fmt.Sprint(core.TxnReply{Outcome: core.UnknownOutcome})},
		{core.StoreGet{Key: "k"}, 404, `{"epoch":4}`, fmt.Sprint(core.GetReply{Outcome: core.NotFound})},
		{core.StoreGet{Key: "k"}, 503, ``, fmt.Sprint(core.GetReply{Outcome: core.NotApplied})},
		{core.StoreGet{Key: "k"}, 200, `{"key":"k"}`, fmt.Sprint(core.GetReply{Outcome: core.UnknownOutcome})},
		{core.StoreList{}, 429, ``, fmt.Sprint(core.ListReply{Outcome: core.Throttled})},
		{core.StoreList{}, 200, `{"items":[]}`, fmt.Sprint(core.ListReply{Outcome: core.UnknownOutcome})},
		{core.StoreWatch{}, 410, `{"epoch":4}`, fmt.Sprint(core.WatchReply{Outcome: core.Compacted})},
		{core.StoreWatch{}, 200, `{"epoch":4,"events":[]}`, fmt.Sprint(core.WatchReply{Outcome: core.OK, Revision: 4})},
		{core.StoreWatch{}, 200, `{"events":[]}`, fmt.Sprint(core.WatchReply{Outcome: core.UnknownOutcome})},
	} {
		answer := func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}
		if got := fmt.Sprint(execute(t, answer, c.effect)); got != c.want {
			t.Errorf("%T answered %d %s: got %s, want %s", c.effect, c.status, c.body, got, c.want)
		}
	}
}

// TestWatchTooLarge: an answer to a watch may be of any size. One that is larger
// than is read sends the reader to the keys themselves, which come by pages; cut
// off and given up as unreadable, it would be asked for again for ever.
func TestWatchTooLarge(t *testing.T) {
	answer := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"epoch":4,"events":[`))
		_, _ = w.Write(make([]byte, wire.MaxResponseSize))
	}
	if reply := execute(t, answer, core.StoreWatch{}).(core.WatchReply); reply.Outcome != core.Compacted {
		t.Errorf("read as %+v", reply)
	}
	if reply := execute(t, answer, core.StoreList{}).(core.ListReply); reply.Outcome != core.UnknownOutcome {
		t.Errorf("a list of that size was read as %+v", reply.Outcome)
	}
}
