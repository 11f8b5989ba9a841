package store

import (
	"net/http"
	"reflect"
	"strconv"
	"testing"

	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
	"stairrelay/internal/wire/wiretest"
)

// TestUndecodableResponses checks what each status means with a body that can't be read.
// Only a status that says so makes a transaction count as not applied.
func TestUndecodableResponses(t *testing.T) {
	statuses := []int{200, 400, 404, 409, 410, 429, 500, 503, 504}
	const (
		unknown    = messages.UnknownOutcome
		invalid    = messages.Invalid
		notFound   = messages.NotFound
		compacted  = messages.Compacted
		throttled  = messages.Throttled
		notApplied = messages.NotApplied
	)
	for name, test := range map[string]struct {
		effect messages.Effect
		reply  func(messages.Outcome) any
		want   []messages.Outcome // by status
	}{
		"transaction": {messages.StoreTxn{}, func(o messages.Outcome) any { return messages.TxnReply{Outcome: o} },
			[]messages.Outcome{unknown, invalid, unknown, unknown, unknown, throttled, unknown, notApplied, unknown}},
		"get": {messages.StoreGet{Key: "k"}, func(o messages.Outcome) any { return messages.GetReply{Outcome: o} },
			[]messages.Outcome{unknown, invalid, notFound, unknown, unknown, throttled, unknown, notApplied, unknown}},
		"list": {messages.StoreList{}, func(o messages.Outcome) any { return messages.ListReply{Outcome: o} },
			[]messages.Outcome{unknown, invalid, unknown, unknown, unknown, throttled, unknown, notApplied, unknown}},
		"watch": {messages.StoreWatch{}, func(o messages.Outcome) any { return messages.WatchReply{Outcome: o} },
			[]messages.Outcome{unknown, invalid, unknown, unknown, compacted, throttled, unknown, notApplied, unknown}},
	} {
		for i, status := range statuses {
			t.Run(name+" "+strconv.Itoa(status), func(t *testing.T) {
				respond := func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(status)
					_, _ = w.Write([]byte("<html>"))
				}
				if got, want := execute[any](t, respond, test.effect), test.reply(test.want[i]); !reflect.DeepEqual(got, want) {
					t.Errorf("reply %+v, want %+v", got, want)
				}
			})
		}
	}
}

// TestNoResponse checks that without a response the outcome is unknown, also when the
// connection was refused.
func TestNoResponse(t *testing.T) {
	for name, address := range map[string]string{
		"refused": wiretest.RefusingAddress(t),
		"closed":  wiretest.ClosingAddress(t),
	} {
		for _, test := range []struct {
			effect messages.Effect
			want   any
		}{
			{messages.StoreTxn{}, messages.TxnReply{Outcome: messages.UnknownOutcome}},
			{messages.StoreGet{Key: "k"}, messages.GetReply{Outcome: messages.UnknownOutcome}},
			{messages.StoreList{}, messages.ListReply{Outcome: messages.UnknownOutcome}},
			{messages.StoreWatch{}, messages.WatchReply{Outcome: messages.UnknownOutcome}},
		} {
			got := wiretest.Execute[any](t, func(reply engine.ReplyFunc) { New(address, reply).Do(test.effect) })
			if !reflect.DeepEqual(got, test.want) {
				t.Errorf("%s, %T: reply %+v, want %+v", name, test.effect, got, test.want)
			}
		}
	}
}

// TestInterruptedList checks that a list of which a later page can't be read has the
// outcome of that page and no items: half a list would look like deleted keys.
func TestInterruptedList(t *testing.T) {
	respond := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("since") != "" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte(`{"items":[{"key":"a","value":1,"mark":3}],"truncated":true,"epoch":7}`))
	}
	want := messages.ListReply{Outcome: messages.NotApplied}
	if got := execute[messages.ListReply](t, respond, messages.StoreList{}); !reflect.DeepEqual(got, want) {
		t.Errorf("reply %+v, want %+v", got, want)
	}
}
