package cloud

import (
	"net/http"
	"reflect"
	"strconv"
	"testing"

	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
	"stairrelay/internal/wire"
	"stairrelay/internal/wire/wiretest"
)

// TestUndecodableResponses checks what each status means with a body that can't be read.
// A scale-out or scale-in that may have been carried out never counts as not applied.
func TestUndecodableResponses(t *testing.T) {
	statuses := []int{200, 400, 404, 409, 429, 500, 503, 504}
	const (
		unknown    = messages.UnknownOutcome
		invalid    = messages.Invalid
		throttled  = messages.Throttled
		notApplied = messages.NotApplied
	)
	for name, test := range map[string]struct {
		effect messages.Effect
		reply  func(messages.Outcome) any
		want   []messages.Outcome // by status
	}{
		"machine types": {messages.CloudMachineTypes{}, func(o messages.Outcome) any { return messages.MachineTypesReply{Outcome: o} },
			[]messages.Outcome{unknown, notApplied, notApplied, notApplied, notApplied, notApplied, notApplied, notApplied}},
		"scale-out": {messages.CloudScaleOut{}, func(o messages.Outcome) any { return messages.ScaleOutReply{Outcome: o} },
			[]messages.Outcome{unknown, invalid, unknown, unknown, throttled, unknown, notApplied, unknown}},
		"scale-in": {messages.CloudScaleIn{}, func(o messages.Outcome) any { return messages.ScaleInReply{Outcome: o} },
			[]messages.Outcome{messages.OK, unknown, unknown, unknown, unknown, unknown, unknown, unknown}},
		"list": {messages.CloudList{}, func(o messages.Outcome) any { return messages.CloudListReply{Outcome: o} },
			[]messages.Outcome{unknown, notApplied, notApplied, notApplied, throttled, notApplied, notApplied, notApplied}},
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

// TestNoResponse checks what a missing or an oversized response means: a read can be
// repeated, while a scale-out or scale-in may have been carried out.
func TestNoResponse(t *testing.T) {
	oversized := wiretest.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, wire.MaxResponseSize+1))
	}))
	for name, address := range map[string]string{
		"refused":   wiretest.RefusingAddress(t),
		"closed":    wiretest.ClosingAddress(t),
		"oversized": oversized,
	} {
		for _, test := range []struct {
			effect messages.Effect
			want   any
		}{
			{messages.CloudMachineTypes{}, messages.MachineTypesReply{Outcome: messages.NotApplied}},
			{messages.CloudScaleOut{}, messages.ScaleOutReply{Outcome: messages.UnknownOutcome}},
			{messages.CloudScaleIn{}, messages.ScaleInReply{Outcome: messages.UnknownOutcome}},
			{messages.CloudList{}, messages.CloudListReply{Outcome: messages.NotApplied}},
		} {
			got := wiretest.Execute[any](t, func(reply engine.ReplyFunc) { New(address, reply).Do(test.effect) })
			if !reflect.DeepEqual(got, test.want) {
				t.Errorf("%s, %T: reply %+v, want %+v", name, test.effect, got, test.want)
			}
		}
	}
}
