package state

import (
	"sort"

	"stairrelay/internal/cluster"
	"stairrelay/internal/writequeue"
)

// MachineGroup is some machines of a shard whose tasks one record lists.
//
// A record of its own per machine would cost a put per wave of starts on each; with
// hundreds of machines that is many times the store's write rate. A machine is
// listed in exactly one group. It changes groups only by a transaction that writes
// both, and changes shards only with its whole group, by a write on condition that
// the group's record has not changed since it listed no task.
type MachineGroup struct {
	ID          string
	ShardID     cluster.ShardID
	ModRevision cluster.ModRevision
	Machines    map[cluster.MachineID]*Machine
	Offer       *GroupOffer // to another shard; nil: none

	WritePending       bool                // a write is queued or in flight
	WriteInFlight      bool                // what it lists is settled until it is answered
	QueuedWrite        *writequeue.Write   // while it is queued
	NextWritePriority  writequeue.Priority // of the next write that is wanted, or writequeue.PriorityCount
	RecordCheckPending bool                // the record is being read after a conflict

	RecordSize    int // of the record as last built, in bytes
	AddedBytes    int // that may have come on top since
	MinSplitCount int // into how many it is to be split at least, after a refusal
}

// GroupOffer says that a shard may take the group. Until then nothing is started
// on its machines; a write of ours after that makes a late transfer fail.
type GroupOffer struct {
	ToShard cluster.ShardID
	Until   cluster.Time
}

// GroupKeyPrefix is where the machine groups' records are stored.
const GroupKeyPrefix = "groups/"

// GroupKey is where the record of a group is stored.
func GroupKey(id string) string { return GroupKeyPrefix + id }

// Key is where the group's record is stored.
func (g *MachineGroup) Key() string { return GroupKey(g.ID) }

// SortedMachines lists the machines by id.
func (g *MachineGroup) SortedMachines() []*Machine {
	l := make([]*Machine, 0, len(g.Machines))
	for _, m := range g.Machines {
		l = append(l, m)
	}
	sort.Slice(l, func(i, k int) bool { return l[i].ID < l[k].ID })
	return l
}

// EstimatedSize is how long the group's record may be by now.
func (g *MachineGroup) EstimatedSize() int { return g.RecordSize + g.AddedBytes }

// Lock counts the group as being written until EndWrite, by a transaction that writes
// other keys too. Until then nothing else writes its record and no machine joins or
// leaves it.
func (g *MachineGroup) LockForTransaction() {
	g.WritePending, g.WriteInFlight, g.NextWritePriority = true, true, writequeue.PriorityCount
}

// MarkBuilt notes that the record now being built says all that is known: no further
// write is wanted, and nothing comes on top of its size.
func (g *MachineGroup) MarkRecordBuilt() {
	g.NextWritePriority, g.AddedBytes = writequeue.PriorityCount, 0
}

// EndWrite notes that no write of the record is under way any more.
func (g *MachineGroup) EndWrite() { g.WritePending, g.WriteInFlight = false, false }

// MoveIn moves a machine here from the group that it is in.
func (g *MachineGroup) MoveIn(m *Machine) {
	delete(m.Group.Machines, m.ID)
	m.Group = g
	g.Machines[m.ID] = m
}
