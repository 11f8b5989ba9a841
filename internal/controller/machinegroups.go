package controller

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"

	"stairrelay/internal/grouprecord"
)

// valueLimit decides how large the groups' records get.
func (c *Controller) valueLimit() grouprecord.ValueLimit {
	return grouprecord.ValueLimit(c.config.MaxValueBytes)
}

// groupMachines is how many machines a record is made for.
func (c *Controller) groupMachines() int { return c.valueLimit().TargetMachines() }

// hasRoom tells whether the record can list one more task of a job.
func (c *Controller) hasRoom(g *state.MachineGroup, j *state.Job) bool {
	return c.valueLimit().HasRoom(g.EstimatedSize(), j.Spec.ID)
}

// groupSnapshot remembers what a built record says, for when it is stored.
type groupSnapshot struct {
	machines   []machineSnapshot
	terminated []*state.Machine // not listed any more: the cloud has taken them back
	size       int
}

type machineSnapshot struct {
	machine               *state.Machine
	listed, removed       []*state.Assignment
	completed             []*state.Assignment // not listed either, but kept until their outcomes are stored
	raisesToken, releases bool
}

// buildGroupRecord builds the record of a group that consists of the given machines. Nil:
// there is nothing left to list.
func (c *Controller) buildGroupRecord(part cluster.ShardID, ms []*state.Machine, nonce string) ([]byte, *groupSnapshot) {
	s := &groupSnapshot{machines: make([]machineSnapshot, 0, len(ms))}
	lines := make([]grouprecord.Machine, 0, len(ms))
	for _, m := range ms {
		if m.Terminated {
			s.terminated = append(s.terminated, m)
			continue
		}
		x := machineSnapshot{machine: m, raisesToken: m.RaisingToken, releases: m.Releasing}
		line := grouprecord.Machine{ID: m.ID, Kind: m.Kind(), Address: m.Address, Releasing: m.Releasing, Booting: m.Booting}
		for _, a := range m.SortedAssignments() {
			switch {
			case a.ConfirmedAbsent:
				x.removed = append(x.removed, a)
				continue
			case a.IsCompleted():
				// It is not on the machine any more, and the worker goes on showing
				// it until its outcome is stored: a successor learns it from there.
				x.completed = append(x.completed, a)
				continue
			}
			x.listed = append(x.listed, a)
			line.Tasks = append(line.Tasks, grouprecord.Task{ID: a.Task, Attempt: a.Attempt})
		}
		s.machines = append(s.machines, x)
		lines = append(lines, line)
	}
	// An emptied group's key is kept, with nothing listed: once it were absent,
	// a late copy of the transaction that created it would be carried out again.
	// The next claim, which fences such copies, drops it.
	v := grouprecord.Encode(grouprecord.Record{ShardID: part, Machines: lines, WriteID: nonce})
	s.size = len(v)
	return v, s
}

// tokenRaiseWeight is how many times its size a machine counts whose token is to be
// raised: it starts nothing until then, and the leases of its tasks run on.
const tokenRaiseWeight = 4

// cpusWaiting counts the CPUs that wait for the groups' records: of tasks that
// may start, here or elsewhere, once the record says so, and of machines that
// can be used, or offered, only after it.
func (c *Controller) cpusWaiting(groups ...*state.MachineGroup) float64 {
	var sum cluster.Amount
	for _, g := range groups {
		for _, m := range g.Machines {
			size := c.state.MachineTypes[m.MachineType].Capacity.CPU
			if m.RaisingToken {
				sum += tokenRaiseWeight * size
			} else if m.Cordoned {
				sum += size
			}
			for _, a := range m.Assignments {
				if a.Phase == state.PhaseRecording || a.ConfirmedAbsent && a.Job.IsActive() {
					sum += a.ResourceRequest.CPU
				}
			}
		}
	}
	return float64(sum) / 1e6
}

// writeMachine stores which tasks may be on a machine, with the rest of its
// group. All that changes while the write waits its turn goes into the same put.
func (c *Controller) writeMachine(m *state.Machine, prio writequeue.Priority) {
	c.writeGroup(m.Group, prio)
}

