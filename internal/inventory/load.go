package inventory

import (
	"errors"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// Errors of group records that can be decoded but are invalid.
var (
	errUnknownShard        = errors.New("group record belongs to an unknown shard")
	errUnknownJob          = errors.New("group record lists a task of an unknown job")
	errTaskIndexOutOfRange = errors.New("group record lists a task index beyond the job's task count")
)

// ApplyRecord applies a group's record while a shard is loaded. A record of the shard is
// loaded as one of its groups, or its deletion is queued if it lists no machines. A record
// of another shard only provides owner hints for its machines. An invalid record is
// quarantined unless it belongs to another shard.
func (inv *Inventory) ApplyRecord(item messages.KV, shard *state.Shard) {
	record, err := grouprecord.Decode(item.Value)
	if err == nil && !inv.isShard(record.ShardID) {
		err = errUnknownShard
	}
	if err != nil {
		// If the record's shard can't be determined, every shard that is loaded
		// quarantines the record. The first repair deletes the record. The repairs of the
		// other shards then fail with a conflict, and the shards are loaded again.
		if of, ok := grouprecord.ShardOf(item.Value); !ok || !inv.isShard(of) || of == shard.ID {
			inv.quarantineRecord(shard, item, err)
		}
		return
	}
	if record.ShardID != shard.ID {
		inv.addOwnerHints(record.ShardID, record.Machines)
		return
	}
	if !inv.dropOlderGroup(item, shard) {
		return
	}
	if len(record.Machines) == 0 {
		inv.deleteEmptyGroup(shard, item)
		return
	}
	if !inv.dropOlderMachines(item, record.Machines, shard) {
		return
	}
	inv.loadGroup(item, record.Machines, shard)
}

// dropOlderGroup drops the known group of a record that is being loaded, if the group
// belongs to another shard owned here and the record is later. It returns false if the
// record must be ignored, because the group is already known as one of the shard or at the
// same or a later mod revision.
func (inv *Inventory) dropOlderGroup(item messages.KV, shard *state.Shard) bool {
	group := inv.state.Groups[groupID(item.Key)]
	if group == nil {
		return true
	}
	if group.ModRevision >= item.ModRevision || group.ShardID == shard.ID {
		return false
	}
	inv.dropGroup(group, shard.ID)
	return true
}

// dropOlderMachines drops the known groups that contain machines of a record that is being
// loaded, if the groups belong to other shards owned here and the record is later. The ID
// of such a group may differ from the record's, because another shard may have merged groups
// after a transfer. It returns false if the record must be ignored, because one of its
// machines has a fencing token that is higher than the record's mod revision.
func (inv *Inventory) dropOlderMachines(item messages.KV, entries []grouprecord.Machine, shard *state.Shard) bool {
	for i := range entries {
		m := inv.state.Machines[entries[i].ID]
		if m == nil || m.ShardID == shard.ID {
			continue
		}
		if uint64(m.Token) > uint64(item.ModRevision) {
			return false
		}
		inv.dropGroup(m.Group, shard.ID)
	}
	return true
}

// loadGroup adds the group that a record describes, or quarantines the record if it lists
// an invalid task. The revision of the claim under which the shard is loaded becomes the
// machines' fencing token. It is higher than all earlier tokens, because the claim is later
// than every transfer of a machine to the shard.
func (inv *Inventory) loadGroup(item messages.KV, entries []grouprecord.Machine, shard *state.Shard) {
	group := inv.state.AddGroup(shard, groupID(item.Key), item.ModRevision)
	group.RecordSize = len(item.Value)
	for _, entry := range entries {
		m := inv.state.Machines[entry.ID]
		if m == nil { // otherwise another record lists the machine too, and the tasks of both are loaded
			m = inv.AddMachine(group, entry, cluster.FencingToken(shard.ClaimRevision))
		}
		m.Releasing = m.Releasing || entry.Releasing
		m.ReleaseConfirmed = m.ReleaseConfirmed || entry.Releasing
		for _, task := range entry.Tasks {
			if err := inv.loadTask(m, task, shard); err != nil {
				inv.quarantineRecord(shard, item, err)
				return
			}
		}
	}
}

// loadTask adds the assignment of a task that a previous owner's record lists, unless the
// task has completed or its job has finished. A cancelled job is restored, so that its task
// is stopped. It returns an error if the job is unknown or the task index is out of range.
func (inv *Inventory) loadTask(m *state.Machine, task grouprecord.Task, shard *state.Shard) error {
	m.RecordedTaskCount++
	job := inv.state.Jobs.Owned[task.ID.Job]
	if job == nil {
		known := inv.state.Jobs.Known[task.ID.Job]
		if known == nil {
			return errUnknownJob
		}
		if known.FinalStatus != cluster.JobCancelled {
			return nil // the job has finished, and the end of the task will be acknowledged to the worker
		}
		job = inv.restoreCancelledJob(known, task.ID.Job, shard)
	}
	if task.ID.Index >= len(job.TaskStates) {
		return errTaskIndexOutOfRange
	}
	if job.TaskStates[task.ID.Index] >= state.TaskCompleted {
		return nil
	}
	a := &state.Assignment{
		Task:            task.ID,
		MachineID:       m.ID,
		Job:             job,
		Attempt:         task.Attempt,
		Phase:           state.PhaseUnverified,
		ResourceRequest: job.Spec.ResourceRequest,
		StopRequested:   job.FinalStatus != "",
	}
	m.AddAssignment(a)
	if job.TaskStates[task.ID.Index] == state.TaskPending {
		job.SetAssigned(task.ID.Index, a)
	}
	return nil
}

// restoreCancelledJob restores a cancelled job of which a record still lists tasks, so
// that they are stopped.
func (inv *Inventory) restoreCancelledJob(known *state.KnownJob, id cluster.JobID, shard *state.Shard) *state.Job {
	spec := cluster.JobSpec{ID: id, Team: known.Team, ResourceRequest: known.ResourceRequest, Tasks: known.Tasks}
	job := state.NewJob(spec, shard.ID, 0, inv.loop.Now())
	job.FinalStatus, job.Cancelling = cluster.JobCancelled, true
	inv.state.AddOwnedJob(job)
	return job
}

// deleteEmptyGroup enqueues the deletion of the record of an empty group.
//
// Once the key is absent, a delayed copy of the transaction that created the group could
// be applied if the claim that guards the transaction is still in force. That may be the
// claim of any shard, because groups are transferred. The record is therefore deleted only
// if no shard has the claim under which the group was created, and on condition that the
// claims of all shards are unchanged. Otherwise the record is kept until a later load.
func (inv *Inventory) deleteEmptyGroup(shard *state.Shard, item messages.KV) {
	createdUnder, ok := claimRevisionFromKey(item.Key)
	if !ok {
		return
	}
	w := &writequeue.Write{
		ShardID:          shard.ID,
		Keys:             []string{item.Key},
		MaxExtraCompares: len(inv.state.Shards),
		OnApplied:        func(cluster.Revision) {},
		OnConflict:       func() {},
	}
	w.Build = func(string) ([]messages.TxnOp, []cluster.ModRevision) {
		w.ExtraCompares = nil
		for _, other := range inv.state.Shards {
			if other.ModRevision == cluster.ModRevision(createdUnder) {
				return nil, nil
			}
			if other != shard {
				w.ExtraCompares = append(w.ExtraCompares, messages.Compare{Key: other.Key(), ModRevision: other.ModRevision})
			}
		}
		return []messages.TxnOp{{Key: item.Key, Value: nil}}, []cluster.ModRevision{item.ModRevision}
	}
	inv.writes.Enqueue(writequeue.PriorityBackground, w)
}
