package controller

import (
	"encoding/json"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"

	"stairrelay/internal/grouprecord"
)

// machineOwners says which parts' records list machines that are not held
// here, as last read.
//
// A machine leaves it when it becomes held here. A note may be out of date, so
// it only says whom to ask.
type machineOwners map[cluster.MachineID]machineOwner

type machineOwner struct {
	shardID cluster.ShardID
	seenAt  cluster.Time
}

func (o machineOwners) record(id cluster.MachineID, part cluster.ShardID, now cluster.Time) {
	o[id] = machineOwner{part, now}
}

// recent returns a machine's part if a record listed it less than a time ago.
func (o machineOwners) recent(id cluster.MachineID, now, within cluster.Time) (cluster.ShardID, bool) {
	owner, ok := o[id]
	return owner.shardID, ok && now-owner.seenAt < within
}

// recordedMachines is what the rentals' and groups' records list.
type recordedMachines struct {
	requestedKinds map[grouprecord.Kind]bool  // kinds of the open rentals
	listed         map[cluster.MachineID]bool // by a group of any part
}

// readRecordedMachines calls fn with what the records list; nil: the store doesn't
// answer, or a record can't be read and nothing can be concluded.
//
// The rentals are read first: a machine whose rental is not settled yet is in
// no group, but will be. So a machine that is in none, and of whose kind none of
// the rentals read before was open, is nobody's.
func (c *Controller) readRecordedMachines(fn func(*recordedMachines)) {
	c.writeQueue.ListPrefix("rentals/", func(r messages.ListReply) {
		if r.Outcome != messages.OK {
			fn(nil)
			return
		}
		rec := &recordedMachines{requestedKinds: map[grouprecord.Kind]bool{}, listed: map[cluster.MachineID]bool{}}
		for _, kv := range r.Items {
			var rental provisioningRecord
			if json.Unmarshal(kv.Value, &rental) != nil {
				fn(nil)
				return
			}
			rec.requestedKinds[grouprecord.Kind{Type: rental.Type, Zone: rental.Zone, Spot: rental.Spot}] = true
		}
		c.readGroupedMachines(rec, fn)
	})
}

// readGroupedMachines adds the machines that groups list.
func (c *Controller) readGroupedMachines(rec *recordedMachines, fn func(*recordedMachines)) {
	c.writeQueue.ListPrefix("groups/", func(r messages.ListReply) {
		if r.Outcome != messages.OK || !c.applyListedMachines(r.Items, rec.listed) {
			fn(nil)
			return
		}
		if !r.Paginated {
			fn(rec)
			return
		}
		// A machine that changed groups between two pages may be on neither. The
		// record that lists it now was written after the first page was read.
		c.writeQueue.ReadChanges("groups/", r.Revision, func(r messages.WatchReply) {
			if r.Outcome != messages.OK || !c.applyListedMachines(r.Items, rec.listed) {
				fn(nil)
				return
			}
			fn(rec)
		})
	})
}

// applyListedMachines adds the machines that groups' records list, and notes whose they
// are. It returns false when a record can't be read.
func (c *Controller) applyListedMachines(items []messages.KV, listed map[cluster.MachineID]bool) bool {
	for _, kv := range items {
		if kv.Value == nil {
			continue
		}
		record, err := grouprecord.Decode(kv.Value)
		if err != nil || record.ShardID < 0 || int(record.ShardID) >= len(c.state.Shards) {
			return false
		}
		for i := range record.Machines {
			id := record.Machines[i].ID
			listed[id] = true
			if c.state.Machines[id] == nil {
				c.machineOwners.record(id, record.ShardID, c.loop.Now())
			}
		}
	}
	return true
}
