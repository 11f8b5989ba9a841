package provisioning

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/inventory"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// completionRetryDelay is the wait after the state service has not shown whether a
// request is settled.
const completionRetryDelay = second

// completion settles an answered request: its machines are recorded and the request is
// deleted in one transaction, so that no crash between the two can lose a machine.
type completion struct {
	requests *Requests
	shard    *state.Shard
	request  *state.ProvisioningRequest
	claim    cluster.Revision
	machines []cluster.MachineID
	group    *inventory.NewGroup
}

// complete settles a request to which the cloud has granted machines, or none.
func (r *Requests) complete(shard *state.Shard, request *state.ProvisioningRequest, ids []cluster.MachineID) {
	groupID := request.GroupID
	if groupID == "" { // of an earlier claim, whose late copies the present one has fenced off
		groupID = r.deps.Names.NextGroup(shard)
	}
	c := &completion{
		requests: r,
		shard:    shard,
		request:  request,
		claim:    shard.ClaimRevision,
		machines: ids,
		group:    &inventory.NewGroup{ID: groupID, Shard: shard, Machines: bootingMachines(request.Option, ids)},
	}
	c.enqueue()
}

// bootingMachines lists granted machines as their first record does.
func bootingMachines(option state.ProvisioningOption, ids []cluster.MachineID) []grouprecord.Machine {
	kind := grouprecord.Kind{Type: option.Type, Zone: option.Zone, Spot: option.Spot}
	machines := make([]grouprecord.Machine, 0, len(ids))
	for _, id := range ids {
		machines = append(machines, grouprecord.Machine{ID: id, Kind: kind, Booting: true})
	}
	return machines
}

func (c *completion) enqueue() {
	key := requestKey(c.request.Name)
	keys, priority := []string{key}, writequeue.PriorityBackground
	if c.createsGroup() {
		keys = append(keys, state.GroupKey(c.group.ID))
	}
	if len(c.machines) > 0 {
		priority = writequeue.PriorityScaleOut
	}
	c.requests.queue.Enqueue(priority, &writequeue.Write{
		ShardID:   c.shard.ID,
		Keys:      keys,
		Build:     c.build,
		OnApplied: c.handleApplied,
		// Where only the request is deleted no write id tells whether an earlier sending
		// was carried out; that the key is gone does.
		OnConflict: func() { c.requests.queue.ReadKey(key, c.handleConflict) },
	})
}

// createsGroup tells whether the record of a group is written. A refused request has no
// machines, but where a late copy of its creation may come the key of its group has to
// be there all the same, with nothing listed.
func (c *completion) createsGroup() bool { return len(c.machines) > 0 || c.request.CreateInDoubt }

func (c *completion) build(writeID string) ([]messages.TxnOp, []cluster.ModRevision) {
	operations := []messages.TxnOp{{Key: requestKey(c.request.Name), Value: nil}}
	modRevisions := []cluster.ModRevision{c.request.ModRevision}
	if c.createsGroup() {
		operation, modRevision := c.group.Operation(writeID)
		operations, modRevisions = append(operations, operation), append(modRevisions, modRevision)
	}
	return operations, modRevisions
}

func (c *completion) handleApplied(revision cluster.Revision) {
	if !c.shard.IsOwnedUnder(c.claim) {
		return
	}
	delete(c.shard.ProvisioningRequests, c.request.Name)
	if len(c.machines) > 0 {
		c.requests.deps.Records.AddNewGroup(c.group, revision)
	}
}

// handleConflict is called with the record of the request after a conflict.
func (c *completion) handleConflict(reply messages.GetReply) {
	switch {
	case !c.shard.IsOwnedUnder(c.claim):
	case reply.Outcome == messages.NotFound && len(c.machines) == 0:
		delete(c.shard.ProvisioningRequests, c.request.Name)
	case reply.Outcome == messages.OK || reply.Outcome == messages.NotFound:
		c.requests.deps.Ownership.HandleForeignWrite(c.shard, requestKey(c.request.Name), "settled by another writer")
	default:
		c.requests.loop.After(completionRetryDelay, c.retry)
	}
}

func (c *completion) retry() {
	if c.shard.IsProvisioningCurrent(c.request) {
		c.requests.complete(c.shard, c.request, c.machines)
	}
}
