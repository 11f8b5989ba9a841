package inventory

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// TestMachineOwnersReadInPages: groups read in several pages may miss a machine that
// changed groups meanwhile; taken for an orphan, it would be listed twice. The changes
// since the first page show it, and without them nothing is concluded.
func TestMachineOwnersReadInPages(t *testing.T) {
	for _, test := range []struct {
		name    string
		watched messages.Outcome
		listed  bool
	}{
		{"changes read", messages.OK, true},
		{"changes not read", messages.NotApplied, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, "n0")
			ended := false
			var got map[cluster.MachineID]bool
			h.ReadRecordedMachines(func(recorded *state.RecordedMachines) {
				ended = true
				if recorded != nil {
					got = recorded.Listed
				}
			})
			if asked := h.answerReads(t, test.watched); !asked || !ended {
				t.Fatalf("asked %v, ended %v", asked, ended)
			}
			if test.listed && !(got["m-1"] && got["m-2"]) {
				t.Errorf("listed: %v", got)
			}
			if !test.listed && got != nil {
				t.Errorf("concluded %v without the changes", got)
			}
		})
	}
}

// answerReads answers all reads: the groups come in pages, of which the first lists m-1,
// and the changes since then list m-2. It tells whether the changes were asked for.
func (h *harness) answerReads(t *testing.T, watched messages.Outcome) bool {
	t.Helper()
	asked := false
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
	return asked
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

// TestRequestedKind: the kind of a provisioning request is read from its record as it is
// stored; a record any field of which makes no sense is an error, as then nothing can be
// concluded from it.
func TestRequestedKind(t *testing.T) {
	for _, test := range []struct {
		record string
		kind   grouprecord.Kind
		valid  bool
	}{
		{`{"p":1,"f":"small","y":"a","s":true,"n":3,"w":"b1-12"}`, grouprecord.Kind{Type: "small", Zone: "a", Spot: true}, true},
		{`{"p":1,"f":"small","y":"a","n":3,"w":"b1-12"}`, grouprecord.Kind{Type: "small", Zone: "a"}, true},
		{`{"p":"1","f":"small","y":"a","n":3,"w":"b1-12"}`, grouprecord.Kind{}, false},
		{`{"p":1,"f":"small","y":"a","n":"3","w":"b1-12"}`, grouprecord.Kind{}, false},
		{`{"p":1,"f":"small"`, grouprecord.Kind{}, false},
	} {
		kind, err := requestedKind([]byte(test.record))
		if (err == nil) != test.valid || test.valid && kind != test.kind {
			t.Errorf("%s: %v, %v", test.record, kind, err)
		}
	}
}
