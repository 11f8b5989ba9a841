package core

import (
	"encoding/json"
	"slices"
)

// The machine types come from the cloud. Without them no submission can be
// judged and no task placed, so a controller that starts while the cloud has an
// outage takes them from the store, where the first of the controllers keeps
// them. Prices in there may be old; the cloud's next answer sets them right.

// typesKey holds the last catalogue.
const machineTypesKey = "types"

type machineTypesRecord struct {
	Types   []MachineType `json:"t"`
	WriteID string        `json:"w"`
}

// storedCatalogue is the catalogue in the store as this controller last saw it.
//
// It is written only after it was read, and one write of it is under way at most.
type machineTypeCache struct {
	types       []MachineType // by name
	modRevision ModRevision
	loaded      bool
	writing     bool
}

// describes tells whether the stored catalogue differs in prices alone.
func (s *machineTypeCache) equalExceptPrices(types []MachineType) bool {
	return slices.EqualFunc(types, s.types, func(a, b MachineType) bool {
		return a.Name == b.Name && a.Capacity == b.Capacity && a.CacheGB == b.CacheGB && a.FetchGBPerSecond == b.FetchGBPerSecond &&
			a.BootSeconds == b.BootSeconds && slices.Equal(a.Zones, b.Zones)
	})
}

// fetchTypes asks the cloud for its machine types, and then once a minute, as
// prices move.
func (c *Controller) fetchMachineTypes() {
	c.forceCloudCall()
	c.emit(CloudMachineTypes{Call: c.registerCall(func(b any) {
		r := b.(MachineTypesReply)
		if r.Outcome != OK || len(r.Types) == 0 {
			c.after(2*second, c.fetchMachineTypes)
			return
		}
		c.applyMachineTypes(r.Types)
		c.after(3*second, c.writeMachineTypeCache) // the start has more urgent writes
		c.after(60*second, c.fetchMachineTypes)
	})})
}

// learnTypes takes in machine types as the cloud or the store gives them.
func (c *Controller) applyMachineTypes(types []MachineType) {
	for _, t := range types {
		c.machineTypes[t.Name] = t
	}
	c.schedulingTrigger.request()
}

// readTypes takes the catalogue from the store if the cloud has not given one.
func (c *Controller) loadMachineTypeCache() {
	c.readKey(machineTypesKey, func(r GetReply) {
		switch r.Outcome {
		case OK:
			c.applyMachineTypeCache(r.KV)
		case NotFound:
			c.machineTypeCache.loaded = true
		default:
			c.after(second, c.loadMachineTypeCache)
			return
		}
		c.writeMachineTypeCache()
	})
}

// learnCatalogue takes in what the store holds.
func (c *Controller) applyMachineTypeCache(kv KV) {
	c.machineTypeCache.loaded, c.machineTypeCache.modRevision = true, kv.ModRevision
	var rec machineTypesRecord
	if json.Unmarshal(kv.Value, &rec) != nil {
		c.log(LogError, "unreadable record", "key", kv.Key)
		return
	}
	c.machineTypeCache.types = rec.Types
	if len(c.machineTypes) == 0 && len(rec.Types) > 0 {
		c.log(LogInfo, "machine types from the store", "types", len(rec.Types))
		c.applyMachineTypes(rec.Types)
	}
}

// firstAlive tells whether no controller listed before this one is alive.
func (c *Controller) isFirstAlive() bool {
	for _, id := range c.config.Nodes {
		if id == c.config.Self {
			break
		}
		if !c.peers[id].failed {
			return false
		}
	}
	return true
}

// storeTypes stores the catalogue where it differs from the one kept in more
// than prices. The first live controller does, so that one put is spent.
func (c *Controller) writeMachineTypeCache() {
	s := &c.machineTypeCache
	if !c.isFirstAlive() || !s.loaded || s.writing || len(c.machineTypes) == 0 {
		return
	}
	var types []MachineType
	for _, name := range sortedKeys(c.machineTypes) {
		types = append(types, c.machineTypes[name])
	}
	if s.equalExceptPrices(types) {
		return
	}
	s.writing = true
	c.writeQueue.enqueue(priorityBackground, &queuedWrite{
		shardID: NoShard,
		keys:    []string{machineTypesKey},
		build: func(nonce string) ([]TxnOp, []ModRevision) {
			v, _ := json.Marshal(machineTypesRecord{types, nonce})
			if len(v) > c.config.MaxValueBytes { // does without
				return nil, nil
			}
			return []TxnOp{{machineTypesKey, v}}, []ModRevision{s.modRevision}
		},
		onApplied: func(e Revision) { s.writing, s.types, s.modRevision = false, types, ModRevision(e) },
		onConflict: func() { // another has stored it
			s.writing = false
			c.loadMachineTypeCache()
		},
	})
}
