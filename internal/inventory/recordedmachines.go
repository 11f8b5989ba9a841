package inventory

import (
	"encoding/json"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// ReadRecordedMachines calls a function with what the records list, or with nil if the
// state service doesn't answer or a record can't be read, so that nothing can be
// concluded.
//
// The provisioning requests are read first: a machine whose request is not settled yet
// is in no group, but will be. So a machine that no group lists is an orphan if none of
// the requests read before was open for its kind.
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

// provisioningPrefix is where the provisioning requests are stored.
const provisioningPrefix = "rentals/"

// requestedKind reads the kind of machine from the record of a provisioning request. The
// other fields are read to find a record that makes no sense.
func requestedKind(value []byte) (grouprecord.Kind, error) {
	var record struct {
		grouprecord.Kind
		Shard   cluster.ShardID `json:"p"`
		Count   int             `json:"n"`
		WriteID string          `json:"w"`
	}
	err := json.Unmarshal(value, &record)
	return record.Kind, err
}

// readGroupedMachines adds the machines that groups list.
func (inv *Inventory) readGroupedMachines(recorded *state.RecordedMachines, handle func(*state.RecordedMachines)) {
	inv.writes.ListPrefix(state.GroupKeyPrefix, func(reply messages.ListReply) {
		if reply.Outcome != messages.OK || !inv.applyListedMachines(reply.Items, recorded.Listed) {
			handle(nil)
			return
		}
		if !reply.Paginated {
			handle(recorded)
			return
		}
		// A machine that changed groups between two pages may be on neither. The
		// record that lists it now was written after the first page was read.
		inv.writes.ReadChanges(state.GroupKeyPrefix, reply.Revision, func(reply messages.WatchReply) {
			if reply.Outcome != messages.OK || !inv.applyListedMachines(reply.Items, recorded.Listed) {
				handle(nil)
				return
			}
			handle(recorded)
		})
	})
}

// applyListedMachines adds the machines that groups' records list, and notes to which
// shards they belong. It returns false when a record can't be read.
func (inv *Inventory) applyListedMachines(items []messages.KV, listed map[cluster.MachineID]bool) bool {
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
				inv.owners.record(id, record.ShardID, inv.loop.Now())
			}
		}
	}
	return true
}

// isShard tells whether a number read from a record is that of a shard.
func (inv *Inventory) isShard(id cluster.ShardID) bool {
	return id >= 0 && int(id) < len(inv.state.Shards)
}
