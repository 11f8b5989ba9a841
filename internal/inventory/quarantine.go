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

// What a record that makes no sense lists is unknown, and guessing could run a task
// twice. The shard's other records are kept; the record's machines are returned to the
// cloud, after which nothing that ran on them can still run, and the record is
// deleted. Until then users are answered from the state service.

// quarantineRecord notes a group's record that makes no sense.
func (inv *Inventory) quarantineRecord(shard *state.Shard, item messages.KV, reason error) {
	inv.loop.Log(messages.LogInfo, "corrupt record quarantined", "key", item.Key, "error", reason.Error())
	if shard.Quarantined == nil {
		shard.Quarantined = map[string]cluster.ModRevision{}
	}
	shard.Quarantined[item.Key] = item.ModRevision
	if group := inv.state.Groups[groupID(item.Key)]; group != nil {
		inv.dropTransferred(group, cluster.NoShard)
	}
}

const (
	// cloudListMargin is added to the time after which the cloud's list shows all
	// that existed at a moment.
	cloudListMargin = 3 * second
	// cloudRetryDelay is the pause after the cloud gave no answer.
	cloudRetryDelay = 2 * second
	// listRetryDelay is the pause after the state service gave no answer.
	listRetryDelay = second
)

// quarantineRepair repairs the quarantined records of a shard under one claim.
type quarantineRepair struct {
	inventory     *Inventory
	shard         *state.Shard
	claimRevision cluster.Revision
}

// RepairQuarantined returns every machine that the cloud lists and no readable record
// does, then deletes the quarantined records and loads the shard again.
func (inv *Inventory) RepairQuarantined(shard *state.Shard) {
	r := &quarantineRepair{inventory: inv, shard: shard, claimRevision: shard.ClaimRevision}
	r.begin()
}

// begin reads the cloud's list. The list may be as old as twice its lag: only one that
// must show all that existed at the claim will do.
func (r *quarantineRepair) begin() {
	inv := r.inventory
	if wait := r.shard.OwnershipChangedAt + 2*inv.config.CloudListLag + cloudListMargin - inv.loop.Now(); wait > 0 {
		r.beginAgain(wait)
		return
	}
	inv.cloud.ChargeCall()
	inv.cloud.ListMachines(func(machines []cluster.ListedMachine, ok bool) {
		if !ok {
			r.beginAgain(cloudRetryDelay)
			return
		}
		r.readRecords(machines)
	})
}

// beginAgain begins anew after a pause, unless the shard is lost or loaded by then.
func (r *quarantineRepair) beginAgain(delay cluster.Time) {
	r.inventory.loop.After(delay, func() {
		if r.isCurrent() && !r.shard.Ready {
			r.begin()
		}
	})
}

// isCurrent tells whether the shard is still owned under the claim of the repair.
func (r *quarantineRepair) isCurrent() bool { return r.shard.IsOwnedUnder(r.claimRevision) }

// readRecords returns those of the cloud's machines that no readable record lists.
func (r *quarantineRepair) readRecords(machines []cluster.ListedMachine) {
	r.inventory.writes.ListPrefix(state.GroupKeyPrefix, func(reply messages.ListReply) {
		if reply.Outcome != messages.OK {
			r.beginAgain(listRetryDelay)
			return
		}
		listed := r.listedMachines(reply.Items)
		var unlisted []cluster.MachineID
		for _, m := range machines {
			if !listed[m.ID] {
				unlisted = append(unlisted, m.ID)
			}
		}
		r.release(unlisted)
	})
}

// listedMachines are the machines that the readable records list.
func (r *quarantineRepair) listedMachines(items []messages.KV) map[cluster.MachineID]bool {
	listed := map[cluster.MachineID]bool{}
	for _, item := range items {
		if _, quarantined := r.shard.Quarantined[item.Key]; quarantined {
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

// release returns machines to the cloud, as many at a time as a call may, and then
// deletes the records.
func (r *quarantineRepair) release(machines []cluster.MachineID) {
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
			r.beginAgain(cloudRetryDelay)
			return
		}
		r.release(machines[count:])
	})})
}

// deleteRecords deletes the quarantined records, as many as a transaction may, and loads
// the shard again. So it does after a conflict: the owner of another shard was faster,
// or an earlier copy of the transaction was carried out.
func (r *quarantineRepair) deleteRecords() {
	keys := slices.Sorted(maps.Keys(r.shard.Quarantined))
	keys = keys[:min(len(keys), r.inventory.config.MaxTxnOps)]
	r.inventory.writes.Enqueue(writequeue.PriorityScaleOut, &writequeue.Write{
		ShardID: r.shard.ID,
		Keys:    keys,
		Build: func(string) ([]messages.TxnOp, []cluster.ModRevision) {
			var operations []messages.TxnOp
			var modRevisions []cluster.ModRevision
			for _, key := range keys {
				operations = append(operations, messages.TxnOp{Key: key, Value: nil})
				modRevisions = append(modRevisions, r.shard.Quarantined[key])
			}
			return operations, modRevisions
		},
		OnApplied: func(cluster.Revision) {
			if r.isCurrent() {
				r.inventory.loop.Log(messages.LogInfo, "quarantined records deleted", "shard", int(r.shard.ID), "records", len(keys))
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

// reload forgets what was read of a shard's records and reads them again.
func (inv *Inventory) reload(shard *state.Shard) {
	shard.Quarantined = nil
	inv.DropShard(shard)
	shard.ProvisioningRequests = map[string]*state.ProvisioningRequest{}
	inv.shards.LoadShard(shard)
}
