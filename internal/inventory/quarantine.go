package inventory

import (
	"maps"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// An invalid group record is quarantined. The tasks on its machines are unknown, and
// starting them on other machines could run a task twice, so the shard starts no tasks. To
// repair the shard, the machines that no readable record lists are terminated, which stops
// their tasks. Then the quarantined records are deleted and the shard is loaded again.
// Until then, users' requests about jobs of the shard are answered from the store.

// quarantineRecord quarantines an invalid group record, and drops the group if part of the
// record was already loaded.
func (inv *Inventory) quarantineRecord(shard *state.Shard, item messages.KV, reason error) {
	inv.loop.Log(messages.LogInfo, "invalid group record quarantined; its shard starts no tasks until the shard is repaired", "key", item.Key, "error", reason.Error())
	if shard.QuarantinedGroups == nil {
		shard.QuarantinedGroups = map[string]cluster.ModRevision{}
	}
	shard.QuarantinedGroups[item.Key] = item.ModRevision
	if group := inv.state.Groups[groupID(item.Key)]; group != nil {
		inv.dropGroup(group, cluster.NoShard)
	}
}

const (
	// cloudListMargin is a safety margin on the lag of the cloud's list.
	cloudListMargin = 3 * second
	// cloudRetryDelay is the delay before a retry after a failed call to the cloud.
	cloudRetryDelay = 2 * second
	// listRetryDelay is the delay before a retry after a failed read of the records.
	listRetryDelay = second
)

// quarantineRepair repairs a shard that has quarantined records. The repair is abandoned if
// the shard is no longer owned under the claim with the revision claimRevision.
type quarantineRepair struct {
	inventory     *Inventory
	shard         *state.Shard
	claimRevision cluster.Revision
}

// RepairQuarantined begins the repair of a shard. The repair terminates every machine that
// the cloud lists but no readable record lists, then deletes the quarantined records and
// loads the shard again.
func (inv *Inventory) RepairQuarantined(shard *state.Shard) {
	r := &quarantineRepair{inventory: inv, shard: shard, claimRevision: shard.ClaimRevision}
	r.start()
}

// start reads the cloud's list of machines and continues with terminateUnlisted. It first
// waits until the list is certain to contain all machines that existed when the shard was
// claimed.
func (r *quarantineRepair) start() {
	inv := r.inventory
	if wait := r.shard.OwnershipChangedAt + 2*inv.config.CloudListLag + cloudListMargin - inv.loop.Now(); wait > 0 {
		r.restartAfter(wait)
		return
	}
	inv.cloud.ChargeCall()
	inv.cloud.ListMachines(func(machines []cluster.ListedMachine, ok bool) {
		if !ok {
			r.restartAfter(cloudRetryDelay)
			return
		}
		r.terminateUnlisted(machines)
	})
}

// restartAfter starts the repair again after a delay, unless the shard has been lost or
// loaded by then.
func (r *quarantineRepair) restartAfter(delay cluster.Time) {
	r.inventory.loop.After(delay, func() {
		if r.isCurrent() && !r.shard.Ready {
			r.start()
		}
	})
}

// isCurrent reports whether the shard is still owned under the claim of the repair.
func (r *quarantineRepair) isCurrent() bool { return r.shard.IsOwnedUnder(r.claimRevision) }

// terminateUnlisted reads the group records and terminates those of the given machines that
// no readable record lists.
func (r *quarantineRepair) terminateUnlisted(machines []cluster.ListedMachine) {
	r.inventory.writes.ListPrefix(state.GroupKeyPrefix, func(reply messages.ListReply) {
		if reply.Outcome != messages.OK {
			r.restartAfter(listRetryDelay)
			return
		}
		listed := r.listedMachines(reply.Items)
		var unlisted []cluster.MachineID
		for _, m := range machines {
			if !listed[m.ID] {
				unlisted = append(unlisted, m.ID)
			}
		}
		r.terminate(unlisted)
	})
}

// listedMachines returns the machines that the readable records among items list.
// Quarantined records count as unreadable.
func (r *quarantineRepair) listedMachines(items []messages.KV) map[cluster.MachineID]bool {
	listed := map[cluster.MachineID]bool{}
	for _, item := range items {
		if _, quarantined := r.shard.QuarantinedGroups[item.Key]; quarantined {
			continue
		}
		record, err := grouprecord.Decode(item.Value)
		if err != nil {
			continue
		}
		for i := range record.Machines {
			listed[record.Machines[i].ID] = true
		}
	}
	return listed
}

// terminate terminates machines in batches of the size that a call to the cloud allows,
// and then deletes the quarantined records.
func (r *quarantineRepair) terminate(machines []cluster.MachineID) {
	if !r.isCurrent() {
		return
	}
	if len(machines) == 0 {
		r.deleteRecords()
		return
	}
	inv := r.inventory
	count := min(len(machines), inv.config.MaxScaleInMachines)
	inv.cloud.ChargeCall()
	inv.loop.Emit(messages.CloudScaleIn{IDs: machines[:count], Call: eventloop.Call(inv.loop, func(reply messages.ScaleInReply) {
		if reply.Outcome != messages.OK {
			r.restartAfter(cloudRetryDelay)
			return
		}
		r.terminate(machines[count:])
	})})
}

// deleteRecords enqueues the deletion of the quarantined records, up to the limit of a
// transaction. After the deletion, the shard is loaded again. This also happens after a
// conflict, which occurs if the owner of another shard has deleted a record first.
func (r *quarantineRepair) deleteRecords() {
	keys := slices.Sorted(maps.Keys(r.shard.QuarantinedGroups))
	keys = keys[:min(len(keys), r.inventory.config.MaxTxnOps)]
	r.inventory.writes.Enqueue(writequeue.PriorityScaleOut, &writequeue.Write{
		ShardID: r.shard.ID,
		Keys:    keys,
		Build: func(string) ([]messages.TxnOp, []cluster.ModRevision) {
			var operations []messages.TxnOp
			var modRevisions []cluster.ModRevision
			for _, key := range keys {
				operations = append(operations, messages.TxnOp{Key: key, Value: nil})
				modRevisions = append(modRevisions, r.shard.QuarantinedGroups[key])
			}
			return operations, modRevisions
		},
		OnApplied: func(cluster.Revision) {
			if r.isCurrent() {
				r.inventory.loop.Log(messages.LogInfo, "quarantined records deleted; reloading the shard", "shard", int(r.shard.ID), "records", len(keys))
				r.inventory.reload(r.shard)
			}
		},
		OnConflict: func() {
			if r.isCurrent() {
				r.inventory.reload(r.shard)
			}
		},
	})
}

// reload drops everything that was loaded from a shard's records and loads the shard again.
func (inv *Inventory) reload(shard *state.Shard) {
	shard.QuarantinedGroups = nil
	inv.DropShard(shard)
	shard.ProvisioningRequests = map[string]*state.ProvisioningRequest{}
	inv.shards.LoadShard(shard)
}
