package simulation

import (
	"fmt"
	"sort"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// Machine statuses in the cloud's list.
const (
	machineBooting = "booting"
	machineRunning = "running"
)

// FakeCloud is a fake of the cloud API that provisions machines.
type FakeCloud struct {
	MachineTypes      []cluster.MachineType
	AvailableCapacity map[string]int                 // number of machines that can still be provisioned, by CapacityKey
	BootDuration      func() cluster.Time            // returns the boot time of the next machine
	machinesByRequest map[string][]cluster.MachineID // by name of the scale-out request, so that repeated requests are idempotent
	machines          map[cluster.MachineID]*cloudMachine
	lastMachineNumber int
}

type cloudMachine struct {
	cluster.ListedMachine
	provisionedAt cluster.Time
	bootedAt      cluster.Time // when the machine finishes booting
}

// NewFakeCloud returns a cloud without machines. boot is called for the boot time of
// each new machine.
func NewFakeCloud(types []cluster.MachineType, capacity map[string]int, boot func() cluster.Time) *FakeCloud {
	return &FakeCloud{
		MachineTypes:      types,
		AvailableCapacity: capacity,
		BootDuration:      boot,
		machinesByRequest: map[string][]cluster.MachineID{},
		machines:          map[cluster.MachineID]*cloudMachine{},
	}
}

// CapacityKey returns the key of a capacity pool in FakeCloud.AvailableCapacity.
func CapacityKey(machineType, zone string, spot bool) string {
	return fmt.Sprintf("%s/%s/%v", machineType, zone, spot)
}

// ScaleOut provisions machines, at most as many as the pool has left. The outcome is
// messages.NotFound if the pool is empty. ScaleOut is idempotent: a repeated request with
// the same name gets the original reply.
func (c *FakeCloud) ScaleOut(now cluster.Time, request messages.CloudScaleOut) messages.ScaleOutReply {
	if ids, known := c.machinesByRequest[request.Name]; known {
		return messages.ScaleOutReply{Outcome: messages.OK, IDs: ids}
	}
	key := CapacityKey(request.Type, request.Zone, request.Spot)
	count := min(request.Count, c.AvailableCapacity[key])
	if count <= 0 {
		return messages.ScaleOutReply{Outcome: messages.NotFound}
	}
	c.AvailableCapacity[key] -= count
	ids := []cluster.MachineID{}
	for range count {
		ids = append(ids, c.addMachine(now, request))
	}
	c.machinesByRequest[request.Name] = ids
	return messages.ScaleOutReply{Outcome: messages.OK, IDs: ids}
}

func (c *FakeCloud) addMachine(now cluster.Time, request messages.CloudScaleOut) cluster.MachineID {
	c.lastMachineNumber++
	id := cluster.MachineID(fmt.Sprintf("m-%06d", c.lastMachineNumber))
	listed := cluster.ListedMachine{
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

// RemoveMachine removes a machine and returns its capacity to the pool. It reports false
// if there is no such machine.
func (c *FakeCloud) RemoveMachine(id cluster.MachineID) bool {
	machine := c.machines[id]
	if machine == nil {
		return false
	}
	delete(c.machines, id)
	c.AvailableCapacity[CapacityKey(machine.Type, machine.Zone, machine.Spot)]++
	return true
}

// CompleteBoots marks the machines that have finished booting as running, and
// returns them.
func (c *FakeCloud) CompleteBoots(now cluster.Time) []cluster.ListedMachine {
	var booted []cluster.ListedMachine
	for _, listed := range c.List(now) {
		machine := c.machines[listed.ID]
		if machine.Status == machineBooting && machine.bootedAt <= now {
			machine.Status = machineRunning
			booted = append(booted, machine.ListedMachine)
		}
	}
	return booted
}

// List returns all machines, sorted by ID.
func (c *FakeCloud) List(now cluster.Time) []cluster.ListedMachine {
	var list []cluster.ListedMachine
	for _, machine := range c.machines {
		listed := machine.ListedMachine
		listed.AgeSeconds = float64(now-machine.provisionedAt) / float64(second)
		list = append(list, listed)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// CapacityOf returns the resources of a machine type, or none if the type is unknown.
func (c *FakeCloud) CapacityOf(machineType string) cluster.Resources {
	for _, t := range c.MachineTypes {
		if t.Name == machineType {
			return t.Capacity
		}
	}
	return cluster.Resources{}
}

// listPageSize is the maximum number of machines on a page of the list.
const listPageSize = 500

// ListPage returns a page of the sorted list and reports whether more machines follow the
// page. The page begins after the given machine, or is the first one if the ID is empty.
func (c *FakeCloud) ListPage(now cluster.Time, after cluster.MachineID) (page []cluster.ListedMachine, more bool) {
	list := c.List(now)
	first := sort.Search(len(list), func(i int) bool { return list[i].ID > after })
	list = list[first:]
	more = len(list) > listPageSize
	return list[:min(len(list), listPageSize)], more
}