// groupWrite is the write of one group's record.
type groupWrite struct {
	controller    *Controller
	shard         *state.Shard
	claimRevision cluster.Revision
	group         *state.MachineGroup
	priority      writequeue.Priority
	snapshot      *groupSnapshot // of the last record built
}

// writeGroup stores a group's record. One that is on its way already is followed
// by another. While its record is being read after a conflict nothing is written:
// a write at a revision that is known to be wrong would conflict again, and that
// one's check would be told nothing for the next, without end.
func (c *Controller) writeGroup(g *state.MachineGroup, prio writequeue.Priority) {
	if g.RecordCheckPending {
		g.NextWritePriority = min(g.NextWritePriority, prio)
		return
	}
	if g.WritePending {
		g.NextWritePriority = min(g.NextWritePriority, prio)
		c.writeQueue.RaisePriority(g.Key(), prio)
		return
	}
	g.WritePending, g.NextWritePriority = true, writequeue.PriorityCount
	p := c.state.Shards[g.ShardID]
	w := &groupWrite{controller: c, shard: p, claimRevision: p.ClaimRevision, group: g, priority: prio}
	g.QueuedWrite = &writequeue.Write{
		ShardID:         g.ShardID,
		Keys:            []string{g.Key()},
		CPUsWaiting:     func() float64 { return c.cpusWaiting(g) },
		Build:           w.build,
		OnApplied:       w.handleStored,
		OnConflict:      w.handleConflict,
		OnTooLarge:      w.handleTooLarge,
		OnOwnershipLost: g.EndWrite,
	}
	c.writeQueue.Enqueue(prio, g.QueuedWrite)
}

// isCurrent tells whether the group is still held under the claim of the write.
func (w *groupWrite) isCurrent() bool {
	return w.controller.state.Groups[w.group.ID] == w.group && w.shard.IsOwnedUnder(w.claimRevision)
}

func (w *groupWrite) build(nonce string) ([]messages.TxnOp, []cluster.ModRevision) {
	c, g := w.controller, w.group
	g.QueuedWrite = nil
	if c.state.Groups[g.ID] != g {
		g.WritePending = false
		return nil, nil
	}
	g.WriteInFlight, g.NextWritePriority, g.AddedBytes = true, writequeue.PriorityCount, 0
	var v []byte
	v, w.snapshot = c.buildGroupRecord(g.ShardID, g.SortedMachines(), nonce)
	g.RecordSize = w.snapshot.size
	return []messages.TxnOp{{Key: g.Key(), Value: v}}, []cluster.ModRevision{g.ModRevision}
}

func (w *groupWrite) handleStored(e cluster.Revision) {
	w.group.EndWrite()
	if !w.isCurrent() {
		return
	}
	w.group.ModRevision = cluster.ModRevision(e)
	w.controller.handleGroupStored(w.group, w.snapshot, e)
	w.controller.queueNextWrite(w.group)
}

// handleConflict follows a conflict with another writer.
func (w *groupWrite) handleConflict() {
	w.group.EndWrite()
	if w.controller.state.Groups[w.group.ID] == w.group {
		w.controller.checkGroup(w.group)
	}
}

// handleTooLarge follows the store's refusal of a record by its length: the group is
// split, or tried again where it has one machine.
func (w *groupWrite) handleTooLarge() {
	c, g := w.controller, w.group
	g.EndWrite()
	if !w.isCurrent() {
		return
	}
	g.NextWritePriority = min(g.NextWritePriority, w.priority)
	if len(g.Machines) > 1 {
		again := g.NextWritePriority
		c.splitGroup(w.shard, g)
		g.NextWritePriority = again
		return
	}
	c.loop.After(second, func() { c.queueNextWrite(g) })
}

// queueNextWrite queues the write that was wanted while one was on its way.
func (c *Controller) queueNextWrite(g *state.MachineGroup) {
	if g.NextWritePriority < writequeue.PriorityCount && c.state.Groups[g.ID] == g {
		c.writeGroup(g, g.NextWritePriority)
	}
}

