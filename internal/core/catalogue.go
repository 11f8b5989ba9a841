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
		c.after(3*second, c.keepTypes) // the start has more urgent writes
		c.after(60*second, c.fetchTypes)
	})})
}

func (c *Core) learnTypes(types []MachineType) {
	for _, t := range types {
		c.types[t.Name] = t
	}
	c.placing = true
}

// readTypes takes the catalogue from the store if the cloud has not given one.
func (c *Core) readTypes() {
	c.get(typesKey, func(r GetReply) {
		switch r.Out {
		case OK:
			c.noteTypes(r.KV)
		case Missing:
			c.keptRead = true
		default:
			c.after(second, c.readTypes)
			return
		}
		c.keepTypes()
	})
}

// noteTypes takes in what the store holds.
func (c *Core) noteTypes(kv KV) {
	c.keptRead, c.keptMark = true, kv.Mark
	var rec typesRecord
	if json.Unmarshal(kv.Value, &rec) != nil {
		c.logf("error", "unreadable record", "key", kv.Key)
		return
	}
	c.kept = rec.Types
	if len(c.types) == 0 && len(rec.Types) > 0 {
		c.logf("info", "machine types from the store", "types", len(rec.Types))
		c.learnTypes(rec.Types)
	}
}

// keepTypes stores the catalogue where it differs from the one kept in more
// than prices. The first live controller does, so that one put is spent.
func (c *Core) keepTypes() {
	for _, id := range c.cfg.Nodes {
		if id == c.cfg.Self {
			break
		}
		if !c.peers[id].failed {
			return
		}
	}
	if !c.keptRead || c.keeping || len(c.types) == 0 {
		return
	}
	var now []MachineType
	for _, name := range sortedKeys(c.types) {
		now = append(now, c.types[name])
	}
	if slices.EqualFunc(now, c.kept, func(a, b MachineType) bool {
		return a.Name == b.Name && a.Cap == b.Cap && a.CacheGB == b.CacheGB && a.FetchGBs == b.FetchGBs && a.BootS == b.BootS && slices.Equal(a.Zones, b.Zones)
	}) {
		return
	}
	c.keeping = true
	c.w.add(prioLazy, &write{
		part: NoPart, keys: []string{typesKey},
		build: func(nonce string) ([]TxnOp, []Mark) {
			v, _ := json.Marshal(typesRecord{now, nonce})
			if len(v) > c.cfg.ValueBytes { // does without
				return nil, nil
			}
			return []TxnOp{{typesKey, v}}, []Mark{c.keptMark}
		},
		ok: func(e Epoch) { c.keeping, c.kept, c.keptMark = false, now, Mark(e) },
		conflict: func() { // another has stored it
			c.keeping = false
			c.readTypes()
		},
	})
}
