package core

import (
	"testing"

	"stairrelay/internal/grouprecord"
)

// TestOwnersInPages: groups read in several pages may miss a machine that
// changed groups meanwhile; taken for nobody's, it would be listed twice. The
// changes since the first page show it, and without them nothing is concluded.
func TestOwnersInPages(t *testing.T) {
	for _, watched := range []Outcome{OK, NotDone} {
		c := New(Config{Self: "n0", Nodes: []NodeID{"n0"}, StoreRPS: 100, WriteRPS: 100, ValueBytes: 4096, TxnOps: 12, Tuning: DefaultTuning()})
		record := func(key string, ids ...MachineID) KV {
			var ms []grouprecord.Machine
			for _, id := range ids {
				ms = append(ms, grouprecord.Machine{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}})
			}
			return KV{Key: "groups/" + key, Value: grouprecord.Encode(grouprecord.Record{Part: 0, Machines: ms, Nonce: "w"}), Mark: 7}
		}
		asked, ended := false, false
		var got map[MachineID]bool
		c.readRecorded(func(rec *recordedMachines) {
			ended = true
			if rec != nil {
				got = rec.listed
			}
		})
		for i := 0; i < len(c.out); i++ {
			switch f := c.out[i].(type) {
			case StoreList:
				r := ListReply{Out: OK, Epoch: 5}
				if f.Prefix == "groups/" {
					r.Items, r.Paged = []KV{record("b", "m-1")}, true
				}
				c.calls[f.Call](r)
			case StoreWatch:
				if asked = true; f.Since != 5 || f.Prefix != "groups/" {
					t.Errorf("asked for changes of %s since %d", f.Prefix, f.Since)
				}
				c.calls[f.Call](WatchReply{Out: watched, Items: []KV{record("a", "m-2"), {Key: "groups/x"}}, Epoch: 9})
			}
		}
		if !asked || !ended {
			t.Fatalf("asked %v, ended %v", asked, ended)
		}
		if watched == OK && !(got["m-1"] && got["m-2"]) {
			t.Errorf("listed: %v", got)
		}
		if watched != OK && got != nil {
			t.Errorf("concluded %v without the changes", got)
		}
	}
}
