package wire

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// TestEncodedPayloads checks the exact encoding of requests and responses, which must not
// change between versions.
func TestEncodedPayloads(t *testing.T) {
	scaleOut := messages.CloudScaleOut{Name: "n0-b-1", Type: "g8", Zone: "a<b", Spot: true, Count: 3}
	txn := messages.StoreTxn{
		If:   []messages.Compare{{Key: "jobs/j-1", ModRevision: 0}, {Key: "parts/0", ModRevision: 7}},
		Then: []messages.TxnOp{{Key: "jobs/j-1", Value: []byte(`{"a": 1}`)}, {Key: "groups/g"}},
	}
	push := messages.PushCommands{
		FencingToken: 41,
		Incarnation:  2,
		Commands:     []cluster.Command{{Kind: cluster.Stop, Task: cluster.TaskID{Job: "j-1", Index: 3}, Attempt: 9}},
	}
	for name, test := range map[string]struct {
		encoded []byte
		want    string
	}{
		"scale-out":             {EncodeScaleOut(scaleOut), `{"charter":"n0-b-1","count":3,"fleet":"g8","standby":true,"yard":"a\u003cb"}`},
		"scale-in":              {EncodeScaleIn([]cluster.MachineID{"m-1", "m-2"}), `{"coaches":["m-1","m-2"]}`},
		"empty scale-in":        {EncodeScaleIn(nil), `{"coaches":null}`},
		"transaction":           {EncodeTxn(txn), `{"then":[{"set":"jobs/j-1","value":{"a":1}},{"drop":"groups/g"}],"when":[{"key":"jobs/j-1","mark":0},{"key":"parts/0","mark":7}]}`},
		"empty transaction":     {EncodeTxn(messages.StoreTxn{}), `{"then":[],"when":[]}`},
		"pushed commands":       {EncodePushCommands(push), `{"baton":41,"shift":2,"dispatches":[{"verb":"halt","leg":"j-1/3","boarding":9,"layoverS":0}]}`},
		"job view":              {EncodeJobView(cluster.JobView{ID: "j-1", Status: cluster.JobRunning, Done: 1, Running: 2}), `{"id":"j-1","status":"running","done":1,"running":2}`},
		"response, no commands": {EncodeHeartbeatResponse(200, messages.HeartbeatResponse{FencingToken: 5}), `{"baton":5,"dispatches":[]}`},
	} {
		if got := string(test.encoded); got != test.want {
			t.Errorf("%s: encoded %s, want %s", name, got, test.want)
		}
	}
}
