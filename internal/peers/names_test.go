package peers

import (
	"reflect"
	"strings"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
	"stairrelay/internal/messages"

	"github.com/fxamacker/cbor/v2"
)

// fullMessage sets every field of a message.
var fullMessage = messages.PeerMessage{
	Version: 2,
	From:    "n1",
	Ping: &messages.Ping{
		InstanceID:         "b1",
		Shards:             []messages.ShardTerm{{Shard: 1, Term: 7}},
		StoreReachable:     true,
		MillisSinceContact: map[cluster.NodeID]int64{"n2": 120},
		FailbackOffers:     []cluster.ShardID{2},
		TransferOffers:     []messages.TransferOffer{{Key: "groups/g", ModRevision: 9, Recipient: 1, Kinds: []messages.MachineKindCount{{Type: "x", Zone: "a", Spot: true, Count: 3}}}},
		WriteDemand:        3.5,
		ShardLoads:         []fairshare.ShardLoad{{Shard: 1, Available: 8, Demand: [4]cluster.Amount{1, 2, 3, 4}}},
		FeatureLevel:       1,
		KnownTerms:         []cluster.Term{7, 3},
	},
	Notice:     &messages.JobNotice{Items: []messages.KV{{Key: "jobs/j-1", Value: []byte(`{}`), ModRevision: 4}}},
	Query:      &messages.JobQuery{IDs: []cluster.JobID{"j-1"}},
	Views:      []cluster.JobView{{ID: "j-1", Status: cluster.JobRunning, Done: 1, Running: 2}},
	Cancel:     "j-2",
	Submission: &messages.ProxiedSubmission{ID: "j-3", Spec: cluster.JobSpec{Class: "c", Team: "red", Tasks: 1, Spot: true, Dependencies: []cluster.JobID{"j-1"}}},
	Status:     200,
	RetryAfter: 3,
	Reason:     "r",
}

// TestFieldNamesMatchExactly guards against the fault of review/5 in messages between
// controllers: a field whose name differs from a known one by case must be ignored.
func TestFieldNamesMatchExactly(t *testing.T) {
	data, err := Encode(fullMessage)
	if err != nil {
		t.Fatal(err)
	}
	var document any
	if err := cbor.Unmarshal(data, &document); err != nil {
		t.Fatal(err)
	}
	addOtherSpellings(document)
	extended, err := cbor.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	if message, err := Decode(extended); err != nil || !reflect.DeepEqual(message, fullMessage) {
		t.Errorf("with other spellings: decoded %+v, %v; want %+v", message, err, fullMessage)
	}
}

// addOtherSpellings adds to each map members whose names differ by case and whose values
// have a type that no field has. It leaves out the map whose keys are node IDs.
func addOtherSpellings(value any) {
	switch value := value.(type) {
	case []any:
		for _, element := range value {
			addOtherSpellings(element)
		}
	case map[any]any:
		for key, member := range value {
			name, isName := key.(string)
			if !isName || name == "n2" {
				continue
			}
			addOtherSpellings(member)
			for _, other := range []string{strings.ToLower(name), strings.ToUpper(name)} {
				if _, known := value[other]; !known {
					value[other] = [][]bool{{true}}
				}
			}
		}
	}
}

// TestProductionFieldNames checks the names of fields that the release in production sends
// but testdata/production/ping.cbor does not contain.
func TestProductionFieldNames(t *testing.T) {
	type fields = map[string]any
	data, err := cbor.Marshal(fields{
		"Version": 2, "From": "n1",
		"Ping":  fields{"Groups": []fields{{"Key": "groups/g", "Mark": 9, "To": 1, "Kinds": []fields{{"Type": "x", "Zone": "a", "Spot": true, "N": 3}}}}},
		"Tell":  fields{"Keys": []fields{{"Key": "jobs/j-1", "Value": []byte(`{}`), "Mark": 4}}},
		"Ask":   fields{"IDs": []string{"j-1"}},
		"Views": []fields{{"ID": "j-1", "Status": "running", "Done": 1, "Running": 2}}, "Cancel": "j-2",
		"Submit": fields{"ID": "j-3", "Spec": fields{"c": "c", "tm": "red", "n": 1, "so": true, "r": fields{"CPU": 1, "GPU": 2, "Mem": 3}}},
		"Status": 200, "After": 3, "Why": "r",
	})
	if err != nil {
		t.Fatal(err)
	}
	want := fullMessage
	want.Ping = &messages.Ping{TransferOffers: fullMessage.Ping.TransferOffers}
	want.Submission = &messages.ProxiedSubmission{ID: "j-3", Spec: cluster.JobSpec{
		Class: "c", Team: "red", Tasks: 1, Spot: true, ResourceRequest: cluster.Resources{CPU: 1, GPU: 2, Memory: 3},
	}}
	if message, err := Decode(data); err != nil || !reflect.DeepEqual(message, want) {
		t.Errorf("decoded %+v, %v; want %+v", message, err, want)
	}
}
