package inventory

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// TestRecordedMachinesReadInPages checks that changes made while the groups are read in pages
// are read too. Otherwise a machine that changes groups could be treated as an orphan.
func TestRecordedMachinesReadInPages(t *testing.T) {
	for _, test := range []struct {
		name           string
		changesOutcome messages.Outcome
		listed         bool
	}{
		{"changes read", messages.OK, true},
		{"changes not read", messages.NotApplied, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, "n0")
			called := false
			var got map[cluster.MachineID]bool
			h.ReadRecordedMachines(func(recorded *state.RecordedMachines) {
				called = true
				if recorded != nil {
					got = recorded.Listed
				}
			})
			if changesRead := h.answerReads(t, test.changesOutcome); !changesRead || !called {
				t.Fatalf("changes read: %v, handler called: %v", changesRead, called)
			}
			if test.listed && !(got["m-1"] && got["m-2"]) {
				t.Errorf("listed machines are %v, want m-1 and m-2", got)
			}
			if !test.listed && got != nil {
				t.Errorf("listed machines are %v although the changes were not read", got)
			}
		})
	}
}

// answerReads answers all reads. The list of groups is paginated and contains m-1, and the
// changes since its first page contain m-2. It reports whether the changes were read.
func (h *harness) answerReads(t *testing.T, changesOutcome messages.Outcome) bool {
	t.Helper()
	changesRead := false
	for i := 0; i < len(h.loop.Effects()); i++ {
		switch effect := h.loop.Effects()[i].(type) {
		case messages.StoreList:
			reply := messages.ListReply{Outcome: messages.OK, Revision: 5}
			if effect.Prefix == "groups/" {
				reply.Items, reply.Paginated = []messages.KV{groupItem("b", "m-1")}, true
			}
			h.loop.Deliver(messages.Reply{Call: effect.Call, Body: reply})
		case messages.StoreWatch:
			if changesRead = true; effect.SinceRevision != 5 || effect.Prefix != "groups/" {
				t.Errorf("read changes of %s since revision %d, want groups/ since 5", effect.Prefix, effect.SinceRevision)
			}
			items := []messages.KV{groupItem("a", "m-2"), {Key: "groups/x"}}
			h.loop.Deliver(messages.Reply{Call: effect.Call, Body: messages.WatchReply{Outcome: changesOutcome, Items: items, Revision: 9}})
		}
	}
	return changesRead
}

// groupItem returns the stored record of a group of shard 0 with the given machines.
func groupItem(id string, machines ...cluster.MachineID) messages.KV {
	var entries []grouprecord.Machine
	for _, m := range machines {
		entries = append(entries, grouprecord.Machine{ID: m, Kind: grouprecord.Kind{Type: "small", Zone: "a"}})
	}
	value := grouprecord.Encode(grouprecord.Record{ShardID: 0, Machines: entries, WriteID: "w"})
	return messages.KV{Key: "groups/" + id, Value: value, ModRevision: 7}
}

// TestRequestedKind checks that the kind is decoded from stored provisioning requests, and
// that an invalid value of any field is an error.
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
