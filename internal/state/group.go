package state

import (
	"sort"

	"stairrelay/internal/cluster"
	"stairrelay/internal/writequeue"
)

// MachineGroup is a set of machines of a shard that share one stored record, which lists
// their tasks.
//
// With a record per machine, starting tasks on hundreds of machines would take as many
// writes, which would far exceed the write rate of the store.
//
// A machine is listed in exactly one group. It moves between groups only in a transaction
// that writes both records. It moves between shards only with its whole group, in a
// compare-and-swap on the mod revision of a group record that lists no tasks.
type MachineGroup struct {
	ID          string
	ShardID     cluster.ShardID
	ModRevision cluster.ModRevision
	Machines    map[cluster.MachineID]*Machine
	Offer       *GroupOffer // to another shard; nil if there is none

	WritePending       bool                // a write is queued or in flight
	WriteInFlight      bool                // the pending write was sent; its content is fixed until its result is known
	QueuedWrite        *writequeue.Write   // the pending write while it is queued
	NextWritePriority  writequeue.Priority // priority of the next write, or writequeue.PriorityCount if none is needed
	RecordCheckPending bool                // the record is being read after a conflict

	RecordSize    int // size of the record in bytes when it was last built
	AddedBytes    int // estimated growth of the record since it was last built
	MinSplitCount int // minimum number of records to split into, after one was rejected as too large
}

// GroupOffer allows a shard to acquire the group until a deadline. While the offer exists,
// no tasks are assigned to the group's machines. A later write of the group's record
// changes its mod revision, so that a late transfer fails.
type GroupOffer struct {
	ToShard cluster.ShardID
	Until   cluster.Time
}

// GroupKeyPrefix is the key prefix of the machine group records.
const GroupKeyPrefix = "groups/"

// GroupKey returns the key of a group's record.
func GroupKey(id string) string { return GroupKeyPrefix + id }

// Key returns the key of the group's record.
func (g *MachineGroup) Key() string { return GroupKey(g.ID) }

// SortedMachines returns the machines sorted by ID.
func (g *MachineGroup) SortedMachines() []*Machine {
	sorted := make([]*Machine, 0, len(g.Machines))
	for _, m := range g.Machines {
		sorted = append(sorted, m)
	}
	sort.Slice(sorted, func(i, k int) bool { return sorted[i].ID < sorted[k].ID })
	return sorted
}

// EstimatedSize returns the estimated current size of the group's record in bytes.
func (g *MachineGroup) EstimatedSize() int { return g.RecordSize + g.AddedBytes }

// LockForTransaction reserves the group's record for a transaction that also writes
// other keys. Until EndWrite, nothing else writes the record and no machine joins or
// leaves the group.
func (g *MachineGroup) LockForTransaction() {
	g.WritePending, g.WriteInFlight, g.NextWritePriority = true, true, writequeue.PriorityCount
}

// MarkRecordBuilt records that a write with the current content of the group has been
// built. No further write is needed, and no growth has to be added to the record's size.
func (g *MachineGroup) MarkRecordBuilt() {
	g.NextWritePriority, g.AddedBytes = writequeue.PriorityCount, 0
}

// EndWrite records that no write of the record is queued or in flight.
func (g *MachineGroup) EndWrite() { g.WritePending, g.WriteInFlight = false, false }

// MoveIn moves a machine from its current group into g.
func (g *MachineGroup) MoveIn(m *Machine) {
	delete(m.Group.Machines, m.ID)
	m.Group = g
	g.Machines[m.ID] = m
}
