package inventory

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
)

// TestMachineOwnersReadInPages: groups read in several pages may miss a machine that
// changed groups meanwhile; taken for an orphan, it would be listed twice. The changes
// since the first page show it, and without them nothing is concluded.
func TestMachineOwnersReadInPages(t *testing.T) {
	for _, watched := range []messages.Outcome{messages.OK, messages.NotApplied} {
		h := newHarness(t, "n0")
		asked, ended := false, false
		var got map[cluster.MachineID]bool
		h.ReadRecordedMachines(func(recorded *RecordedMachines) {
			ended = true
			if recorded != nil {
				got = recorded.Listed
			}
		})
		for i := 0; i < len(h.loop.Effects()); i++ {
			switch effect := h.loop.Effects()[i].(type) {
			case messages.StoreList:
				reply := messages.ListReply{Outcome: messages.OK, Revision: 5}
				if effect.Prefix == "groups/" {
					reply.Items, reply.Paginated = []messages.KV{groupItem("b", "m-1")}, true
				}
				h.loop.Deliver(messages.Reply{Call: effect.Call, Body: reply})
			case messages.StoreWatch:
				if asked = true; effect.SinceRevision != 5 || effect.Prefix != "groups/" {
					t.Errorf("asked for changes of %s since %d", effect.Prefix, effect.SinceRevision)
				}
				items := []messages.KV{groupItem("a", "m-2"), {Key: "groups/x"}}
				h.loop.Deliver(messages.Reply{Call: effect.Call, Body: messages.WatchReply{Outcome: watched, Items: items, Revision: 9}})
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

// groupItem is the stored record of a group of shard 0 with the given machines.
func groupItem(id string, machines ...cluster.MachineID) messages.KV {
	var lines []grouprecord.Machine
	for _, m := range machines {
		lines = append(lines, grouprecord.Machine{ID: m, Kind: grouprecord.Kind{Type: "small", Zone: "a"}})
	}
	value := grouprecord.Encode(grouprecord.Record{ShardID: 0, Machines: lines, WriteID: "w"})
	return messages.KV{Key: "groups/" + id, Value: value, ModRevision: 7}
}
