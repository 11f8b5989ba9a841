package standin

import (
	"fmt"
	"sort"

	"stairrelay/internal/core"
)

// The states of a machine in the cloud's list.
const (
	machineBooting = "booting"
	machineRunning = "running"
)

// Cloud is a model of the cloud.
type FakeCloud struct {
	MachineTypes      []core.MachineType
	AvailableCapacity map[string]int              // machines that may yet be rented, by Slot
	BootDuration      func() core.Time            // how long the next machine takes to boot
	machinesByRequest map[string][]core.MachineID // what each rental's name got
	machines          map[core.MachineID]*cloudMachine
	lastMachineNumber int // the number of the last machine
}

type cloudMachine struct {
	core.ListedMachine
	provisionedAt core.Time // when it was rented
	bootedAt      core.Time // when it has booted
}

// NewCloud makes a cloud without machines.
func NewFakeCloud(types []core.MachineType, capacity map[string]int, boot func() core.Time) *FakeCloud {
	return &FakeCloud{
		MachineTypes:      types,
		AvailableCapacity: capacity,
		BootDuration:      boot,
		machinesByRequest: map[string][]core.MachineID{},
		machines:          map[core.MachineID]*cloudMachine{},
	}
}

// Slot names a kind of machine.
func CapacityKey(machineType, zone string, spot bool) string {
	return fmt.Sprintf("%s/%s/%v", machineType, zone, spot)
}

// Rent rents, or repeats the answer that the name got before.
func (c *FakeCloud) ScaleOut(now core.Time, request core.CloudScaleOut) core.ScaleOutReply {
	if ids, known := c.machinesByRequest[request.Name]; known {
		return core.ScaleOutReply{Outcome: core.OK, IDs: ids}
	}
	slot := CapacityKey(request.Type, request.Zone, request.Spot)
	count := min(request.Count, c.AvailableCapacity[slot])
	if count <= 0 {
		return core.ScaleOutReply{Outcome: core.NotFound}
	}
	c.AvailableCapacity[slot] -= count
	ids := []core.MachineID{}
	for range count {
		ids = append(ids, c.addMachine(now, request))
	}
	c.machinesByRequest[request.Name] = ids
	return core.ScaleOutReply{Outcome: core.OK, IDs: ids}
}

func (c *FakeCloud) addMachine(now core.Time, request core.CloudScaleOut) core.MachineID {
	c.lastMachineNumber++
	id := core.MachineID(fmt.Sprintf("m-%06d", c.lastMachineNumber))
	listed := core.ListedMachine{
		ID:     id,
		Addr:   string(id),
		Type:   request.Type,
		Zone:   request.Zone,
		Spot:   request.Spot,
		Status: machineBooting,
	}
	c.machines[id] = &cloudMachine{ListedMachine: listed, provisionedAt: now, bootedAt: now + c.BootDuration()}
	return id
}

// Take removes a machine; false when there is none of that name.
func (c *FakeCloud) RemoveMachine(id core.MachineID) bool {
	machine := c.machines[id]
	if machine == nil {
		return false
	}
	delete(c.machines, id)
	c.AvailableCapacity[CapacityKey(machine.Type, machine.Zone, machine.Spot)]++
	return true
}

// Up lists the booting machines that are due, and marks them running.
func (c *FakeCloud) CompleteBoots(now core.Time) []core.ListedMachine {
	var booted []core.ListedMachine
	for _, listed := range c.List(now) {
		machine := c.machines[listed.ID]
		if machine.Status == machineBooting && machine.bootedAt <= now {
			machine.Status = machineRunning
			booted = append(booted, machine.ListedMachine)
		}
	}
	return booted
}

// List is the machine list as it is now.
func (c *FakeCloud) List(now core.Time) []core.ListedMachine {
	var list []core.ListedMachine
	for _, machine := range c.machines {
		listed := machine.ListedMachine
		listed.AgeSeconds = float64(now-machine.provisionedAt) / float64(second)
		list = append(list, listed)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// listPage is the most machines that a page of the list holds.
const listPageSize = 500

// Page is the page of the list that follows a machine, and whether another does.
func (c *FakeCloud) ListPage(now core.Time, since core.MachineID) (page []core.ListedMachine, more bool) {
	list := c.List(now)
	first := sort.Search(len(list), func(i int) bool { return list[i].ID > since })
	list = list[first:]
	more = len(list) > listPageSize
	return list[:min(len(list), listPageSize)], more
}
