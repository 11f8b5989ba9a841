package inventory

import (
	"errors"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// What may make no sense about a group's record that can be decoded.
var (
	errUnknownShard  = errors.New("belongs to no known shard")
	errUnknownJob    = errors.New("lists a task of no known job")
	errTaskBeyondJob = errors.New("lists a task beyond its job")
)

// ApplyRecord takes in a group's record while a shard is loaded: as one of the shard's
// groups, or as a hint to which shard its machines belong.
func (inv *Inventory) ApplyRecord(item messages.KV, shard *state.Shard) {
	record, err := grouprecord.Decode(item.Value)
	if err == nil && !inv.isShard(record.ShardID) {
		err = errUnknownShard
	}
	if err != nil {
		// The shard may be unreadable too; then each shard that is loaded repairs the
		// record, and the first to do so is enough.
		if of, ok := grouprecord.ShardOf(item.Value); !ok || !inv.isShard(of) || of == shard.ID {
			inv.quarantineRecord(shard, item, err)
		}
		return
	}
	if record.ShardID != shard.ID {
		inv.recordOwners(record.ShardID, record.Machines)
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

// dropOlderGroup drops the group of a record from another shard that is owned here too,
// and from which it was transferred. It returns false if the transfer was the other
// way and the record was read before it.
func (inv *Inventory) dropOlderGroup(item messages.KV, shard *state.Shard) bool {
	group := inv.state.Groups[groupID(item.Key)]
	if group == nil {
		return true
	}
	if group.ModRevision >= item.ModRevision || group.ShardID == shard.ID {
		return false
	}
	inv.dropTransferred(group, shard.ID)
	return true
}

// dropOlderMachines does the same by machine: another shard that is owned here may have
// taken the group and merged it with others since it was read. The later write counts.
func (inv *Inventory) dropOlderMachines(item messages.KV, lines []grouprecord.Machine, shard *state.Shard) bool {
	for i := range lines {
		m := inv.state.Machines[lines[i].ID]
		if m == nil || m.ShardID == shard.ID {
			continue
		}
		if uint64(m.Token) > uint64(item.ModRevision) {
			return false
		}
		inv.dropTransferred(m.Group, shard.ID)
	}
	return true
}

// loadGroup adds the group that a record describes. The claim under which the shard is
// loaded is later than every transfer of a machine to it, so it serves as their token.
func (inv *Inventory) loadGroup(item messages.KV, lines []grouprecord.Machine, shard *state.Shard) {
	group := inv.state.AddGroup(shard, groupID(item.Key), item.ModRevision)
	group.RecordSize = len(item.Value)
	for _, line := range lines {
		m := inv.state.Machines[line.ID]
		if m == nil { // else it is listed twice, and whatever either record lists counts
			m = inv.AddMachine(group, line, cluster.FencingToken(shard.ClaimRevision))
		}
		m.Releasing = m.Releasing || line.Releasing
		m.ReleaseConfirmed = m.ReleaseConfirmed || line.Releasing
		for _, task := range line.Tasks {
			if err := inv.loadTask(m, task, shard); err != nil {
				inv.quarantineRecord(shard, item, err)
				return
			}
		}
	}
}

// loadTask takes in a task that an earlier owner's record lists. It returns what makes
// no sense about it.
func (inv *Inventory) loadTask(m *state.Machine, task grouprecord.Task, shard *state.Shard) error {
	m.RecordedTaskCount++
	job := inv.state.Jobs.Owned[task.ID.Job]
	if job == nil {
		known := inv.state.Jobs.Known[task.ID.Job]
		if known == nil {
			return errUnknownJob
		}
		if known.FinalStatus != cluster.JobCancelled {
			return nil // finished: what the worker still shows is acknowledged
		}
		job = inv.addCancelledJob(known, task.ID.Job, shard)
	}
	if task.ID.Index >= len(job.TaskStates) {
		return errTaskBeyondJob
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

// addCancelledJob makes a cancelled job again whose tasks a record still lists, so that
// they are stopped.
func (inv *Inventory) addCancelledJob(known *state.KnownJob, id cluster.JobID, shard *state.Shard) *state.Job {
	spec := cluster.JobSpec{ID: id, Team: known.Team, ResourceRequest: known.ResourceRequest, Tasks: known.Tasks}
	job := state.NewJob(spec, shard.ID, 0, inv.loop.Now())
	job.FinalStatus, job.Cancelling = cluster.JobCancelled, true
	inv.state.AddOwnedJob(job)
	return job
}

// deleteEmptyGroup removes an emptied group that an earlier claim left behind. The
// claim that created it may be another shard's and still in force, since groups are
// transferred: a late copy of its creation would then be carried out once the key is
// absent. So the key is deleted only while no shard's claim is the one in its name, on
// condition of all their mod revisions; else it stays until the next claim.
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
