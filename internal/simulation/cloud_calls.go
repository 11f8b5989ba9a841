package simulation

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// scaleOutTimeout is how long a controller waits for the reply to a scale-out.
const scaleOutTimeout = 4 * second

// CloudAPI delivers the controllers' calls to the cloud and injects faults into
// them.
type CloudAPI struct {
	*environment
	// DownUntil is when the outage of the cloud API ends.
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

// scaleOut provisions machines unless the cloud API is down. Some requests are executed
// late and their replies are lost.
func (c *CloudAPI) scaleOut(call pendingCall, request messages.CloudScaleOut) {
	switch {
	case c.isDown():
		call.replyAfter(c.network.delay(), messages.ScaleOutReply{Outcome: messages.NotApplied})
	case c.Chance(0.05):
		c.After(c.RandomBetween(second, 30*second), func() { c.cloud.ScaleOut(c.Now, request) })
		call.replyAfter(scaleOutTimeout, messages.ScaleOutReply{Outcome: messages.UnknownOutcome})
	default:
		// Draw the delay before the boot durations, so that runs stay reproducible.
		delay := c.network.delay()
		reply := c.cloud.ScaleOut(c.Now, request)
		if reply.Outcome == messages.OK {
			c.repeat(func() { c.cloud.ScaleOut(c.Now, request) })
		}
		call.replyAfter(delay, reply)
	}
}

// repeat executes a call that was already executed a second time.
func (c *CloudAPI) repeat(execute func()) {
	c.network.repeat(c.network.RepeatChance, func() {
		c.FaultCounts[FaultRepeatedCloudCall]++
		execute()
	})
}

func (c *CloudAPI) scaleIn(call pendingCall, request messages.CloudScaleIn) {
	if c.isDown() {
		call.replyAfter(c.network.delay(), messages.ScaleInReply{Outcome: messages.UnknownOutcome})
		return
	}
	remove := func() {
		for _, id := range request.IDs {
			c.machines.Remove(id)
		}
	}
	remove()
	c.repeat(remove)
	call.replyAfter(c.network.delay(), messages.ScaleInReply{Outcome: messages.OK})
}

// listMachines takes a page of the current list and delivers it after half of the list
// lag, so that the controller gets a stale list.
func (c *CloudAPI) listMachines(call pendingCall, request messages.CloudListMachines) {
	if c.isDown() {
		call.replyAfter(c.network.delay(), messages.ListMachinesReply{Outcome: messages.NotApplied})
		return
	}
	items, more := c.cloud.ListPage(c.Now, request.After)
	call.replyAfter(c.config.CloudListLag/2, messages.ListMachinesReply{Outcome: messages.OK, Items: items, More: more})
}
