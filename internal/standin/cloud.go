package standin

import (
	"fmt"
	"sort"

	"stairrelay/internal/core"
)

// Cloud is a model of the cloud.
type Cloud struct {
	Types    []core.MachineType
	Capacity map[string]int // by type/zone/spot
	Boot     func() core.Time
	named    map[string][]core.MachineID
	machines map[core.MachineID]*rented
	next     int
}

type rented struct {
	core.Listed
	at core.Time
	up core.Time
}

// NewCloud makes one.
func NewCloud(types []core.MachineType, capacity map[string]int, boot func() core.Time) *Cloud {
	return &Cloud{Types: types, Capacity: capacity, Boot: boot, named: map[string][]core.MachineID{}, machines: map[core.MachineID]*rented{}}
}

// Slot names a kind of machine.
func Slot(typ, zone string, spot bool) string { return fmt.Sprintf("%s/%s/%v", typ, zone, spot) }

// Rent rents, or repeats the answer that the name got before.
func (c *Cloud) Rent(now core.Time, e core.CloudRent) core.RentReply {
	if ids, ok := c.named[e.Name]; ok {
		return core.RentReply{Out: core.OK, IDs: ids}
	}
	slot := Slot(e.Type, e.Zone, e.Spot)
	n := min(e.Count, c.Capacity[slot])
	if n <= 0 {
		return core.RentReply{Out: core.Missing}
	}
	c.Capacity[slot] -= n
	ids := []core.MachineID{}
	for range n {
		c.next++
		id := core.MachineID(fmt.Sprintf("m-%06d", c.next))
		c.machines[id] = &rented{Listed: core.Listed{ID: id, Addr: string(id), Type: e.Type, Zone: e.Zone, Spot: e.Spot, Status: "booting"}, at: now, up: now + c.Boot()}
		ids = append(ids, id)
	}
	c.named[e.Name] = ids
	return core.RentReply{Out: core.OK, IDs: ids}
}

// Take removes a machine; false when there is none of that name.
func (c *Cloud) Take(id core.MachineID) bool {
	m := c.machines[id]
	if m == nil {
		return false
	}
	delete(c.machines, id)
	c.Capacity[Slot(m.Type, m.Zone, m.Spot)]++
	return true
}

// Up lists the booting machines that are due, and marks them running.
func (c *Cloud) Up(now core.Time) []core.Listed {
	var out []core.Listed
	for _, l := range c.List(now) {
		if m := c.machines[l.ID]; m.Status == "booting" && m.up <= now {
			m.Status = "running"
			out = append(out, m.Listed)
		}
	}
	return out
}

// List is the machine list as it is now.
func (c *Cloud) List(now core.Time) []core.Listed {
	var out []core.Listed
	for _, m := range c.machines {
		l := m.Listed
		l.AgeS = float64(now-m.at) / 1e9
		out = append(out, l)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
