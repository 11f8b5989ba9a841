package controller

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"

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
func (c *Controller) hasRoom(g *machineGroup, j *job) bool {
	return c.valueLimit().HasRoom(g.estimatedSize(), j.spec.ID)
}

// groupSnapshot remembers what a built record says, for when it is stored.
type groupSnapshot struct {
	machines   []machineSnapshot
	terminated []*machine // not listed any more: the cloud has taken them back
	size       int
}

type machineSnapshot struct {
	machine               *machine
	listed, removed       []*assignment
	completed             []*assignment // not listed either, but kept until their outcomes are stored
	raisesToken, releases bool
}

// buildGroupRecord builds the record of a group that consists of the given machines. Nil:
// there is nothing left to list.
func (c *Controller) buildGroupRecord(part cluster.ShardID, ms []*machine, nonce string) ([]byte, *groupSnapshot) {
	s := &groupSnapshot{machines: make([]machineSnapshot, 0, len(ms))}
	lines := make([]grouprecord.Machine, 0, len(ms))
	for _, m := range ms {
		if m.terminated {
			s.terminated = append(s.terminated, m)
			continue
		}
		x := machineSnapshot{machine: m, raisesToken: m.raisingToken, releases: m.releasing}
		line := grouprecord.Machine{ID: m.id, Kind: m.kind(), Address: m.address, Releasing: m.releasing, Booting: m.booting}
		for _, a := range m.sortedAssignments() {
			switch {
			case a.confirmedAbsent:
				x.removed = append(x.removed, a)
				continue
			case a.isCompleted():
				// It is not on the machine any more, and the worker goes on showing
				// it until its outcome is stored: a successor learns it from there.
				x.completed = append(x.completed, a)
				continue
			}
			x.listed = append(x.listed, a)
			line.Tasks = append(line.Tasks, grouprecord.Task{ID: a.task, Attempt: a.attempt})
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
func (c *Controller) cpusWaiting(groups ...*machineGroup) float64 {
	var sum cluster.Amount
	for _, g := range groups {
		for _, m := range g.machines {
			size := c.machineTypes[m.machineType].Capacity.CPU
			if m.raisingToken {
				sum += tokenRaiseWeight * size
			} else if m.cordoned {
				sum += size
			}
			for _, a := range m.assignments {
				if a.phase == phaseRecording || a.confirmedAbsent && a.job.isActive() {
					sum += a.resourceRequest.CPU
				}
			}
		}
	}
	return float64(sum) / 1e6
}

// writeMachine stores which tasks may be on a machine, with the rest of its
// group. All that changes while the write waits its turn goes into the same put.
func (c *Controller) writeMachine(m *machine, prio writequeue.Priority) { c.writeGroup(m.group, prio) }

// groupWrite is the write of one group's record.
type groupWrite struct {
	controller    *Controller
	shard         *shard
	claimRevision cluster.Revision
	group         *machineGroup
	priority      writequeue.Priority
	snapshot      *groupSnapshot // of the last record built
}

// writeGroup stores a group's record. One that is on its way already is followed
// by another. While its record is being read after a conflict nothing is written:
// a write at a revision that is known to be wrong would conflict again, and that
// one's check would be told nothing for the next, without end.
func (c *Controller) writeGroup(g *machineGroup, prio writequeue.Priority) {
	if g.recordCheckPending {
		g.nextWritePriority = min(g.nextWritePriority, prio)
		return
	}
	if g.writePending {
		g.nextWritePriority = min(g.nextWritePriority, prio)
		c.writeQueue.RaisePriority(g.key(), prio)
		return
	}
	g.writePending, g.nextWritePriority = true, writequeue.PriorityCount
	p := c.shards[g.shardID]
	w := &groupWrite{controller: c, shard: p, claimRevision: p.claimRevision, group: g, priority: prio}
	g.queuedWrite = &writequeue.Write{
		ShardID:         g.shardID,
		Keys:            []string{g.key()},
		CPUsWaiting:     func() float64 { return c.cpusWaiting(g) },
		Build:           w.build,
		OnApplied:       w.handleStored,
		OnConflict:      w.handleConflict,
		OnTooLarge:      w.handleTooLarge,
		OnOwnershipLost: g.endWrite,
	}
	c.writeQueue.Enqueue(prio, g.queuedWrite)
}

// isCurrent tells whether the group is still held under the claim of the write.
func (w *groupWrite) isCurrent() bool {
	return w.controller.machineGroups[w.group.id] == w.group && w.shard.isOwnedUnder(w.claimRevision)
}

func (w *groupWrite) build(nonce string) ([]messages.TxnOp, []cluster.ModRevision) {
	c, g := w.controller, w.group
	g.queuedWrite = nil
	if c.machineGroups[g.id] != g {
		g.writePending = false
		return nil, nil
	}
	g.writeInFlight, g.nextWritePriority, g.addedBytes = true, writequeue.PriorityCount, 0
	var v []byte
	v, w.snapshot = c.buildGroupRecord(g.shardID, g.sortedMachines(), nonce)
	g.recordSize = w.snapshot.size
	return []messages.TxnOp{{Key: g.key(), Value: v}}, []cluster.ModRevision{g.modRevision}
}

func (w *groupWrite) handleStored(e cluster.Revision) {
	w.group.endWrite()
	if !w.isCurrent() {
		return
	}
	w.group.modRevision = cluster.ModRevision(e)
	w.controller.handleGroupStored(w.group, w.snapshot, e)
	w.controller.queueNextWrite(w.group)
}

// handleConflict follows a conflict with another writer.
func (w *groupWrite) handleConflict() {
	w.group.endWrite()
	if w.controller.machineGroups[w.group.id] == w.group {
		w.controller.checkGroup(w.group)
	}
}

// handleTooLarge follows the store's refusal of a record by its length: the group is
// split, or tried again where it has one machine.
func (w *groupWrite) handleTooLarge() {
	c, g := w.controller, w.group
	g.endWrite()
	if !w.isCurrent() {
		return
	}
	g.nextWritePriority = min(g.nextWritePriority, w.priority)
	if len(g.machines) > 1 {
		again := g.nextWritePriority
		c.splitGroup(w.shard, g)
		g.nextWritePriority = again
		return
	}
	c.loop.After(second, func() { c.queueNextWrite(g) })
}

// queueNextWrite queues the write that was wanted while one was on its way.
func (c *Controller) queueNextWrite(g *machineGroup) {
	if g.nextWritePriority < writequeue.PriorityCount && c.machineGroups[g.id] == g {
		c.writeGroup(g, g.nextWritePriority)
	}
}

// handleGroupStored follows a stored record: what it lists may be started, what it
// no longer lists may be started elsewhere.
func (c *Controller) handleGroupStored(g *machineGroup, s *groupSnapshot, e cluster.Revision) {
	for i := range s.machines {
		x := &s.machines[i]
		m := x.machine
		if c.machines[m.id] != m {
			continue
		}
		m.recordedTaskCount = len(x.listed)
		if m.pendingHeartbeat != 0 {
			c.heldHeartbeats.toCheck = append(c.heldHeartbeats.toCheck, m)
		}
		for _, a := range x.listed {
			if a.phase != phaseRecording {
				continue
			}
			a.phase = phaseReady
			if !a.job.isActive() {
				c.confirmAbsent(m, a) // cancelled meanwhile, never sent
			} else {
				c.queueCommandPush(m)
			}
		}
		for _, a := range x.removed {
			c.removeAssignment(m, a)
		}
		for _, a := range x.completed {
			if a.removedFromRecord = true; a.isOutcomeStored() {
				c.removeAssignment(m, a)
			}
		}
		if x.raisesToken {
			m.raisingToken = false
			m.token, m.tokenAcknowledged, m.unacknowledgedSince = cluster.FencingToken(e), false, c.loop.Now()
		}
		if x.releases && !m.releaseConfirmed {
			m.releaseConfirmed = true
			c.scheduleScaleIn()
		}
	}
	for _, m := range s.terminated {
		c.removeMachineAndFreeTasks(m)
	}
	if len(g.machines) == 0 {
		delete(c.machineGroups, g.id)
	}
}

func (c *Controller) newGroup(p *shard, id string, mark cluster.ModRevision) *machineGroup {
	g := &machineGroup{id: id, shardID: p.id, modRevision: mark, machines: map[cluster.MachineID]*machine{}, nextWritePriority: writequeue.PriorityCount}
	c.machineGroups[id] = g
	return g
}

// splitAndMergeGroups keeps records well under the value limit, and few: every group
// with a change costs a put.
func (c *Controller) splitAndMergeGroups(p *shard) {
	limit := c.valueLimit()
	var small []*machineGroup
	for _, id := range slices.Sorted(maps.Keys(c.machineGroups)) {
		g := c.machineGroups[id]
		if g.shardID != p.id || g.writeInFlight || g.offer != nil || len(g.machines) == 0 {
			continue
		}
		if size := g.estimatedSize(); limit.ShouldSplit(size) && len(g.machines) > 1 {
			c.splitGroup(p, g)
		} else if limit.ShouldMerge(size) {
			small = append(small, g)
		}
	}
	sort.SliceStable(small, func(i, k int) bool { return small[i].estimatedSize() < small[k].estimatedSize() })
	sizes := make([]grouprecord.Size, len(small))
	for i, g := range small {
		sizes[i] = grouprecord.Size{Bytes: g.estimatedSize(), Machines: len(g.machines)}
	}
	n := limit.MergeableCount(sizes, c.config.MaxTxnOps)
	if n < 2 {
		return
	}
	into := small[n-1] // the largest of them stays
	var move []*machine
	for _, g := range small[:n-1] {
		move = append(move, g.sortedMachines()...)
	}
	// With the starts: most of these groups have a write waiting, which this
	// one makes needless, and each less saves a put per wave from now on.
	c.regroup(p, move, into, writequeue.Start, func(*machineGroup) {})
}

// checkGroup follows a conflict on a group's record, or a worker that has seen
// a higher token than its machine's.
func (c *Controller) checkGroup(g *machineGroup) {
	if g.recordCheckPending {
		return
	}
	g.recordCheckPending = true
	c.writeQueue.ReadKey(g.key(), func(r messages.GetReply) {
		g.recordCheckPending = false
		if c.machineGroups[g.id] != g {
			return
		}
		defer c.queueNextWrite(g)
		to := cluster.NoShard
		switch r.Outcome {
		case messages.NotFound:
		case messages.OK:
			rec, err := grouprecord.Decode(r.KV.Value)
			if err != nil {
				c.giveUpCorruptShard(c.shards[g.shardID], g.key(), err.Error())
				return
			}
			if rec.ShardID == g.shardID {
				if r.KV.ModRevision > g.modRevision && !g.writePending {
					c.handleForeignWrite(c.shards[g.shardID], g.key(), "changed by another writer")
					return
				}
				// Still ours, yet a worker may have seen a higher token: an owner
				// that has since lost it had a later one. Ours must rise above it.
				c.rereadShard(c.shards[g.shardID])
				for _, m := range g.sortedMachines() {
					if m.fencedOff {
						m.fencedOff = false
						c.raiseToken(m)
					}
				}
				c.writeGroup(g, writequeue.Start)
				return
			}
			to = rec.ShardID
		default:
			c.loop.After(second, func() {
				if c.machineGroups[g.id] == g {
					c.checkGroup(g)
				}
			})
			return
		}
		for _, m := range g.sortedMachines() {
			for _, a := range m.sortedAssignments() {
				if a.phase != phaseRecording && !a.confirmedAbsent {
					c.handleForeignWrite(c.shards[g.shardID], g.key(), "moved while it listed tasks")
					return
				}
			}
		}
		c.dropTransferredGroup(g, to)
	})
}

// dropTransferredGroup forgets a group that another part has taken. Its record listed no
// task, so what was planned for it was never sent.
func (c *Controller) dropTransferredGroup(g *machineGroup, to cluster.ShardID) {
	c.loop.Log(messages.LogDebug, "group moved away", "group", g.id, "machines", len(g.machines), "to", int(to))
	delete(c.machineGroups, g.id)
	for _, m := range g.sortedMachines() {
		c.dropMachine(m)
		for _, a := range m.sortedAssignments() {
			c.unassignTask(a)
		}
		if to >= 0 && int(to) < len(c.shards) {
			c.machineOwners.record(m.id, to, c.loop.Now())
		}
	}
}

// applyGroupRecord takes a group's record over from an earlier holder.
func (c *Controller) applyGroupRecord(kv messages.KV, p *shard) {
	id := strings.TrimPrefix(kv.Key, "groups/")
	rec, err := grouprecord.Decode(kv.Value)
	part, ms := rec.ShardID, rec.Machines
	if err != nil || part < 0 || int(part) >= len(c.shards) {
		// Whose it is may be unreadable too; then each part that is taken over
		// clears it, and the first to do so is enough.
		if of, ok := groupRecordShard(kv.Value, len(c.shards)); !ok || of == p.id {
			c.quarantineRecord(p, kv, fmt.Sprint(err))
		}
		return
	}
	if part != p.id {
		c.recordOwners(part, ms)
		return
	}
	if old := c.machineGroups[id]; old != nil {
		// Two parts are held here and the group moved between them: the
		// reading may be older than the move.
		if old.modRevision >= kv.ModRevision || old.shardID == p.id {
			return
		}
		c.dropTransferredGroup(old, p.id)
	}
	if len(ms) == 0 {
		c.deleteEmptyGroup(p, kv)
		return
	}
	for i := range ms {
		// The same by machine: another part held here may have taken the group
		// and joined it with others since it was read. The later write counts.
		if x := c.machines[ms[i].ID]; x != nil && x.shardID != p.id {
			if uint64(x.token) > uint64(kv.ModRevision) {
				return
			}
			c.dropTransferredGroup(x.group, p.id)
		}
	}
	g := c.newGroup(p, id, kv.ModRevision)
	g.recordSize = len(kv.Value)
	for _, l := range ms {
		// The claim is later than every move of a machine of the part.
		m := c.machines[l.ID]
		if m == nil { // else listed twice: whatever either lists counts
			m = c.addMachine(g, l, cluster.FencingToken(p.claimRevision))
		}
		m.releasing, m.releaseConfirmed = m.releasing || l.Releasing, m.releaseConfirmed || l.Releasing
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
func (c *Controller) deleteEmptyGroup(p *shard, kv messages.KV) {
	made, ok := claimRevisionFromKey(kv.Key)
	if !ok {
		return
	}
	x := &writequeue.Write{ShardID: p.id, Keys: []string{kv.Key}, MaxExtraCompares: len(c.shards), OnApplied: func(cluster.Revision) {}, OnConflict: func() {}}
	x.Build = func(string) ([]messages.TxnOp, []cluster.ModRevision) {
		x.ExtraCompares = nil
		for _, q := range c.shards {
			if q.modRevision == cluster.ModRevision(made) {
				return nil, nil
			}
			if q != p {
				x.ExtraCompares = append(x.ExtraCompares, messages.Compare{Key: q.key(), ModRevision: q.modRevision})
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

// deleteKeyInBackground removes a part's key when there is time.
func (c *Controller) deleteKeyInBackground(p *shard, key string, mark cluster.ModRevision) {
	c.writeQueue.Enqueue(writequeue.Background, &writequeue.Write{
		ShardID: p.id, Keys: []string{key},
		Build: func(string) ([]messages.TxnOp, []cluster.ModRevision) {
			return []messages.TxnOp{{Key: key, Value: nil}}, []cluster.ModRevision{mark}
		},
		OnApplied:  func(cluster.Revision) {},
		OnConflict: func() {},
	})
}

// applyRecordedTask takes in a task that an earlier holder's record lists. It returns
// what makes no sense about it.
func (c *Controller) applyRecordedTask(m *machine, t grouprecord.Task, p *shard) string {
	m.recordedTaskCount++
	jid := t.ID.Job
	j := c.jobs.owned[jid]
	if j == nil {
		k := c.jobs.known[jid]
		switch {
		case k == nil:
			return "lists a task of no known job"
		case k.finalStatus == cluster.JobCancelled:
			j = newJob(cluster.JobSpec{ID: jid, Team: k.team, ResourceRequest: k.resourceRequest, Tasks: k.tasks}, p.id, 0, c.loop.Now())
			j.finalStatus, j.cancelling = cluster.JobCancelled, true
			c.addOwnedJob(j)
		default:
			return "" // done: what the worker still shows is reaped
		}
	}
	if t.ID.Index >= len(j.taskStates) {
		return "lists a task beyond its job"
	}
	if j.taskStates[t.ID.Index] >= taskCompleted {
		return ""
	}
	a := &assignment{task: t.ID, machineID: m.id, job: j, attempt: t.Attempt, phase: phaseUnverified, resourceRequest: j.spec.ResourceRequest, stopRequested: j.finalStatus != ""}
	m.addAssignment(a)
	if j.taskStates[t.ID.Index] == taskPending {
		j.setAssigned(t.ID.Index, a)
	}
	return ""
}

func (c *Controller) recordOwners(part cluster.ShardID, ms []grouprecord.Machine) {
	for i := range ms {
		c.machineOwners.record(ms[i].ID, part, c.loop.Now())
	}
}
