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

// TestProductionPing checks that a ping as the version in production encodes it is read,
// with feature level 0. Ours has one field more and the same version of the protocol.
func TestProductionPing(t *testing.T) {
	productionFrame, err := os.ReadFile("testdata/production/ping.cbor")
	if err != nil {
		t.Fatal(err)
	}
	message, err := Decode(productionFrame)
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
		t.Errorf("read %+v with %+v", message, message.Ping)
	}
	message.Ping.FeatureLevel = 1
	frame, err := Encode(message)
	if err != nil {
		t.Fatal(err)
	}
	production, current := pingFields(t, productionFrame), pingFields(t, frame)
	if production["Level"] != nil || current["Level"] == nil {
		t.Errorf("level: %v and %v", production["Level"], current["Level"])
	}
	delete(current, "Level")
	if !reflect.DeepEqual(production, current) {
		t.Errorf("fields were %v, are %v", production, current)
	}
}

// pingFields returns the encoded fields of the ping in a message.
func pingFields(t *testing.T, frame []byte) map[string]any {
	t.Helper()
	var message map[string]any
	if err := cbor.Unmarshal(frame, &message); err != nil {
		t.Fatal(err)
	}
	ping, ok := message["Ping"].(map[any]any)
	if !ok {
		t.Fatalf("the ping is a %T", message["Ping"])
	}
	fields := map[string]any{}
	for key, value := range ping {
		name, ok := key.(string)
		if !ok {
			t.Fatalf("the name of a field is a %T", key)
		}
		fields[name] = value
	}
	return fields
}
