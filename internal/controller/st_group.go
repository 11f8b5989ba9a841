package controller

import (
	"sort"

	"stairrelay/internal/cluster"
	"stairrelay/internal/writequeue"
)

// machineGroup is some machines of a shard whose tasks one record lists.
//
// A record of its own per machine would cost a put per wave of starts on each; with
// hundreds of machines that is many times the store's write rate. A machine is
// listed in exactly one group. It changes groups only by a transaction that writes
// both, and changes shards only with its whole group, by a write on condition that
// the group's record has not changed since it listed no task.
type machineGroup struct {
	id          string
	shardID     cluster.ShardID
	modRevision cluster.ModRevision
	machines    map[cluster.MachineID]*machine
	offer       *groupOffer // to another shard; nil: none

	writePending       bool                // a write is queued or in flight
	writeInFlight      bool                // what it lists is settled until it is answered
	queuedWrite        *writequeue.Write   // while it is queued
	nextWritePriority  writequeue.Priority // of the next write that is wanted, or writequeue.PriorityCount
	recordCheckPending bool                // the record is being read after a conflict

	recordSize int // of the record as last built, in bytes
	addedBytes int // that may have come on top since
	minPieces  int // into how many it is to be split at least, after a refusal
}

// groupOffer says that a shard may take the group. Until then nothing is started
// on its machines; a write of ours after that makes a late transfer fail.
type groupOffer struct {
	toShard cluster.ShardID
	until   cluster.Time
}

// key is where the group's record is stored.
func (g *machineGroup) key() string { return "groups/" + g.id }

// sortedMachines lists the machines by id.
func (g *machineGroup) sortedMachines() []*machine {
	l := make([]*machine, 0, len(g.machines))
	for _, m := range g.machines {
		l = append(l, m)
	}
	sort.Slice(l, func(i, k int) bool { return l[i].id < l[k].id })
	return l
}

// estimatedSize is how long the group's record may be by now.
func (g *machineGroup) estimatedSize() int { return g.recordSize + g.addedBytes }

// endWrite notes that no write of the record is under way any more.
func (g *machineGroup) endWrite() { g.writePending, g.writeInFlight = false, false }

// moveIn moves a machine here from the group that it is in.
func (g *machineGroup) moveIn(m *machine) {
	delete(m.group.machines, m.id)
	m.group = g
	g.machines[m.id] = m
}
