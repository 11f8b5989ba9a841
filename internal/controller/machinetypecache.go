package controller

import (
	"encoding/json"
	"maps"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// The machine types come from the cloud. Without them no submission can be
// judged and no task placed, so a controller that starts while the cloud has an
// outage takes them from the store, where the first of the controllers keeps
// them. Prices in there may be old; the cloud's next answer sets them right.

// machineTypesKey holds the last catalogue.
const machineTypesKey = "types"

type machineTypesRecord struct {
	Types   []cluster.MachineType `json:"t"`
	WriteID string                `json:"w"`
}

// machineTypeCache is the catalogue in the store as this controller last saw it.
//
// It is written only after it was read, and one write of it is under way at most.
type machineTypeCache struct {
	types       []cluster.MachineType // by name
	modRevision cluster.ModRevision
	loaded      bool
	writing     bool
}

// equalExceptPrices tells whether the stored catalogue differs in prices alone.
func (s *machineTypeCache) equalExceptPrices(types []cluster.MachineType) bool {
	return slices.EqualFunc(types, s.types, func(a, b cluster.MachineType) bool {
		return a.Name == b.Name && a.Capacity == b.Capacity && a.CacheGB == b.CacheGB && a.FetchGBPerSecond == b.FetchGBPerSecond &&
			a.BootSeconds == b.BootSeconds && slices.Equal(a.Zones, b.Zones)
	})
}

// fetchMachineTypes asks the cloud for its machine types, and then once a minute, as
// prices move.
func (c *Controller) fetchMachineTypes() {
	c.forceCloudCall()
	c.loop.Emit(messages.CloudMachineTypes{Call: eventloop.Call(c.loop, func(r messages.MachineTypesReply) {
		if r.Outcome != messages.OK || len(r.Types) == 0 {
			c.loop.After(2*second, c.fetchMachineTypes)
			return
		}
		c.applyMachineTypes(r.Types)
		c.loop.After(3*second, c.writeMachineTypeCache) // the start has more urgent writes
		c.loop.After(60*second, c.fetchMachineTypes)
	})})
}

// applyMachineTypes takes in machine types as the cloud or the store gives them.
func (c *Controller) applyMachineTypes(types []cluster.MachineType) {
	for _, t := range types {
		c.state.MachineTypes[t.Name] = t
	}
	c.scheduler.Trigger.Request()
}

// loadMachineTypeCache takes the catalogue from the store if the cloud has not given one.
func (c *Controller) loadMachineTypeCache() {
	c.writeQueue.ReadKey(machineTypesKey, func(r messages.GetReply) {
		switch r.Outcome {
		case messages.OK:
			c.applyMachineTypeCache(r.KV)
		case messages.NotFound:
			c.machineTypeCache.loaded = true
		default:
			c.loop.After(second, c.loadMachineTypeCache)
			return
		}
		c.writeMachineTypeCache()
	})
}

// applyMachineTypeCache takes in what the store holds.
func (c *Controller) applyMachineTypeCache(kv messages.KV) {
	c.machineTypeCache.loaded, c.machineTypeCache.modRevision = true, kv.ModRevision
	var rec machineTypesRecord
	if json.Unmarshal(kv.Value, &rec) != nil {
		c.loop.Log(messages.LogError, "unreadable record", "key", kv.Key)
		return
	}
	c.machineTypeCache.types = rec.Types
	if len(c.state.MachineTypes) == 0 && len(rec.Types) > 0 {
		c.loop.Log(messages.LogInfo, "machine types from the store", "types", len(rec.Types))
		c.applyMachineTypes(rec.Types)
	}
}

// writeMachineTypeCache stores the catalogue where it differs from the one kept in more
// than prices. The first live controller does, so that one put is spent.
func (c *Controller) writeMachineTypeCache() {
	s := &c.machineTypeCache
	if !c.members.IsFirstReachable() || !s.loaded || s.writing || len(c.state.MachineTypes) == 0 {
		return
	}
	var types []cluster.MachineType
	for _, name := range slices.Sorted(maps.Keys(c.state.MachineTypes)) {
		types = append(types, c.state.MachineTypes[name])
	}
	if s.equalExceptPrices(types) {
		return
	}
	s.writing = true
	c.writeQueue.Enqueue(writequeue.Background, &writequeue.Write{
		ShardID: cluster.NoShard,
		Keys:    []string{machineTypesKey},
		Build: func(nonce string) ([]messages.TxnOp, []cluster.ModRevision) {
			v, _ := json.Marshal(machineTypesRecord{types, nonce})
			if len(v) > c.config.MaxValueBytes { // does without
				return nil, nil
			}
			return []messages.TxnOp{{Key: machineTypesKey, Value: v}}, []cluster.ModRevision{s.modRevision}
		},
		OnApplied: func(e cluster.Revision) { s.writing, s.types, s.modRevision = false, types, cluster.ModRevision(e) },
		OnConflict: func() { // another has stored it
			s.writing = false
			c.loadMachineTypeCache()
		},
	})
}
