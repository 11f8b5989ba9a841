package simulation

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/exactjson"
	"stairrelay/internal/messages"
)

// TestProductionRecordsPassUnchanged checks that the filter does not change records
// written by the production version.
func TestProductionRecordsPassUnchanged(t *testing.T) {
	text, err := os.ReadFile("../controller/testdata/production/records.json")
	if err != nil {
		t.Fatal(err)
	}
	records := map[string]json.RawMessage{}
	if err := exactjson.Unmarshal(text, &records); err != nil {
		t.Fatal(err)
	}
	if len(records) < 10 {
		t.Fatalf("%d records, want at least 10", len(records))
	}
	for key, value := range records {
		if got := FilterProductionRecord(key, value); !bytes.Equal(got, value) {
			t.Errorf("%s: got %s, want %s", key, got, value)
		}
	}
}

// TestProductionVersionIgnoresNewFields checks that the filter removes exactly the
// fields that the production version does not know.
func TestProductionVersionIgnoresNewFields(t *testing.T) {
	for key, test := range map[string]struct{ value, want string }{
		"jobs/j-1":    {`{"s":{"c":"x","aw":["j-0"]},"w":"b1-1"}`, `{"s":{"c":"x"},"w":"b1-1"}`},
		"accepts/b-1": {`{"j":[{"id":"j-1","s":{"aw":["j-0"],"c":"x"}},{"id":"j-2","s":{"c":"y"}}],"w":"b1-2"}`, `{"j":[{"id":"j-1","s":{"c":"x"}},{"id":"j-2","s":{"c":"y"}}],"w":"b1-2"}`},
		"parts/0":     {`{"holder":"n0","term":7,"up":["n0"],"w":"b1-3"}`, `{"holder":"n0","term":7,"w":"b1-3"}`},
	} {
		if got := FilterProductionRecord(key, []byte(test.value)); string(got) != test.want {
			t.Errorf("%s: read as %s, want %s", key, got, test.want)
		}
	}
}

// TestProductionVersionSendsOldMessages checks that new fields are removed from sent
// messages and that the filter does not modify the original message.
func TestProductionVersionSendsOldMessages(t *testing.T) {
	ping := messages.PeerCall{Message: messages.PeerMessage{Ping: &messages.Ping{InstanceID: "b1", FeatureLevel: 1}}}
	call, ok := filterEffect(ProductionVersion, ping).(messages.PeerCall)
	if !ok {
		t.Fatal("the filter changed the effect's type")
	}
	sent := call.Message.Ping
	if sent.FeatureLevel != 0 || sent.InstanceID != "b1" {
		t.Errorf("sent %+v", sent)
	}
	if ping.Message.Ping.FeatureLevel != 1 {
		t.Error("the filter modified the original message")
	}
}

// TestProductionVersionReceivesNoNewFields checks that new fields are removed from messages
// that the production version receives, but not from those that the current version receives.
func TestProductionVersionReceivesNoNewFields(t *testing.T) {
	proxied := messages.PeerRequest{Message: messages.PeerMessage{Submission: &messages.ProxiedSubmission{ID: "j-1", Spec: cluster.JobSpec{Team: "red", Dependencies: []cluster.JobID{"j-0"}}}}}
	read := filterSubmission(t, ProductionVersion, proxied)
	if len(read.Spec.Dependencies) != 0 || read.Spec.Team != "red" {
		t.Errorf("read %+v", read)
	}
	if same := filterSubmission(t, CurrentVersion, proxied); len(same.Spec.Dependencies) != 1 {
		t.Error("the filter changed a message for the current version")
	}
}

// filterSubmission returns a proxied submission as the given version reads it.
func filterSubmission(t *testing.T, version Version, event messages.Event) *messages.ProxiedSubmission {
	t.Helper()
	request, ok := filterEvent(version, event).(messages.PeerRequest)
	if !ok {
		t.Fatal("the filter changed the event's type")
	}
	return request.Message.Submission
}
