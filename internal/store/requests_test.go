package store

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/wire/wiretest"
)

// TestRequests checks the exact method, URI, content type and body of each request to the
// store.
func TestRequests(t *testing.T) {
	txn := messages.StoreTxn{
		If:   []messages.Compare{{Key: "jobs/j-1", ModRevision: 0}},
		Then: []messages.TxnOp{{Key: "jobs/j-1", Value: []byte(`{"a":1}`)}},
	}
	watch := messages.StoreWatch{Prefix: "jobs/", SinceRevision: 431, Timeout: 1500 * cluster.Millisecond}
	wiretest.CheckRequests(t, newExecutor, []wiretest.RequestTest{
		{Name: "transaction", Effect: txn, Want: wiretest.Request{
			Method: "POST", URI: "/multi", ContentType: "application/json",
			Body: `{"then":[{"set":"jobs/j-1","value":{"a":1}}],"when":[{"key":"jobs/j-1","mark":0}]}`,
		}},
		{Name: "get", Effect: messages.StoreGet{Key: "groups/g-1"}, Want: wiretest.Request{Method: "GET", URI: "/keys/groups/g-1"}},
		{Name: "list", Effect: messages.StoreList{Prefix: "jobs/"}, Want: wiretest.Request{Method: "GET", URI: "/keys?page=1000&prefix=jobs%2F"}},
		{Name: "watch", Effect: watch, Want: wiretest.Request{Method: "GET", URI: "/watch?blockMs=1500&prefix=jobs%2F&since=431"}},
	})
}
