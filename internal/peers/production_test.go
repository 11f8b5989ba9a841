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

// TestProductionPing checks that a ping of the release in production is decoded, and that
// the current release encodes the same fields plus the feature level.
func TestProductionPing(t *testing.T) {
	productionData, err := os.ReadFile("testdata/production/ping.cbor")
	if err != nil {
		t.Fatal(err)
	}
	message, err := Decode(productionData)
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
	if !reflect.DeepEqual(message, want) {
		t.Errorf("decoded %+v with ping %+v", message, message.Ping)
	}
	message.Ping.FeatureLevel = 1
	data, err := Encode(message)
	if err != nil {
		t.Fatal(err)
	}
	production, current := pingFields(t, productionData), pingFields(t, data)
	if production["Level"] != nil || current["Level"] == nil {
		t.Errorf("feature level %v in production, %v now; want none and 1", production["Level"], current["Level"])
	}
	delete(current, "Level")
	if !reflect.DeepEqual(production, current) {
		t.Errorf("fields in production %v, now %v", production, current)
	}
}

// pingFields returns the encoded fields of the ping in a message.
func pingFields(t *testing.T, data []byte) map[string]any {
	t.Helper()
	var message map[string]any
	if err := cbor.Unmarshal(data, &message); err != nil {
		t.Fatal(err)
	}
	ping, ok := message["Ping"].(map[any]any)
	if !ok {
		t.Fatalf("ping is a %T, want a map", message["Ping"])
	}
	fields := map[string]any{}
	for key, value := range ping {
		name, ok := key.(string)
		if !ok {
			t.Fatalf("field name is a %T, want a string", key)
		}
		fields[name] = value
	}
	return fields
}
