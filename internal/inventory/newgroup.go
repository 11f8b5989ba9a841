package inventory

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// NewGroup is a group of newly provisioned or registered machines whose first record is
// not stored yet.
type NewGroup struct {
	ID       string
	Shard    *state.Shard
	Machines []grouprecord.Machine

	recordSize int // of the last encoded record, in bytes
}

// Operation returns the operation that creates the group's record, and the mod revision
// 0, which requires that the key is absent.
func (g *NewGroup) Operation(writeID string) (messages.TxnOp, cluster.ModRevision) {
	value := grouprecord.Encode(grouprecord.Record{ShardID: g.Shard.ID, Machines: g.Machines, WriteID: writeID})
	g.recordSize = len(value)
	return messages.TxnOp{Key: state.GroupKey(g.ID), Value: value}, 0
}

// AddNewGroup adds a group after its first record was stored at the given revision, which
// becomes the initial fencing token of its machines. It skips machines that are already
// known, and requests a scheduling run.
func (inv *Inventory) AddNewGroup(group *NewGroup, revision cluster.Revision) {
	added := inv.state.AddGroup(group.Shard, group.ID, cluster.ModRevision(revision))
	added.RecordSize = group.recordSize
	for _, entry := range group.Machines {
		if inv.state.Machines[entry.ID] == nil {
			m := inv.AddMachine(added, entry, cluster.FencingToken(revision))
			m.InitialToken = m.Token
		}
	}
	inv.scheduler.RequestScheduling()
}

// RegisterMachines enqueues a write that stores machines that no record lists in a new group
// of a shard. It calls done after the write has succeeded or failed, or if it is no longer
// needed because all of the machines have become known.
func (inv *Inventory) RegisterMachines(shard *state.Shard, machines []grouprecord.Machine, done func()) {
	claimRevision := shard.ClaimRevision
	group := &NewGroup{ID: inv.names.NextGroup(shard), Shard: shard, Machines: machines}
	inv.writes.Enqueue(writequeue.PriorityScaleOut, &writequeue.Write{
		ShardID: shard.ID,
		Keys:    []string{state.GroupKey(group.ID)},
		Build: func(writeID string) ([]messages.TxnOp, []cluster.ModRevision) {
			group.Machines = slices.DeleteFunc(group.Machines, func(entry grouprecord.Machine) bool {
				return inv.state.Machines[entry.ID] != nil
			})
			if len(group.Machines) == 0 {
				done()
				return nil, nil
			}
			operation, modRevision := group.Operation(writeID)
			return []messages.TxnOp{operation}, []cluster.ModRevision{modRevision}
		},
		OnApplied: func(revision cluster.Revision) {
			if shard.IsOwnedUnder(claimRevision) {
				inv.AddNewGroup(group, revision)
			}
			done()
		},
		OnConflict:      done,
		OnOwnershipLost: done,
	})
}
