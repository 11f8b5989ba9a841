package inventory

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
)

// ownerHints say which shards' records list machines that are not owned here, as last
// read. A machine leaves them when it becomes owned here. A hint may be out of date,
// so it only says whom to ask.
type ownerHints map[cluster.MachineID]ownerHint

type ownerHint struct {
	shardID cluster.ShardID
	seenAt  cluster.Time
}

func (h ownerHints) record(machine cluster.MachineID, shard cluster.ShardID, now cluster.Time) {
	h[machine] = ownerHint{shardID: shard, seenAt: now}
}

// LastShardOf returns the shard whose record was last seen to list a machine that is
// not owned here; false: none was.
func (inv *Inventory) LastShardOf(machine cluster.MachineID) (cluster.ShardID, bool) {
	hint, ok := inv.owners[machine]
	return hint.shardID, ok
}

// RecentShardOf is LastShardOf for a record that was seen less than a time ago.
func (inv *Inventory) RecentShardOf(machine cluster.MachineID, within cluster.Time) (cluster.ShardID, bool) {
	hint, ok := inv.owners[machine]
	return hint.shardID, ok && inv.loop.Now()-hint.seenAt < within
}

// recordOwners notes that a shard's record lists machines.
func (inv *Inventory) recordOwners(shard cluster.ShardID, machines []grouprecord.Machine) {
	for i := range machines {
		inv.owners.record(machines[i].ID, shard, inv.loop.Now())
	}
}
