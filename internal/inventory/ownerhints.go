package inventory

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
)

// ownerHints records, for machines that this controller doesn't own, the shard whose
// record was last seen to list the machine. A hint may be out of date, so it may be used
// only to redirect workers. It is deleted when this controller adds the machine.
type ownerHints map[cluster.MachineID]ownerHint

type ownerHint struct {
	shardID cluster.ShardID
	seenAt  cluster.Time
}

func (h ownerHints) add(machine cluster.MachineID, shard cluster.ShardID, now cluster.Time) {
	h[machine] = ownerHint{shardID: shard, seenAt: now}
}

// LastShardOf returns the shard whose record was last seen to list a machine that this
// controller doesn't own. It returns false if no record was seen to list the machine.
func (inv *Inventory) LastShardOf(machine cluster.MachineID) (cluster.ShardID, bool) {
	hint, ok := inv.ownerHints[machine]
	return hint.shardID, ok
}

// RecentShardOf is like LastShardOf, but returns false if the record was seen longer ago
// than the given duration.
func (inv *Inventory) RecentShardOf(machine cluster.MachineID, within cluster.Time) (cluster.ShardID, bool) {
	hint, ok := inv.ownerHints[machine]
	return hint.shardID, ok && inv.loop.Now()-hint.seenAt < within
}

// addOwnerHints records that a shard's record lists the given machines.
func (inv *Inventory) addOwnerHints(shard cluster.ShardID, machines []grouprecord.Machine) {
	for i := range machines {
		inv.ownerHints.add(machines[i].ID, shard, inv.loop.Now())
	}
}
