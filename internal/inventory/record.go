package inventory

import (
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/state"
)

// recordSnapshot is what a built record says, to be applied once it is stored: what
// changed while it was in flight belongs to the next one.
type recordSnapshot struct {
	machines   []machineSnapshot
	terminated []*state.Machine // the cloud has taken them back: not listed any more
	size       int
}

// machineSnapshot is what a built record says of one machine.
type machineSnapshot struct {
	machine     *state.Machine
	listed      []*state.Assignment
	removed     []*state.Assignment // confirmed absent
	completed   []*state.Assignment // not listed either, but kept until their outcomes are stored
	raisesToken bool
	releases    bool
}

// newRecordSnapshot sorts out what the next record lists of the given machines.
func newRecordSnapshot(machines []*state.Machine) *recordSnapshot {
	snapshot := &recordSnapshot{machines: make([]machineSnapshot, 0, len(machines))}
	for _, m := range machines {
		if m.Terminated {
			snapshot.terminated = append(snapshot.terminated, m)
			continue
		}
		snapshot.machines = append(snapshot.machines, newMachineSnapshot(m))
	}
	return snapshot
}

func newMachineSnapshot(m *state.Machine) machineSnapshot {
	snapshot := machineSnapshot{machine: m, raisesToken: m.RaisingToken, releases: m.Releasing}
	for _, a := range m.SortedAssignments() {
		switch {
		case a.ConfirmedAbsent:
			snapshot.removed = append(snapshot.removed, a)
		case a.IsCompleted():
			// It is not on the machine any more, and the worker goes on showing
			// it until its outcome is stored: a successor learns it from there.
			snapshot.completed = append(snapshot.completed, a)
		default:
			snapshot.listed = append(snapshot.listed, a)
		}
	}
	return snapshot
}

// encode returns the record, under the id of the write that stores it.
//
// The record of an emptied group is written too, with nothing listed: were its key
// absent, a late copy of the transaction that created it would be carried out again.
// The next claim, which fences such copies off, deletes it.
func (s *recordSnapshot) encode(shard cluster.ShardID, writeID string) []byte {
	lines := make([]grouprecord.Machine, 0, len(s.machines))
	for i := range s.machines {
		lines = append(lines, s.machines[i].line())
	}
	value := grouprecord.Encode(grouprecord.Record{ShardID: shard, Machines: lines, WriteID: writeID})
	s.size = len(value)
	return value
}

// line is how the record lists the machine.
func (s *machineSnapshot) line() grouprecord.Machine {
	m := s.machine
	line := grouprecord.Machine{ID: m.ID, Kind: m.Kind(), Address: m.Address, Releasing: s.releases, Booting: m.Booting}
	for _, a := range s.listed {
		line.Tasks = append(line.Tasks, grouprecord.Task{ID: a.Task, Attempt: a.Attempt})
	}
	return line
}

// EncodeRecord returns the record of a group that consists of the given machines.
func EncodeRecord(shard cluster.ShardID, machines []*state.Machine, writeID string) []byte {
	return newRecordSnapshot(machines).encode(shard, writeID)
}

// groupID reads a group's id from the key of its record.
func groupID(key string) string { return strings.TrimPrefix(key, state.GroupKeyPrefix) }
