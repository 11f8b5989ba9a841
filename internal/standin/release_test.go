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
		if got := ProductionRecord(key, value); !bytes.Equal(got, value) {
			t.Errorf("%s: %s, was %s", key, got, value)
		}
	}
}

// TestProductionReleaseIgnoresNewFields: what that release does not know is
// gone when it has read a record or a message, and all else is still there.
func TestProductionReleaseIgnoresNewFields(t *testing.T) {
	for key, c := range map[string]struct{ value, want string }{
		"jobs/j-1":    {`{"s":{"c":"x","aw":["j-0"]},"w":"b1-1"}`, `{"s":{"c":"x"},"w":"b1-1"}`},
		"accepts/b-1": {`{"j":[{"id":"j-1","s":{"aw":["j-0"],"c":"x"}},{"id":"j-2","s":{"c":"y"}}],"w":"b1-2"}`, `{"j":[{"id":"j-1","s":{"c":"x"}},{"id":"j-2","s":{"c":"y"}}],"w":"b1-2"}`},
		"parts/0":     {`{"holder":"n0","term":7,"up":["n0"],"w":"b1-3"}`, `{"holder":"n0","term":7,"w":"b1-3"}`},
	} {
		if got := ProductionRecord(key, []byte(c.value)); string(got) != c.want {
			t.Errorf("%s: read as %s, want %s", key, got, c.want)
		}
	}
	ping := core.PeerCall{Msg: core.PeerMsg{Ping: &core.Ping{Boot: "b1", Level: 1}}}
	sent := releaseEffect(ProductionRelease, ping).(core.PeerCall).Msg.Ping
	if sent.Level != 0 || sent.Boot != "b1" {
		t.Errorf("sent %+v", sent)
	}
	if ping.Msg.Ping.Level != 1 {
		t.Error("the filter changed the message itself")
	}
	handedOn := core.PeerAsk{Msg: core.PeerMsg{Submit: &core.HandedOn{ID: "j-1", Spec: core.JobSpec{Team: "red", Awaits: []core.JobID{"j-0"}}}}}
	read := releaseEvent(ProductionRelease, handedOn).(core.PeerAsk).Msg.Submit
	if len(read.Spec.Awaits) != 0 || read.Spec.Team != "red" {
		t.Errorf("read %+v", read)
	}
	if same := releaseEvent(CurrentRelease, handedOn).(core.PeerAsk).Msg.Submit; len(same.Spec.Awaits) != 1 {
		t.Error("the current release is filtered")
	}
}
