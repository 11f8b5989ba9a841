package inventory

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// NewGroup is a group of machines that no record has listed before, until its first
// record is stored.
type NewGroup struct {
	ID       string
	Shard    *state.Shard
	Machines []grouprecord.Machine

	recordSize int // as last built
}

// Operation returns the change that creates the group's record; the key must be absent.
func (g *NewGroup) Operation(writeID string) (messages.TxnOp, cluster.ModRevision) {
	value := grouprecord.Encode(grouprecord.Record{ShardID: g.Shard.ID, Machines: g.Machines, WriteID: writeID})
	g.recordSize = len(value)
	return messages.TxnOp{Key: state.GroupKey(g.ID), Value: value}, 0
}

// AddNewGroup follows the first record of a group, whose machines only the present claim
// of the shard has ever owned.
func (inv *Inventory) AddNewGroup(group *NewGroup, revision cluster.Revision) {
	added := inv.state.AddGroup(group.Shard, group.ID, cluster.ModRevision(revision))
	added.RecordSize = group.recordSize
	for _, line := range group.Machines {
		if inv.state.Machines[line.ID] == nil {
			m := inv.AddMachine(added, line, cluster.FencingToken(revision))
			m.InitialToken = m.Token
		}
	}
	inv.scheduler.RequestScheduling()
}

// RegisterMachines writes machines that no record lists into a new group of a shard.
// done is called when that is stored, or has failed.
func (inv *Inventory) RegisterMachines(shard *state.Shard, machines []grouprecord.Machine, done func()) {
	claimRevision := shard.ClaimRevision
	group := &NewGroup{ID: inv.names.NextGroup(shard), Shard: shard, Machines: machines}
	inv.writes.Enqueue(writequeue.PriorityScaleOut, &writequeue.Write{
		ShardID: shard.ID,
		Keys:    []string{state.GroupKey(group.ID)},
		Build: func(writeID string) ([]messages.TxnOp, []cluster.ModRevision) {
			group.Machines = slices.DeleteFunc(group.Machines, func(line grouprecord.Machine) bool {
				return inv.state.Machines[line.ID] != nil
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
