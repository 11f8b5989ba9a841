package store

import (
	"net/http"
	"reflect"
	"testing"

	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
	"stairrelay/internal/wire/wiretest"
)

func newExecutor(address string, reply engine.ReplyFunc) func(messages.Effect) {
	return New(address, reply).Do
}

// TestUndecodableResponses checks the outcome of each status with a body that can't be
// decoded. A transaction that may have been applied must not be reported as NotApplied.
func TestUndecodableResponses(t *testing.T) {
	const (
		unknown    = messages.UnknownOutcome
		invalid    = messages.Invalid
		notFound   = messages.NotFound
		compacted  = messages.Compacted
		throttled  = messages.Throttled
		notApplied = messages.NotApplied
	)
	wiretest.CheckStatuses(t, newExecutor, []wiretest.StatusTest{
		{
			Name:   "transaction",
			Effect: messages.StoreTxn{},
			Reply:  func(outcome messages.Outcome) any { return messages.TxnReply{Outcome: outcome} },
			Want: map[int]messages.Outcome{
				200: unknown, 400: invalid, 404: unknown, 409: unknown, 410: unknown, 429: throttled, 500: unknown, 503: notApplied, 504: unknown,
			},
		},
		{
			Name:   "get",
			Effect: messages.StoreGet{Key: "k"},
			Reply:  func(outcome messages.Outcome) any { return messages.GetReply{Outcome: outcome} },
			Want: map[int]messages.Outcome{
				200: unknown, 400: invalid, 404: notFound, 409: unknown, 410: unknown, 429: throttled, 500: unknown, 503: notApplied, 504: unknown,
			},
		},
		{
			Name:   "list",
			Effect: messages.StoreList{},
			Reply:  func(outcome messages.Outcome) any { return messages.ListReply{Outcome: outcome} },
			Want: map[int]messages.Outcome{
				200: unknown, 400: invalid, 404: unknown, 409: unknown, 410: unknown, 429: throttled, 500: unknown, 503: notApplied, 504: unknown,
			},
		},
		{
			Name:   "watch",
			Effect: messages.StoreWatch{},
			Reply:  func(outcome messages.Outcome) any { return messages.WatchReply{Outcome: outcome} },
			Want: map[int]messages.Outcome{
				200: unknown, 400: invalid, 404: unknown, 409: unknown, 410: compacted, 429: throttled, 500: unknown, 503: notApplied, 504: unknown,
			},
		},
	})
}

// TestNoResponse checks that the outcome is unknown if there is no response, even if the
// connection was refused.
func TestNoResponse(t *testing.T) {
	for name, address := range map[string]string{
		"refused": wiretest.UnusedAddress(t),
		"closed":  wiretest.ServeAbort(t),
	} {
		t.Run(name, func(t *testing.T) {
			wiretest.CheckReplies(t, newExecutor, address, []wiretest.ReplyTest{
				{Effect: messages.StoreTxn{}, Want: messages.TxnReply{Outcome: messages.UnknownOutcome}},
				{Effect: messages.StoreGet{Key: "k"}, Want: messages.GetReply{Outcome: messages.UnknownOutcome}},
				{Effect: messages.StoreList{}, Want: messages.ListReply{Outcome: messages.UnknownOutcome}},
				{Effect: messages.StoreWatch{}, Want: messages.WatchReply{Outcome: messages.UnknownOutcome}},
			})
		})
	}
}

// TestInterruptedList checks that the reply has no items if a later page can't be read. The
// keys missing from an incomplete list would be taken for deleted.
func TestInterruptedList(t *testing.T) {
	respond := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("since") != "" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte(`{"items":[{"key":"a","value":1,"mark":3}],"truncated":true,"epoch":7}`))
	}
	want := messages.ListReply{Outcome: messages.NotApplied}
	if got := execute[messages.ListReply](t, wiretest.Serve(t, http.HandlerFunc(respond)), messages.StoreList{}); !reflect.DeepEqual(got, want) {
		t.Errorf("reply %+v, want %+v", got, want)
	}
}
