package provisioning

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/inventory"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// completionRetryDelay is the delay before a completion is retried after a conflict if the
// request's record could not be read to find out the cause.
const completionRetryDelay = second

// completion completes an answered request. One transaction stores the granted machines
// and deletes the request, so that a crash between two writes can't lose a machine.
type completion struct {
	requests      *Requests
	shard         *state.Shard
	request       *state.ProvisioningRequest
	claimRevision cluster.Revision
	machines      []cluster.MachineID
	group         *inventory.NewGroup
}

// complete enqueues the transaction that stores the machines that the cloud granted for a
// request, if any, and deletes the request.
func (r *Requests) complete(shard *state.Shard, request *state.ProvisioningRequest, ids []cluster.MachineID) {
	groupID := request.GroupID
	if groupID == "" {
		// The request was created under an earlier claim. Late copies of the write that
		// created it fail under the current claim, so a new group ID is safe.
		groupID = r.deps.Names.NextGroup(shard)
	}
	c := &completion{
		requests:      r,
		shard:         shard,
		request:       request,
		claimRevision: shard.ClaimRevision,
		machines:      ids,
		group:         &inventory.NewGroup{ID: groupID, Shard: shard, Machines: bootingMachines(request.Option, ids)},
	}
	c.enqueue()
}

// bootingMachines returns the entries of granted machines in the first record of their
// group.
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
		// If the transaction only deletes the request, no write ID shows whether an
		// earlier attempt was applied, but the absence of the key does.
		OnConflict: func() { c.requests.queue.ReadKey(key, c.handleConflict) },
	})
}

// createsGroup reports whether the transaction creates the record of a group. If no
// machines were granted, an empty group is stored only while a late copy of the write that
// created the request may still arrive. The copy requires the key of the group to be
// absent, so it fails and can't create the request again.
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
	if !c.shard.IsOwnedUnder(c.claimRevision) {
		return
	}
	delete(c.shard.ProvisioningRequests, c.request.Name)
	if len(c.machines) > 0 {
		c.requests.deps.Records.AddNewGroup(c.group, revision)
	}
}

// handleConflict handles the reply to the read of the request's key after a conflict. The
// completion was applied if it stores no machines and the key is absent. Otherwise another
// writer has changed or deleted the request, or the read has failed and the completion is
// retried.
func (c *completion) handleConflict(reply messages.GetReply) {
	switch {
	case !c.shard.IsOwnedUnder(c.claimRevision):
	case reply.Outcome == messages.NotFound && len(c.machines) == 0:
		delete(c.shard.ProvisioningRequests, c.request.Name)
	case reply.Outcome == messages.OK || reply.Outcome == messages.NotFound:
		c.requests.deps.Ownership.HandleForeignWrite(c.shard, requestKey(c.request.Name), "request was completed by another writer")
	default:
		c.requests.loop.After(completionRetryDelay, c.retry)
	}
}

func (c *completion) retry() {
	if c.shard.IsProvisioningCurrent(c.request) {
		c.requests.complete(c.shard, c.request, c.machines)
	}
}