// handleGroupStored follows a stored record: what it lists may be started, what it
// no longer lists may be started elsewhere.
func (c *Controller) handleGroupStored(g *state.MachineGroup, s *groupSnapshot, e cluster.Revision) {
	for i := range s.machines {
		x := &s.machines[i]
		m := x.machine
		if c.state.Machines[m.ID] != m {
			continue
		}
		m.RecordedTaskCount = len(x.listed)
		if m.PendingHeartbeat != 0 {
			c.heldHeartbeats.toCheck = append(c.heldHeartbeats.toCheck, m)
		}
		for _, a := range x.listed {
			if a.Phase != state.PhaseRecording {
				continue
			}
			a.Phase = state.PhaseReady
			if !a.Job.IsActive() {
				c.confirmAbsent(m, a) // cancelled meanwhile, never sent
			} else {
				c.queueCommandPush(m)
			}
		}
		for _, a := range x.removed {
			c.removeAssignment(m, a)
		}
		for _, a := range x.completed {
			if a.RemovedFromRecord = true; a.IsOutcomeStored() {
				c.removeAssignment(m, a)
			}
		}
		if x.raisesToken {
			m.RaisingToken = false
			m.Token, m.TokenAcknowledged, m.UnacknowledgedSince = cluster.FencingToken(e), false, c.loop.Now()
		}
		if x.releases && !m.ReleaseConfirmed {
			m.ReleaseConfirmed = true
			c.provisioner.ScaleIn.ScheduleCall()
		}
	}
	for _, m := range s.terminated {
		c.removeMachineAndFreeTasks(m)
	}
	if len(g.Machines) == 0 {
		delete(c.state.Groups, g.ID)
	}
}

func (c *Controller) newGroup(p *state.Shard, id string, mark cluster.ModRevision) *state.MachineGroup {
	g := &state.MachineGroup{ID: id, ShardID: p.ID, ModRevision: mark, Machines: map[cluster.MachineID]*state.Machine{}, NextWritePriority: writequeue.PriorityCount}
	c.state.Groups[id] = g
	return g
}

// splitAndMergeGroups keeps records well under the value limit, and few: every group
// with a change costs a put.
func (c *Controller) splitAndMergeGroups(p *state.Shard) {
	limit := c.valueLimit()
	var small []*state.MachineGroup
	for _, id := range slices.Sorted(maps.Keys(c.state.Groups)) {
		g := c.state.Groups[id]
		if g.ShardID != p.ID || g.WriteInFlight || g.Offer != nil || len(g.Machines) == 0 {
			continue
		}
		if size := g.EstimatedSize(); limit.ShouldSplit(size) && len(g.Machines) > 1 {
			c.splitGroup(p, g)
		} else if limit.ShouldMerge(size) {
			small = append(small, g)
		}
	}
	sort.SliceStable(small, func(i, k int) bool { return small[i].EstimatedSize() < small[k].EstimatedSize() })
	sizes := make([]grouprecord.Size, len(small))
	for i, g := range small {
		sizes[i] = grouprecord.Size{Bytes: g.EstimatedSize(), Machines: len(g.Machines)}
	}
	n := limit.MergeableCount(sizes, c.config.MaxTxnOps)
	if n < 2 {
		return
	}
	into := small[n-1] // the largest of them stays
	var move []*state.Machine
	for _, g := range small[:n-1] {
		move = append(move, g.SortedMachines()...)
	}
	// With the starts: most of these groups have a write waiting, which this
	// one makes needless, and each less saves a put per wave from now on.
	c.regroup(p, move, into, writequeue.Start, func(*state.MachineGroup) {})
}

