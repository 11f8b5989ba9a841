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
const typesKey = "types"

type typesRecord struct {
	Types []MachineType `json:"t"`
	W     string        `json:"w"`
}

// storedCatalogue is the catalogue in the store as this controller last saw it.
//
// It is written only after it was read, and one write of it is under way at most.
type storedCatalogue struct {
	types    []MachineType // by name
	revision Mark
	read     bool
	writing  bool
}

// describes tells whether the stored catalogue differs in prices alone.
func (s *storedCatalogue) describes(types []MachineType) bool {
	return slices.EqualFunc(types, s.types, func(a, b MachineType) bool {
		return a.Name == b.Name && a.Cap == b.Cap && a.CacheGB == b.CacheGB && a.FetchGBs == b.FetchGBs &&
			a.BootS == b.BootS && slices.Equal(a.Zones, b.Zones)
	})
}

// fetchTypes asks the cloud for its machine types, and then once a minute, as
// prices move.
func (c *Core) fetchTypes() {
	c.mustCallCloud()
	c.emit(CloudTypes{Call: c.call(func(b any) {
		r := b.(TypesReply)
		if r.Out != OK || len(r.Types) == 0 {
			c.after(2*second, c.fetchTypes)
			return
		}
		c.learnTypes(r.Types)
		c.after(3*second, c.storeTypes) // the start has more urgent writes
		c.after(60*second, c.fetchTypes)
	})})
}

// learnTypes takes in machine types as the cloud or the store gives them.
func (c *Core) learnTypes(types []MachineType) {
	for _, t := range types {
		c.types[t.Name] = t
	}
	c.placement.request()
}

// readTypes takes the catalogue from the store if the cloud has not given one.
func (c *Core) readTypes() {
	c.get(typesKey, func(r GetReply) {
		switch r.Out {
		case OK:
			c.learnCatalogue(r.KV)
		case Missing:
			c.catalogue.read = true
		default:
			c.after(second, c.readTypes)
			return
		}
		c.storeTypes()
	})
}

// learnCatalogue takes in what the store holds.
func (c *Core) learnCatalogue(kv KV) {
	c.catalogue.read, c.catalogue.revision = true, kv.Mark
	var rec typesRecord
	if json.Unmarshal(kv.Value, &rec) != nil {
		c.logf(LogError, "unreadable record", "key", kv.Key)
		return
	}
	c.catalogue.types = rec.Types
	if len(c.types) == 0 && len(rec.Types) > 0 {
		c.logf(LogInfo, "machine types from the store", "types", len(rec.Types))
		c.learnTypes(rec.Types)
	}
}

// firstAlive tells whether no controller listed before this one is alive.
func (c *Core) firstAlive() bool {
	for _, id := range c.cfg.Nodes {
		if id == c.cfg.Self {
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
func (c *Core) storeTypes() {
	s := &c.catalogue
	if !c.firstAlive() || !s.read || s.writing || len(c.types) == 0 {
		return
	}
	var types []MachineType
	for _, name := range sortedKeys(c.types) {
		types = append(types, c.types[name])
	}
	if s.describes(types) {
		return
	}
	s.writing = true
	c.writer.add(prioLazy, &write{
		part: NoPart,
		keys: []string{typesKey},
		build: func(nonce string) ([]TxnOp, []Mark) {
			v, _ := json.Marshal(typesRecord{types, nonce})
			if len(v) > c.cfg.ValueBytes { // does without
				return nil, nil
			}
			return []TxnOp{{typesKey, v}}, []Mark{s.revision}
		},
		ok: func(e Epoch) { s.writing, s.types, s.revision = false, types, Mark(e) },
		conflict: func() { // another has stored it
			s.writing = false
			c.readTypes()
		},
	})
}
