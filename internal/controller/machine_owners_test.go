package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"

	"stairrelay/internal/grouprecord"
)

// TestMachineOwnersReadInPages: groups read in several pages may miss a machine that
// changed groups meanwhile; taken for nobody's, it would be listed twice. The
// changes since the first page show it, and without them nothing is concluded.
func TestMachineOwnersReadInPages(t *testing.T) {
	for _, watched := range []messages.Outcome{messages.OK, messages.NotApplied} {
		c := New(Config{Self: "n0", Nodes: []cluster.NodeID{"n0"}, StoreRPS: 100, WriteRPS: 100, MaxValueBytes: 4096, MaxTxnOps: 12, Tuning: DefaultTuning()})
		record := func(key string, ids ...cluster.MachineID) messages.KV {
			var ms []grouprecord.Machine
			for _, id := range ids {
				ms = append(ms, grouprecord.Machine{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}})
			}
			return messages.KV{Key: "groups/" + key, Value: grouprecord.Encode(grouprecord.Record{ShardID: 0, Machines: ms, WriteID: "w"}), ModRevision: 7}
		}
		asked, ended := false, false
		var got map[cluster.MachineID]bool
		c.readRecordedMachines(func(rec *recordedMachines) {
			ended = true
			if rec != nil {
				got = rec.listed
			}
		})
		for i := 0; i < len(c.loop.Effects()); i++ {
			switch f := c.loop.Effects()[i].(type) {
			case messages.StoreList:
				r := messages.ListReply{Outcome: messages.OK, Revision: 5}
				if f.Prefix == "groups/" {
					r.Items, r.Paginated = []messages.KV{record("b", "m-1")}, true
				}
				c.loop.Deliver(messages.Reply{Call: f.Call, Body: r})
			case messages.StoreWatch:
				if asked = true; f.SinceRevision != 5 || f.Prefix != "groups/" {
					t.Errorf("asked for changes of %s since %d", f.Prefix, f.SinceRevision)
				}
				c.loop.Deliver(messages.Reply{Call: f.Call, Body: messages.WatchReply{Outcome: watched, Items: []messages.KV{record("a", "m-2"), {Key: "groups/x"}}, Revision: 9}})
			}
		}
		if !asked || !ended {
			t.Fatalf("asked %v, ended %v", asked, ended)
		}
		if watched == messages.OK && !(got["m-1"] && got["m-2"]) {
			t.Errorf("listed: %v", got)
		}
		if watched != messages.OK && got != nil {
			t.Errorf("concluded %v without the changes", got)
		}
	}
}