// checkGroup follows a conflict on a group's record, or a worker that has seen
// a higher token than its machine's.
func (c *Controller) checkGroup(g *state.MachineGroup) {
	if g.RecordCheckPending {
		return
	}
	g.RecordCheckPending = true
	c.writeQueue.ReadKey(g.Key(), func(r messages.GetReply) {
		g.RecordCheckPending = false
		if c.state.Groups[g.ID] != g {
			return
		}
		defer c.queueNextWrite(g)
		to := cluster.NoShard
		switch r.Outcome {
		case messages.NotFound:
		case messages.OK:
			rec, err := grouprecord.Decode(r.KV.Value)
			if err != nil {
				c.giveUpCorruptShard(c.state.Shards[g.ShardID], g.Key(), err.Error())
				return
			}
			if rec.ShardID == g.ShardID {
				if r.KV.ModRevision > g.ModRevision && !g.WritePending {
					c.handleForeignWrite(c.state.Shards[g.ShardID], g.Key(), "changed by another writer")
					return
				}
				// Still ours, yet a worker may have seen a higher token: an owner
				// that has since lost it had a later one. Ours must rise above it.
				c.rereadShard(c.state.Shards[g.ShardID])
				for _, m := range g.SortedMachines() {
					if m.FencedOff {
						m.FencedOff = false
						c.raiseToken(m)
					}
				}
				c.writeGroup(g, writequeue.Start)
				return
			}
			to = rec.ShardID
		default:
			c.loop.After(second, func() {
				if c.state.Groups[g.ID] == g {
					c.checkGroup(g)
				}
			})
			return
		}
		for _, m := range g.SortedMachines() {
			for _, a := range m.SortedAssignments() {
				if a.Phase != state.PhaseRecording && !a.ConfirmedAbsent {
					c.handleForeignWrite(c.state.Shards[g.ShardID], g.Key(), "moved while it listed tasks")
					return
				}
			}
		}
		c.dropTransferredGroup(g, to)
	})
}

// dropTransferredGroup forgets a group that another part has taken. Its record listed no
// task, so what was planned for it was never sent.
func (c *Controller) dropTransferredGroup(g *state.MachineGroup, to cluster.ShardID) {
	c.loop.Log(messages.LogDebug, "group moved away", "group", g.ID, "machines", len(g.Machines), "to", int(to))
	delete(c.state.Groups, g.ID)
	for _, m := range g.SortedMachines() {
		c.dropMachine(m)
		for _, a := range m.SortedAssignments() {
			c.unassignTask(a)
		}
		if to >= 0 && int(to) < len(c.state.Shards) {
			c.machineOwners.record(m.ID, to, c.loop.Now())
		}
	}
}

// applyGroupRecord takes a group's record over from an earlier holder.
func (c *Controller) applyGroupRecord(kv messages.KV, p *state.Shard) {
	id := strings.TrimPrefix(kv.Key, "groups/")
	rec, err := grouprecord.Decode(kv.Value)
	part, ms := rec.ShardID, rec.Machines
	if err != nil || part < 0 || int(part) >= len(c.state.Shards) {
		// Whose it is may be unreadable too; then each part that is taken over
		// clears it, and the first to do so is enough.
		if of, ok := groupRecordShard(kv.Value, len(c.state.Shards)); !ok || of == p.ID {
			c.quarantineRecord(p, kv, fmt.Sprint(err))
		}
		return
	}
	if part != p.ID {
		c.recordOwners(part, ms)
		return
	}
	if old := c.state.Groups[id]; old != nil {
		// Two parts are held here and the group moved between them: the
		// reading may be older than the move.
		if old.ModRevision >= kv.ModRevision || old.ShardID == p.ID {
			return
		}
		c.dropTransferredGroup(old, p.ID)
	}
	if len(ms) == 0 {
		c.deleteEmptyGroup(p, kv)
		return
	}
	for i := range ms {
		// The same by machine: another part held here may have taken the group
		// and joined it with others since it was read. The later write counts.
		if x := c.state.Machines[ms[i].ID]; x != nil && x.ShardID != p.ID {
			if uint64(x.Token) > uint64(kv.ModRevision) {
				return
			}
			c.dropTransferredGroup(x.Group, p.ID)
		}
	}
	g := c.newGroup(p, id, kv.ModRevision)
	g.RecordSize = len(kv.Value)
	for _, l := range ms {
		// The claim is later than every move of a machine of the part.
		m := c.state.Machines[l.ID]
		if m == nil { // else listed twice: whatever either lists counts
			m = c.addMachine(g, l, cluster.FencingToken(p.ClaimRevision))
		}
		m.Releasing, m.ReleaseConfirmed = m.Releasing || l.Releasing, m.ReleaseConfirmed || l.Releasing
		for _, t := range l.Tasks {
			if why := c.applyRecordedTask(m, t, p); why != "" {
				c.quarantineRecord(p, kv, why)
				return
			}
		}
	}
}

