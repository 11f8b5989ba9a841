package cloud

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/wire/wiretest"
)

// TestRequests checks the exact method, URI, content type and body of each request to the
// cloud.
func TestRequests(t *testing.T) {
	scaleOut := messages.CloudScaleOut{Name: "n0-b-1", Type: "g8", Zone: "a", Spot: true, Count: 3}
	wiretest.CheckRequests(t, newExecutor, []wiretest.RequestTest{
		{Name: "machine types", Effect: messages.CloudListMachineTypes{}, Want: wiretest.Request{Method: "GET", URI: "/flavors"}},
		{Name: "scale-out", Effect: scaleOut, Want: wiretest.Request{
			Method: "POST", URI: "/rentals", ContentType: "application/json",
			Body: `{"charter":"n0-b-1","count":3,"fleet":"g8","standby":true,"yard":"a"}`,
		}},
		{Name: "scale-in", Effect: messages.CloudScaleIn{IDs: []cluster.MachineID{"m-1", "m-2"}}, Want: wiretest.Request{
			Method: "POST", URI: "/rentals/return", ContentType: "application/json",
			Body: `{"coaches":["m-1","m-2"]}`,
		}},
		{Name: "first page", Effect: messages.CloudListMachines{}, Want: wiretest.Request{Method: "GET", URI: "/rentals?page=500"}},
		{Name: "next page", Effect: messages.CloudListMachines{After: "m-1"}, Want: wiretest.Request{Method: "GET", URI: "/rentals?page=500&since=m-1"}},
	})
}
