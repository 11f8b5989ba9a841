package peers

import (
	"os"
	"reflect"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
	"stairrelay/internal/messages"

	"github.com/fxamacker/cbor/v2"
)

// TestProductionPing: a call as the version in production encodes it is read,
// with level 0; ours has one field more, and the same version of the protocol.
func TestProductionPing(t *testing.T) {
	old, err := os.ReadFile("testdata/production/ping.cbor")
	if err != nil {
		t.Fatal(err)
	}
	m, err := Decode(old)
	if err != nil {
		t.Fatal(err)
	}
	load := fairshare.ShardLoad{Shard: 0, Available: 8_000_000, Booting: 4_000_000, Demand: [4]cluster.Amount{1, 2, 3, 4}}
	ping := &messages.Ping{
		InstanceID:         "b1",
		Shards:             []messages.ShardTerm{{Shard: 0, Term: 7}},
		StoreReachable:     true,
		WorkersReachable:   true,
		MillisSinceContact: map[cluster.NodeID]int64{"n2": 120},
		FailbackOffers:     []cluster.ShardID{2},
		WriteDemand:        3.5,
		CloudDemand:        1,
		ShardLoads:         []fairshare.ShardLoad{load},
		KnownTerms:         []cluster.Term{7, 3, 9},
	}
	want := messages.PeerMessage{Version: 2, From: "n1", Ping: ping}
	if !reflect.DeepEqual(m, want) {
		t.Errorf("read %+v with %+v", m, m.Ping)
	}
	fields := func(b []byte) map[string]any {
		var msg map[string]any
		if err := cbor.Unmarshal(b, &msg); err != nil {
			t.Fatal(err)
		}
		ping, ok := msg["Ping"].(map[any]any)
		if !ok {
			t.Fatalf("%T", msg["Ping"])
		}
		out := map[string]any{}
		for k, v := range ping {
			out[k.(string)] = v
		}
		return out
	}
	m.Ping.FeatureLevel = 1
	b, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	was, is := fields(old), fields(b)
	if was["Level"] != nil || is["Level"] == nil {
		t.Errorf("level: %v and %v", was["Level"], is["Level"])
	}
	delete(is, "Level")
	if !reflect.DeepEqual(was, is) {
		t.Errorf("were %v, are %v", was, is)
	}
}
