package core

import (
	"encoding/json"

	"stairrelay/internal/grouprecord"
)

// machineOwners says which parts' records list machines that are not held
// here, as last read.
//
// A machine leaves it when it becomes held here. A note may be out of date, so
// it only says whom to ask.
type machineOwners map[MachineID]machineOwner

type machineOwner struct {
	part   Part
	seenAt Time
}

func (o machineOwners) note(id MachineID, part Part, now Time) {
	o[id] = machineOwner{part, now}
}

// recent returns a machine's part if a record listed it less than a time ago.
func (o machineOwners) recent(id MachineID, now, within Time) (Part, bool) {
	owner, ok := o[id]
	return owner.part, ok && now-owner.seenAt < within
}

// recordedMachines is what the rentals' and groups' records list.
type recordedMachines struct {
	open   map[grouprecord.Kind]bool // kinds of the open rentals
	listed map[MachineID]bool        // by a group of any part
}

// readRecorded calls fn with what the records list; nil: the store doesn't
// answer, or a record can't be read and nothing can be concluded.
//
// The rentals are read first: a machine whose rental is not settled yet is in
// no group, but will be. So a machine that is in none, and of whose kind none of
// the rentals read before was open, is nobody's.
func (c *Core) readRecorded(fn func(*recordedMachines)) {
	c.list("rentals/", func(r ListReply) {
		if r.Out != OK {
			fn(nil)
			return
		}
		rec := &recordedMachines{open: map[grouprecord.Kind]bool{}, listed: map[MachineID]bool{}}
		for _, kv := range r.Items {
			var rental rentalRecord
			if json.Unmarshal(kv.Value, &rental) != nil {
				fn(nil)
				return
			}
			rec.open[grouprecord.Kind{Type: rental.Type, Zone: rental.Zone, Spot: rental.Spot}] = true
		}
		c.readGrouped(rec, fn)
	})
}

// readGrouped adds the machines that groups list.
func (c *Core) readGrouped(rec *recordedMachines, fn func(*recordedMachines)) {
	c.list("groups/", func(r ListReply) {
		if r.Out != OK || !c.noteListed(r.Items, rec.listed) {
			fn(nil)
			return
		}
		if !r.Paged {
			fn(rec)
			return
		}
		// A machine that changed groups between two pages may be on neither. The
		// record that lists it now was written after the first page was read.
		c.readSince("groups/", r.Epoch, func(r WatchReply) {
			if r.Out != OK || !c.noteListed(r.Items, rec.listed) {
				fn(nil)
				return
			}
			fn(rec)
		})
	})
}

// noteListed adds the machines that groups' records list, and notes whose they
// are. It returns false when a record can't be read.
func (c *Core) noteListed(items []KV, listed map[MachineID]bool) bool {
	for _, kv := range items {
		if kv.Value == nil {
			continue
		}
		record, err := grouprecord.Decode(kv.Value)
		if err != nil || record.Part < 0 || int(record.Part) >= len(c.parts) {
			return false
		}
		for i := range record.Machines {
			id := record.Machines[i].ID
			listed[id] = true
			if c.machines[id] == nil {
				c.owners.note(id, record.Part, c.now)
			}
		}
	}
	return true
}
