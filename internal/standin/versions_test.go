package standin

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"stairrelay/internal/core"
)

// TestProductionRecordsPassUnchanged: the filter that models the production
// release changes nothing in records which that release wrote itself.
func TestProductionRecordsPassUnchanged(t *testing.T) {
	text, err := os.ReadFile("../core/testdata/production/records.json")
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

// TestProductionReleaseIgnoresNewFields: what that release does not know is
// gone when it has read a record or a message, and all else is still there.
func TestProductionVersionIgnoresNewFields(t *testing.T) {
	for key, c := range map[string]struct{ value, want string }{
		"jobs/j-1":    {`{"s":{"c":"x","aw":["j-0"]},"w":"b1-1"}`, `{"s":{"c":"x"},"w":"b1-1"}`},
		"accepts/b-1": {`{"j":[{"id":"j-1","s":{"aw":["j-0"],"c":"x"}},{"id":"j-2","s":{"c":"y"}}],"w":"b1-2"}`, `{"j":[{"id":"j-1","s":{"c":"x"}},{"id":"j-2","s":{"c":"y"}}],"w":"b1-2"}`},
		"parts/0":     {`{"holder":"n0","term":7,"up":["n0"],"w":"b1-3"}`, `{"holder":"n0","term":7,"w":"b1-3"}`},
	} {
		if got := FilterProductionRecord(key, []byte(c.value)); string(got) != c.want {
			t.Errorf("%s: read as %s, want %s", key, got, c.want)
		}
	}
	ping := core.PeerCall{Message: core.PeerMessage{Ping: &core.Ping{InstanceID: "b1", FeatureLevel: 1}}}
	sent := filterEffect(ProductionVersion, ping).(core.PeerCall).Message.Ping
	if sent.FeatureLevel != 0 || sent.InstanceID != "b1" {
		t.Errorf("sent %+v", sent)
	}
	if ping.Message.Ping.FeatureLevel != 1 {
		t.Error("the filter changed the message itself")
	}
	handedOn := core.PeerRequest{Message: core.PeerMessage{Submission: &core.ProxiedSubmission{ID: "j-1", Spec: core.JobSpec{Team: "red", Dependencies: []core.JobID{"j-0"}}}}}
	read := filterEvent(ProductionVersion, handedOn).(core.PeerRequest).Message.Submission
	if len(read.Spec.Dependencies) != 0 || read.Spec.Team != "red" {
		t.Errorf("read %+v", read)
	}
	if same := filterEvent(CurrentVersion, handedOn).(core.PeerRequest).Message.Submission; len(same.Spec.Dependencies) != 1 {
		t.Error("the current release is filtered")
	}
}
