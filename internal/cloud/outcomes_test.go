package cloud

import (
	"net/http"
	"testing"

	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
	"stairrelay/internal/wire"
	"stairrelay/internal/wire/wiretest"
)

func newExecutor(address string, reply engine.ReplyFunc) func(messages.Effect) {
	return New(address, reply).Do
}

// TestUndecodableResponses checks the outcome of each status with a body that can't be
// decoded. A change that may have been applied must not be reported as NotApplied.
func TestUndecodableResponses(t *testing.T) {
	const (
		ok         = messages.OK
		unknown    = messages.UnknownOutcome
		invalid    = messages.Invalid
		throttled  = messages.Throttled
		notApplied = messages.NotApplied
	)
	wiretest.CheckStatuses(t, newExecutor, []wiretest.StatusTest{
		{
			Name:   "machine types",
			Effect: messages.CloudListMachineTypes{},
			Reply:  func(outcome messages.Outcome) any { return messages.ListMachineTypesReply{Outcome: outcome} },
			Want: map[int]messages.Outcome{
				200: unknown, 400: notApplied, 404: notApplied, 409: notApplied, 429: notApplied, 500: notApplied, 503: notApplied, 504: notApplied,
			},
		},
		{
			Name:   "scale-out",
			Effect: messages.CloudScaleOut{},
			Reply:  func(outcome messages.Outcome) any { return messages.ScaleOutReply{Outcome: outcome} },
			Want: map[int]messages.Outcome{
				200: unknown, 400: invalid, 404: unknown, 409: unknown, 429: throttled, 500: unknown, 503: notApplied, 504: unknown,
			},
		},
		{
			Name:   "scale-in",
			Effect: messages.CloudScaleIn{},
			Reply:  func(outcome messages.Outcome) any { return messages.ScaleInReply{Outcome: outcome} },
			Want: map[int]messages.Outcome{
				200: ok, 400: unknown, 404: unknown, 409: unknown, 429: unknown, 500: unknown, 503: unknown, 504: unknown,
			},
		},
		{
			Name:   "list",
			Effect: messages.CloudListMachines{},
			Reply:  func(outcome messages.Outcome) any { return messages.ListMachinesReply{Outcome: outcome} },
			Want: map[int]messages.Outcome{
				200: unknown, 400: notApplied, 404: notApplied, 409: notApplied, 429: throttled, 500: notApplied, 503: notApplied, 504: notApplied,
			},
		},
	})
}

// TestNoResponse checks that after a missing or oversized response a read can be retried,
// and that the outcome of a scale-out or scale-in is unknown.
func TestNoResponse(t *testing.T) {
	oversized := wiretest.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, wire.MaxResponseSize+1))
	}))
	for name, address := range map[string]string{
		"refused":   wiretest.UnusedAddress(t),
		"closed":    wiretest.ServeAbort(t),
		"oversized": oversized,
	} {
		t.Run(name, func(t *testing.T) {
			wiretest.CheckReplies(t, newExecutor, address, []wiretest.ReplyTest{
				{Effect: messages.CloudListMachineTypes{}, Want: messages.ListMachineTypesReply{Outcome: messages.NotApplied}},
				{Effect: messages.CloudScaleOut{}, Want: messages.ScaleOutReply{Outcome: messages.UnknownOutcome}},
				{Effect: messages.CloudScaleIn{}, Want: messages.ScaleInReply{Outcome: messages.UnknownOutcome}},
				{Effect: messages.CloudListMachines{}, Want: messages.ListMachinesReply{Outcome: messages.NotApplied}},
			})
		})
	}
}
