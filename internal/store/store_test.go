package store

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
	"stairrelay/internal/wire"
	"stairrelay/internal/wire/wiretest"
)

// execute executes an effect on the server at an address and returns the reply.
func execute[T any](t *testing.T, address string, effect messages.Effect) T {
	t.Helper()
	return wiretest.Execute[T](t, func(reply engine.ReplyFunc) { New(address, reply).Do(effect) })
}

// servePages returns a handler that serves a list of three pages and throttles the first
// request for the second one.
func servePages(t *testing.T) http.HandlerFunc {
	t.Helper()
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
			t.Errorf("unexpected request %s", r.URL)
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

// TestListPages checks that a list contains all pages and has the revision of the first
// one, even if a page is throttled.
func TestListPages(t *testing.T) {
	reply := execute[messages.ListReply](t, wiretest.Serve(t, servePages(t)), messages.StoreList{Prefix: "jobs/"})
	var keys []string
	for _, item := range reply.Items {
		keys = append(keys, item.Key)
	}
	if reply.Outcome != messages.OK || strings.Join(keys, "") != "abc" || reply.Revision != 7 || !reply.Paginated {
		t.Errorf("reply %+v, want items a, b and c as of revision 7", reply)
	}
}

// TestOutcomes checks the outcomes of responses. A transaction must not be reported as
// applied if it may have failed.
func TestOutcomes(t *testing.T) {
	for _, test := range []struct {
		effect messages.Effect
		status int
		body   string
		want   string
	}{
		{messages.StoreTxn{}, 200, `{"epoch":4}`, fmt.Sprint(messages.TxnReply{Outcome: messages.OK, Revision: 4})},
		{messages.StoreTxn{}, 200, `{}`, fmt.Sprint(messages.TxnReply{Outcome: messages.UnknownOutcome})},
		{messages.StoreTxn{}, 409, `{"epoch":4,"failed":["k"]}`, fmt.Sprint(messages.TxnReply{Outcome: messages.Conflict, Revision: 4, FailedKeys: []string{"k"}})},
		{messages.StoreTxn{}, 409, `{"epoch":4}`, fmt.Sprint(messages.TxnReply{Outcome: messages.UnknownOutcome})},
		{messages.StoreTxn{}, 400, ``, fmt.Sprint(messages.TxnReply{Outcome: messages.Invalid})},
		{messages.StoreTxn{}, 429, ``, fmt.Sprint(messages.TxnReply{Outcome: messages.Throttled})},
		{messages.StoreTxn{}, 503, ``, fmt.Sprint(messages.TxnReply{Outcome: messages.NotApplied})},
		{messages.StoreTxn{}, 500, ``, fmt.Sprint(messages.TxnReply{Outcome: messages.UnknownOutcome})},
		{messages.StoreGet{Key: "k"}, 404, `{"epoch":4}`, fmt.Sprint(messages.GetReply{Outcome: messages.NotFound})},
		{messages.StoreGet{Key: "k"}, 503, ``, fmt.Sprint(messages.GetReply{Outcome: messages.NotApplied})},
		{messages.StoreGet{Key: "k"}, 200, `{"key":"k"}`, fmt.Sprint(messages.GetReply{Outcome: messages.UnknownOutcome})},
		{messages.StoreList{}, 429, ``, fmt.Sprint(messages.ListReply{Outcome: messages.Throttled})},
		{messages.StoreList{}, 200, `{"items":[]}`, fmt.Sprint(messages.ListReply{Outcome: messages.UnknownOutcome})},
		{messages.StoreWatch{}, 410, `{"epoch":4}`, fmt.Sprint(messages.WatchReply{Outcome: messages.Compacted})},
		{messages.StoreWatch{}, 200, `{"epoch":4,"events":[]}`, fmt.Sprint(messages.WatchReply{Outcome: messages.OK, Revision: 4})},
		{messages.StoreWatch{}, 200, `{"events":[]}`, fmt.Sprint(messages.WatchReply{Outcome: messages.UnknownOutcome})},
	} {
		if got := fmt.Sprint(execute[any](t, wiretest.ServeStatus(t, test.status, test.body), test.effect)); got != test.want {
			t.Errorf("%T, response %d %s: got %s, want %s", test.effect, test.status, test.body, got, test.want)
		}
	}
}

// TestWatchTooLarge checks that the outcome of a watch, but not of a list, is Compacted if
// the response is too large. With UnknownOutcome, the watch would be retried forever.
func TestWatchTooLarge(t *testing.T) {
	respond := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"epoch":4,"events":[`))
		_, _ = w.Write(make([]byte, wire.MaxResponseSize))
	}
	if reply := execute[messages.WatchReply](t, wiretest.Serve(t, http.HandlerFunc(respond)), messages.StoreWatch{}); reply.Outcome != messages.Compacted {
		t.Errorf("reply %+v, want outcome Compacted", reply)
	}
	if reply := execute[messages.ListReply](t, wiretest.Serve(t, http.HandlerFunc(respond)), messages.StoreList{}); reply.Outcome != messages.UnknownOutcome {
		t.Errorf("list of the same size: outcome %+v, want UnknownOutcome", reply.Outcome)
	}
}
