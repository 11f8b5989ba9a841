package inventory

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/exactjson"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// ReadRecordedMachines reads the records of all shards and calls handle with the machines
// that they list and the kinds of machines for which provisioning requests are open. It
// calls handle with nil if a read fails or a record is invalid.
//
// The provisioning requests are read before the groups, because the machines of an open
// request are not in a group yet. A machine that no group lists is therefore an orphan,
// unless a request was open for its kind.
func (inv *Inventory) ReadRecordedMachines(handle func(*state.RecordedMachines)) {
	inv.writes.ListPrefix(provisioningPrefix, func(reply messages.ListReply) {
		if reply.Outcome != messages.OK {
			handle(nil)
			return
		}
		recorded := &state.RecordedMachines{RequestedKinds: map[grouprecord.Kind]bool{}, Listed: map[cluster.MachineID]bool{}}
		for _, item := range reply.Items {
			kind, err := requestedKind(item.Value)
			if err != nil {
				handle(nil)
				return
			}
			recorded.RequestedKinds[kind] = true
		}
		inv.readGroupedMachines(recorded, handle)
	})
}

// provisioningPrefix is the prefix of the keys of provisioning requests.
const provisioningPrefix = "rentals/"

// requestedKind returns the kind of machine that a stored provisioning request is for. It
// decodes the other fields only to return an error if one is invalid.
func requestedKind(value []byte) (grouprecord.Kind, error) {
	var record struct {
		grouprecord.Kind
		Shard   cluster.ShardID `json:"p"`
		Count   int             `json:"n"`
		WriteID string          `json:"w"`
	}
	err := exactjson.Unmarshal(value, &record)
	return record.Kind, err
}

// readGroupedMachines reads the group records, adds the machines that they list to recorded
// and calls handle with the result. It calls handle with nil if a read fails or a record is
// invalid.
func (inv *Inventory) readGroupedMachines(recorded *state.RecordedMachines, handle func(*state.RecordedMachines)) {
	inv.writes.ListPrefix(state.GroupKeyPrefix, func(reply messages.ListReply) {
		if reply.Outcome != messages.OK || !inv.addListedMachines(reply.Items, recorded.Listed) {
			handle(nil)
			return
		}
		if !reply.Paginated {
			handle(recorded)
			return
		}
		// A machine that changed groups while the pages were read may be missing from
		// all of them. The record that lists it now is among the later changes.
		inv.writes.ReadChanges(state.GroupKeyPrefix, reply.Revision, func(reply messages.WatchReply) {
			if reply.Outcome != messages.OK || !inv.addListedMachines(reply.Items, recorded.Listed) {
				handle(nil)
				return
			}
			handle(recorded)
		})
	})
}

// addListedMachines adds the machines that group records list to listed, and adds owner
// hints for those that this controller doesn't own. It returns false if a record is invalid.
func (inv *Inventory) addListedMachines(items []messages.KV, listed map[cluster.MachineID]bool) bool {
	for _, item := range items {
		if item.Value == nil {
			continue
		}
		record, err := grouprecord.Decode(item.Value)
		if err != nil || !inv.isShard(record.ShardID) {
			return false
		}
		for i := range record.Machines {
			id := record.Machines[i].ID
			listed[id] = true
			if inv.state.Machines[id] == nil {
				inv.ownerHints.add(id, record.ShardID, inv.loop.Now())
			}
		}
	}
	return true
}

// isShard reports whether an ID from a record is that of an existing shard.
func (inv *Inventory) isShard(id cluster.ShardID) bool {
	return id >= 0 && int(id) < len(inv.state.Shards)
}
