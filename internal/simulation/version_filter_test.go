package simulation

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// TestProductionRecordsPassUnchanged: the filter that models the production
// version changes nothing in records which that version wrote itself.
func TestProductionRecordsPassUnchanged(t *testing.T) {
	text, err := os.ReadFile("../controller/testdata/production/records.json")
	if err != nil {
		t.Fatal(err)
	}
	records := map[string]json.RawMessage{}
	if err := json.Unmarshal(text, &records); err != nil {
		t.Fatal(err)
	}
	if len(records) < 10 {
		t.Fatalf("only %d records", len(records))
	}
	for key, value := range records {
		if got := FilterProductionRecord(key, value); !bytes.Equal(got, value) {
			t.Errorf("%s: %s, was %s", key, got, value)
		}
	}
}

// TestProductionVersionIgnoresNewFields: what that version does not know is gone
// when it has read a record, and all else is still there.
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

// TestProductionVersionSendsOldMessages: an upgraded peer gets from that version only what
// it knows, and the message that was given to the filter stays as it is.
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
		t.Error("the filter changed the message itself")
	}
}

// TestProductionVersionReadsOldMessages: that version reads of a message only what it
// knows; the current version reads all of it.
func TestProductionVersionReadsOldMessages(t *testing.T) {
	proxied := messages.PeerRequest{Message: messages.PeerMessage{Submission: &messages.ProxiedSubmission{ID: "j-1", Spec: cluster.JobSpec{Team: "red", Dependencies: []cluster.JobID{"j-0"}}}}}
	read := filterSubmission(t, ProductionVersion, proxied)
	if len(read.Spec.Dependencies) != 0 || read.Spec.Team != "red" {
		t.Errorf("read %+v", read)
	}
	if same := filterSubmission(t, CurrentVersion, proxied); len(same.Spec.Dependencies) != 1 {
		t.Error("the current version is filtered")
	}
}

// filterSubmission returns a proxied submission as a version reads it.
func filterSubmission(t *testing.T, version Version, event messages.Event) *messages.ProxiedSubmission {
	t.Helper()
	request, ok := filterEvent(version, event).(messages.PeerRequest)
	if !ok {
		t.Fatal("the filter changed the event's type")
	}
	return request.Message.Submission
}