// deleteEmptyGroup removes an emptied group that an earlier claim left behind. The
// claim that made it may be another part's and still in force, since groups
// move: a late copy of its creation would then be carried out once the key is
// absent. So the key goes only while no part's claim is the one in its name, on
// condition of all their marks; else it stays until the next claim.
func (c *Controller) deleteEmptyGroup(p *state.Shard, kv messages.KV) {
	made, ok := claimRevisionFromKey(kv.Key)
	if !ok {
		return
	}
	x := &writequeue.Write{ShardID: p.ID, Keys: []string{kv.Key}, MaxExtraCompares: len(c.state.Shards), OnApplied: func(cluster.Revision) {}, OnConflict: func() {}}
	x.Build = func(string) ([]messages.TxnOp, []cluster.ModRevision) {
		x.ExtraCompares = nil
		for _, q := range c.state.Shards {
			if q.ModRevision == cluster.ModRevision(made) {
				return nil, nil
			}
			if q != p {
				x.ExtraCompares = append(x.ExtraCompares, messages.Compare{Key: q.Key(), ModRevision: q.ModRevision})
			}
		}
		return []messages.TxnOp{{Key: kv.Key, Value: nil}}, []cluster.ModRevision{kv.ModRevision}
	}
	c.writeQueue.Enqueue(writequeue.Background, x)
}

// claimRevisionFromKey reads from a group's key the claim under which it was made.
func claimRevisionFromKey(key string) (cluster.Revision, bool) {
	f := strings.Split(key, "-")
	if len(f) < 3 {
		return 0, false
	}
	n, err := strconv.ParseUint(f[len(f)-2], 10, 64)
	return cluster.Revision(n), err == nil
}

// applyRecordedTask takes in a task that an earlier holder's record lists. It returns
// what makes no sense about it.
func (c *Controller) applyRecordedTask(m *state.Machine, t grouprecord.Task, p *state.Shard) string {
	m.RecordedTaskCount++
	jid := t.ID.Job
	j := c.state.Jobs.Owned[jid]
	if j == nil {
		k := c.state.Jobs.Known[jid]
		switch {
		case k == nil:
			return "lists a task of no known job"
		case k.FinalStatus == cluster.JobCancelled:
			j = state.NewJob(cluster.JobSpec{ID: jid, Team: k.Team, ResourceRequest: k.ResourceRequest, Tasks: k.Tasks}, p.ID, 0, c.loop.Now())
			j.FinalStatus, j.Cancelling = cluster.JobCancelled, true
			c.state.AddOwnedJob(j)
		default:
			return "" // done: what the worker still shows is reaped
		}
	}
	if t.ID.Index >= len(j.TaskStates) {
		return "lists a task beyond its job"
	}
	if j.TaskStates[t.ID.Index] >= state.TaskCompleted {
		return ""
	}
	a := &state.Assignment{Task: t.ID, MachineID: m.ID, Job: j, Attempt: t.Attempt, Phase: state.PhaseUnverified, ResourceRequest: j.Spec.ResourceRequest, StopRequested: j.FinalStatus != ""}
	m.AddAssignment(a)
	if j.TaskStates[t.ID.Index] == state.TaskPending {
		j.SetAssigned(t.ID.Index, a)
	}
	return ""
}

func (c *Controller) recordOwners(part cluster.ShardID, ms []grouprecord.Machine) {
	for i := range ms {
		c.machineOwners.record(ms[i].ID, part, c.loop.Now())
	}
}
