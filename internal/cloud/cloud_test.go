package cloud

import (
	"fmt"
	"net/http"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
	"stairrelay/internal/wire/wiretest"
)

// execute executes an effect on the server at an address and returns the reply.
func execute[T any](t *testing.T, address string, effect messages.Effect) T {
	t.Helper()
	return wiretest.Execute[T](t, func(reply engine.ReplyFunc) { New(address, reply).Do(effect) })
}

// TestListPages checks that each page of the machine list is requested after the last
// machine of the previous page, and that the reply reports whether there is another.
func TestListPages(t *testing.T) {
	pages := map[string]string{
		"":    `{"coaches":[{"id":"m-1"}],"truncated":true}`,
		"m-1": `{"coaches":[{"id":"m-2"}],"truncated":true}`,
		"m-2": `{"coaches":[{"id":"m-3"}],"truncated":false}`,
	}
	serve := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/rentals" || r.URL.Query().Get("page") != "500" {
			t.Errorf("unexpected request %s", r.URL)
		}
		_, _ = w.Write([]byte(pages[r.URL.Query().Get("since")]))
	}
	for _, page := range []struct {
		after, want cluster.MachineID
		more        bool
	}{{"", "m-1", true}, {"m-1", "m-2", true}, {"m-2", "m-3", false}} {
		reply := execute[messages.ListMachinesReply](t, wiretest.Serve(t, http.HandlerFunc(serve)), messages.CloudListMachines{After: page.after})
		if reply.Outcome != messages.OK || len(reply.Items) != 1 || reply.Items[0].ID != page.want || reply.More != page.more {
			t.Errorf("page after %q: %+v", page.after, reply)
		}
	}
}

// TestOutcomes checks the outcomes of responses. In particular, a lack of capacity must not
// be mistaken for an outage of the cloud.
func TestOutcomes(t *testing.T) {
	for _, test := range []struct {
		effect messages.Effect
		status int
		body   string
		want   string
	}{
		{messages.CloudScaleOut{}, 200, `{"coaches":["m-1"]}`, fmt.Sprint(messages.ScaleOutReply{Outcome: messages.OK, IDs: []cluster.MachineID{"m-1"}})},
		{messages.CloudScaleOut{}, 200, `{}`, fmt.Sprint(messages.ScaleOutReply{Outcome: messages.UnknownOutcome})},
		{messages.CloudScaleOut{}, 503, `{"error":"no capacity"}`, fmt.Sprint(messages.ScaleOutReply{Outcome: messages.NotFound})},
		{messages.CloudScaleOut{}, 503, `{"error":"trouble"}`, fmt.Sprint(messages.ScaleOutReply{Outcome: messages.NotApplied})},
		{messages.CloudScaleOut{}, 503, ``, fmt.Sprint(messages.ScaleOutReply{Outcome: messages.NotApplied})},
		{messages.CloudScaleOut{}, 400, ``, fmt.Sprint(messages.ScaleOutReply{Outcome: messages.Invalid})},
		{messages.CloudScaleOut{}, 429, ``, fmt.Sprint(messages.ScaleOutReply{Outcome: messages.Throttled})},
		{messages.CloudScaleOut{}, 500, ``, fmt.Sprint(messages.ScaleOutReply{Outcome: messages.UnknownOutcome})},
		{messages.CloudScaleIn{}, 200, `{}`, fmt.Sprint(messages.ScaleInReply{Outcome: messages.OK})},
		{messages.CloudScaleIn{}, 503, ``, fmt.Sprint(messages.ScaleInReply{Outcome: messages.UnknownOutcome})},
		{messages.CloudListMachineTypes{}, 503, ``, fmt.Sprint(messages.ListMachineTypesReply{Outcome: messages.NotApplied})},
		{messages.CloudListMachineTypes{}, 200, `{"fleets":[{"name":"x","vcpus":0}]}`, fmt.Sprint(messages.ListMachineTypesReply{Outcome: messages.UnknownOutcome})},
		{messages.CloudListMachines{}, 429, ``, fmt.Sprint(messages.ListMachinesReply{Outcome: messages.Throttled})},
		{messages.CloudListMachines{}, 503, ``, fmt.Sprint(messages.ListMachinesReply{Outcome: messages.NotApplied})},
		{messages.CloudListMachines{}, 200, `[]`, fmt.Sprint(messages.ListMachinesReply{Outcome: messages.UnknownOutcome})},
	} {
		if got := fmt.Sprint(execute[any](t, wiretest.ServeStatus(t, test.status, test.body), test.effect)); got != test.want {
			t.Errorf("%T, response %d %s: got %s, want %s", test.effect, test.status, test.body, got, test.want)
		}
	}
}
