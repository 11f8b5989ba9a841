package wire

import (
	"testing"

	"stairrelay/internal/core"
)

// TestForms: what is sent stays byte for byte the same from release to release.
func TestForms(t *testing.T) {
	rental := core.CloudRent{Name: "n0-b-1", Type: "g8", Zone: "a<b", Spot: true, Count: 3}
	txn := core.StoreTxn{
		When: []core.Cond{{Key: "jobs/j-1", Mark: 0}, {Key: "parts/0", Mark: 7}},
		Then: []core.TxnOp{{Key: "jobs/j-1", Value: []byte(`{"a": 1}`)}, {Key: "groups/g"}},
	}
	orders := core.Orders{
		Token:    41,
		Session:  2,
		Commands: []core.Command{{Verb: core.Stop, Task: core.TaskID{Job: "j-1", Index: 3}, Attempt: 9}},
	}
	for name, form := range map[string]struct {
		sent []byte
		want string
	}{
		"rental":             {EncodeRental(rental), `{"charter":"n0-b-1","count":3,"fleet":"g8","standby":true,"yard":"a\u003cb"}`},
		"return":             {EncodeReturn([]core.MachineID{"m-1", "m-2"}), `{"coaches":["m-1","m-2"]}`},
		"return of nothing":  {EncodeReturn(nil), `{"coaches":null}`},
		"transaction":        {EncodeTxn(txn), `{"then":[{"set":"jobs/j-1","value":{"a":1}},{"drop":"groups/g"}],"when":[{"key":"jobs/j-1","mark":0},{"key":"parts/0","mark":7}]}`},
		"empty transaction":  {EncodeTxn(core.StoreTxn{}), `{"then":[],"when":[]}`},
		"orders":             {EncodeOrders(orders), `{"baton":41,"shift":2,"dispatches":[{"verb":"halt","leg":"j-1/3","boarding":9,"layoverS":0}]}`},
		"view":               {EncodeView(core.JobView{ID: "j-1", Status: core.StRunning, Done: 1, Running: 2}), `{"id":"j-1","status":"running","done":1,"running":2}`},
		"answer, no command": {EncodeWorkerAnswer(200, core.WorkerAnswer{Token: 5}), `{"baton":5,"dispatches":[]}`},
	} {
		if got := string(form.sent); got != form.want {
			t.Errorf("%s: sent %s, want %s", name, got, form.want)
		}
	}
}
