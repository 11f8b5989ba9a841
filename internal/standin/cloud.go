package standin

import (
	"fmt"
	"sort"

	"stairrelay/internal/core"
)

// The states of a machine in the cloud's list.
const (
	booting = "booting"
	running = "running"
)

// Cloud is a model of the cloud.
type Cloud struct {
	Types    []core.MachineType
	Capacity map[string]int              // machines that may yet be rented, by Slot
	Boot     func() core.Time            // how long the next machine takes to boot
	named    map[string][]core.MachineID // what each rental's name got
	machines map[core.MachineID]*rented
	next     int // the number of the last machine
}

type rented struct {
	core.Listed
	at core.Time // when it was rented
	up core.Time // when it has booted
}

// NewCloud makes a cloud without machines.
func NewCloud(types []core.MachineType, capacity map[string]int, boot func() core.Time) *Cloud {
	return &Cloud{
		Types:    types,
		Capacity: capacity,
		Boot:     boot,
		named:    map[string][]core.MachineID{},
		machines: map[core.MachineID]*rented{},
	}
}

// Slot names a kind of machine.
func Slot(machineType, zone string, spot bool) string {
	return fmt.Sprintf("%s/%s/%v", machineType, zone, spot)
}

// Rent rents, or repeats the answer that the name got before.
func (c *Cloud) Rent(now core.Time, request core.CloudRent) core.RentReply {
	if ids, known := c.named[request.Name]; known {
		return core.RentReply{Out: core.OK, IDs: ids}
	}
	slot := Slot(request.Type, request.Zone, request.Spot)
	count := min(request.Count, c.Capacity[slot])
	if count <= 0 {
		return core.RentReply{Out: core.Missing}
	}
	c.Capacity[slot] -= count
	ids := []core.MachineID{}
	for range count {
		ids = append(ids, c.addMachine(now, request))
	}
	c.named[request.Name] = ids
	return core.RentReply{Out: core.OK, IDs: ids}
}

func (c *Cloud) addMachine(now core.Time, request core.CloudRent) core.MachineID {
	c.next++
	id := core.MachineID(fmt.Sprintf("m-%06d", c.next))
	listed := core.Listed{
		ID:     id,
		Addr:   string(id),
		Type:   request.Type,
		Zone:   request.Zone,
		Spot:   request.Spot,
		Status: booting,
	}
	c.machines[id] = &rented{Listed: listed, at: now, up: now + c.Boot()}
	return id
}

// Take removes a machine; false when there is none of that name.
func (c *Cloud) Take(id core.MachineID) bool {
	machine := c.machines[id]
	if machine == nil {
		return false
	}
	delete(c.machines, id)
	c.Capacity[Slot(machine.Type, machine.Zone, machine.Spot)]++
	return true
}

// Up lists the booting machines that are due, and marks them running.
func (c *Cloud) Up(now core.Time) []core.Listed {
	var booted []core.Listed
	for _, listed := range c.List(now) {
		machine := c.machines[listed.ID]
		if machine.Status == booting && machine.up <= now {
			machine.Status = running
			booted = append(booted, machine.Listed)
		}
	}
	return booted
}

// List is the machine list as it is now.
func (c *Cloud) List(now core.Time) []core.Listed {
	var list []core.Listed
	for _, machine := range c.machines {
		listed := machine.Listed
		listed.AgeS = float64(now-machine.at) / float64(second)
		list = append(list, listed)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// listPage is the most machines that a page of the list holds.
const listPage = 500

// Page is the page of the list that follows a machine, and whether another does.
func (c *Cloud) Page(now core.Time, since core.MachineID) (page []core.Listed, more bool) {
	list := c.List(now)
	first := sort.Search(len(list), func(i int) bool { return list[i].ID > since })
	list = list[first:]
	more = len(list) > listPage
	return list[:min(len(list), listPage)], more
}
