package simulation

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// scaleOutTimeout is how long a controller waits for a reply to a scale-out
// that was lost.
const scaleOutTimeout = 4 * second

// CloudAPI carries the controllers' calls to the cloud, and injects the faults
// of that way.
type CloudAPI struct {
	*environment
	// DownUntil is when an outage of the cloud's interface ends.
	DownUntil cluster.Time
	cloud     *FakeCloud
	network   *Network
	machines  *Machines
}

func (c *CloudAPI) isDown() bool { return c.Now < c.DownUntil }

func (c *CloudAPI) listMachineTypes(call pendingCall) {
	reply := messages.ListMachineTypesReply{Outcome: messages.OK, Types: c.cloud.MachineTypes}
	if c.isDown() {
		reply = messages.ListMachineTypesReply{Outcome: messages.NotApplied}
	}
	call.replyAfter(c.network.delay(), reply)
}

// scaleOut provisions machines. Now and then it does so late, and the reply is
// lost.
func (c *CloudAPI) scaleOut(call pendingCall, request messages.CloudScaleOut) {
	switch {
	case c.isDown():
		call.replyAfter(c.network.delay(), messages.ScaleOutReply{Outcome: messages.NotApplied})
	case c.Chance(0.05):
		c.After(c.RandomBetween(second, 30*second), func() { c.cloud.ScaleOut(c.Now, request) })
		call.replyAfter(scaleOutTimeout, messages.ScaleOutReply{Outcome: messages.UnknownOutcome})
	default:
		// The delay is drawn before the machines' boot durations are.
		delay := c.network.delay()
		call.replyAfter(delay, c.cloud.ScaleOut(c.Now, request))
	}
}

func (c *CloudAPI) scaleIn(call pendingCall, request messages.CloudScaleIn) {
	if c.isDown() {
		call.replyAfter(c.network.delay(), messages.ScaleInReply{Outcome: messages.UnknownOutcome})
		return
	}
	for _, id := range request.IDs {
		c.machines.Remove(id)
	}
	call.replyAfter(c.network.delay(), messages.ScaleInReply{Outcome: messages.OK})
}

// listMachines replies with the list as it is now, which is some time old when
// the controller gets it.
func (c *CloudAPI) listMachines(call pendingCall, request messages.CloudListMachines) {
	if c.isDown() {
		call.replyAfter(c.network.delay(), messages.ListMachinesReply{Outcome: messages.NotApplied})
		return
	}
	items, more := c.cloud.ListPage(c.Now, request.After)
	call.replyAfter(c.config.CloudListLag/2, messages.ListMachinesReply{Outcome: messages.OK, Items: items, More: more})
}
