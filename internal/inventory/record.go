package inventory

import (
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/state"
)

// recordSnapshot is the content of a group's record when the record was built. It is applied
// once the record is stored. It doesn't include changes made while the write is in flight.
type recordSnapshot struct {
	machines   []machineSnapshot
	terminated []*state.Machine // terminated by the cloud, no longer listed
	size       int              // of the encoded record, in bytes
}

// machineSnapshot is the content of a record for one machine.
type machineSnapshot struct {
	machine     *state.Machine
	listed      []*state.Assignment
	removed     []*state.Assignment // no longer listed, because they are confirmed absent
	completed   []*state.Assignment // no longer listed, but kept until their outcomes are stored
	raisesToken bool
	releases    bool
}

// newRecordSnapshot returns the content of the next record of a group that consists of
// the given machines.
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
		snapshot.add(a)
	}
	return snapshot
}

// add lists an assignment, unless the record need not list it.
func (s *machineSnapshot) add(a *state.Assignment) {
	switch {
	case a.ConfirmedAbsent:
		s.removed = append(s.removed, a)
	case a.IsCompleted():
		// The record need not list a completed task, because the worker reports
		// the task until its outcome is stored. A new owner of the shard learns
		// of the completion from the worker's heartbeat.
		s.completed = append(s.completed, a)
	default:
		s.listed = append(s.listed, a)
	}
}

// encode returns the encoded record, which contains the ID of the write that stores it.
//
// A record that lists no machine is stored too. If its key were deleted, a delayed copy
// of the transaction that created the group could be applied and list its machines
// again. deleteEmptyGroup deletes the record under a later claim.
func (s *recordSnapshot) encode(shard cluster.ShardID, writeID string) []byte {
	entries := make([]grouprecord.Machine, 0, len(s.machines))
	for i := range s.machines {
		entries = append(entries, s.machines[i].entry())
	}
	value := grouprecord.Encode(grouprecord.Record{ShardID: shard, Machines: entries, WriteID: writeID})
	s.size = len(value)
	return value
}

// entry returns the machine's entry in the record.
func (s *machineSnapshot) entry() grouprecord.Machine {
	m := s.machine
	entry := grouprecord.Machine{ID: m.ID, Kind: m.Kind(), Address: m.Address, Releasing: s.releases, Booting: m.Booting}
	for _, a := range s.listed {
		entry.Tasks = append(entry.Tasks, grouprecord.Task{ID: a.Task, Attempt: a.Attempt})
	}
	return entry
}

// EncodeRecord returns the encoded record of a group that consists of the given
// machines.
func EncodeRecord(shard cluster.ShardID, machines []*state.Machine, writeID string) []byte {
	return newRecordSnapshot(machines).encode(shard, writeID)
}

// groupID returns the ID of the group whose record has the given key.
func groupID(key string) string { return strings.TrimPrefix(key, state.GroupKeyPrefix) }
