package controller

import (
	"bytes"
	"encoding/json"
	"maps"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"stairrelay/internal/jobs"
	"stairrelay/internal/ownership"
	"stairrelay/internal/provisioning"
	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"

	"stairrelay/internal/grouprecord"
)

// Records of the version in production (deploy/service.toml), as its own code
// wrote them into testdata/production/records.json.

func loadProductionRecords(t *testing.T) map[string]json.RawMessage {
	t.Helper()
	text, err := os.ReadFile("testdata/production/records.json")
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]json.RawMessage{}
	if err := json.Unmarshal(text, &out); err != nil {
		t.Fatal(err)
	}
	for k, v := range out { // indented in the file
		var b bytes.Buffer
		if err := json.Compact(&b, v); err != nil {
			t.Fatal(err)
		}
		out[k] = b.Bytes()
	}
	return out
}

// TestProductionRecordsRead: all that the version in production has written is
// taken in as it was meant.
func TestProductionRecordsRead(t *testing.T) {
	recs := loadProductionRecords(t)
	b := newControllerHarness()
	dropTimers(b.Controller)
	for _, k := range slices.Sorted(maps.Keys(recs)) {
		kv := messages.KV{Key: k, Value: []byte(recs[k]), ModRevision: 31}
		b.store.keys[k] = kv
		switch {
		case strings.HasPrefix(k, "jobs/"):
			b.jobs.Records.Apply(kv, nil)
		case strings.HasPrefix(k, "accepts/"):
			b.jobs.AdmissionRecords.Apply(kv, nil)
		}
	}
	b.runFor(second)
	for id, done := range map[cluster.JobID]int{"j-000412": 4, "j-000413": 0, "j-000414": 5462 + 100, "j-000417": 0, "j-000418": 0} {
		if j := b.state.Jobs.Owned[id]; j == nil || j.CompletedCount != done || len(j.Spec.Dependencies) > 0 || j.Blocked || !j.IsActive() || j.ChunksLoading > 0 {
			t.Errorf("%s: %+v, want %d done", id, j, done)
		}
	}
	want := cluster.JobSpec{ID: "j-000412", Class: "train", Team: "red", Priority: cluster.Urgent, Tasks: 16, ResourceRequest: cluster.Resources{CPU: 8_000_000, GPU: 1_000_000, Memory: 64_000_000}, MachineTypes: []string{"g8"}, Zone: "a",
		Colocate: true, Spread: true, Spot: true, Image: "img-07", ImageGB: 6.2, RuntimeSeconds: 240, CheckpointSeconds: 30, SaveSeconds: 4, DeadlineSeconds: 900, SubmittedAt: 1_700_000_000_000}
	if j := b.state.Jobs.Owned["j-000412"]; !reflect.DeepEqual(j.Spec, want) {
		t.Errorf("read %+v", j.Spec)
	}
	for id, end := range map[cluster.JobID]cluster.JobStatus{"j-000415": cluster.JobDone, "j-000416": cluster.JobCancelled} {
		if k := b.state.Jobs.Known[id]; k == nil || k.FinalStatus != end || k.Tasks != 4 || !k.FinalRecorded {
			t.Errorf("%s: %+v, want %s", id, k, end)
		}
	}
	if b.state.Jobs.Known["j-000416"].ResourceRequest.CPU != 2_000_000 {
		t.Error("a cancelled job's need is lost")
	}
	for _, k := range []string{"groups/b1-30-1", "groups/b1-30-2"} {
		b.inventory.ApplyRecord(messages.KV{Key: k, Value: recs[k], ModRevision: 31}, b.state.Shards[0])
	}
	m1, m2, m3 := b.state.Machines["m-000001"], b.state.Machines["m-000002"], b.state.Machines["m-000003"]
	if m1 == nil || m2 == nil || m3 == nil || len(m1.Assignments) != 3 || m1.Address != "10.1.0.232:9000" || !m1.Spot || m1.Zone != "a" || !m2.Booting || !m3.ReleaseConfirmed || len(m3.Assignments) != 1 {
		t.Errorf("machines %+v, %+v, %+v", m1, m2, m3)
	} else if a := m1.Assignments[cluster.TaskID{Job: "j-000412", Index: 4}]; a == nil || a.Attempt != 30<<20|2 {
		t.Errorf("task 4 is listed as %+v", a)
	}
	var r provisioning.RequestRecord
	if json.Unmarshal(recs["rentals/r-b1-30-1"], &r) != nil || r != (provisioning.RequestRecord{Shard: 0, Type: "small", Zone: "a", Spot: true, Count: 3, WriteID: "b1-12"}) {
		t.Errorf("rental %+v", r)
	}
	var p ownership.ClaimRecord
	if json.Unmarshal(recs["parts/0"], &p) != nil || !reflect.DeepEqual(p, ownership.ClaimRecord{Owner: "n0", Term: 7, WriteID: "b1-13"}) {
		t.Errorf("part %+v", p)
	}
	var c provisioning.MachineTypesRecord
	if json.Unmarshal(recs["types"], &c) != nil || len(c.Types) != 1 || c.Types[0].SpotPrice != 0.07 || len(c.Types[0].Zones) != 2 || c.WriteID != "b1-14" {
		t.Errorf("types %+v", c)
	}
	for _, p := range b.state.Shards {
		if !p.Owned {
			t.Errorf("part %d was given up", p.ID)
		}
	}
}

// TestRecordsMatchProductionEncoding: what this version writes of jobs that await nothing is
// byte for byte what the version in production writes.
// Of the two forms of outcomes that version reads, ranges and a bitmap, this one
// writes the shorter, so a few outcomes may come as a bitmap.
func TestRecordsMatchProductionEncoding(t *testing.T) {
	productionForm := regexp.MustCompile(`^(|[0-9]+(-[0-9]+)?(,[0-9]+(-[0-9]+)?)*|b[A-Za-z0-9+/]+)$`)
	forms := map[bool]bool{}
	for key, old := range loadProductionRecords(t) {
		var rec any
		switch {
		case strings.HasPrefix(key, "jobs/"), strings.HasPrefix(key, "done/"):
			rec = &jobs.Record{}
		case strings.HasPrefix(key, "accepts/"):
			rec = &jobs.AdmissionRecord{}
		case strings.HasPrefix(key, "rentals/"):
			rec = &provisioning.RequestRecord{}
		case strings.HasPrefix(key, "parts/"):
			rec = &ownership.ClaimRecord{}
		case key == "types":
			rec = &provisioning.MachineTypesRecord{}
		case strings.HasPrefix(key, "groups/"):
			group, err := grouprecord.Decode(old)
			if err != nil {
				t.Fatal(err)
			}
			if v := grouprecord.Encode(group); !bytes.Equal(v, old) {
				t.Errorf("%s: wrote %s, was %s", key, v, old)
			}
			continue
		default:
			t.Fatalf("unknown record %s", key)
		}
		if err := json.Unmarshal(old, rec); err != nil {
			t.Fatalf("%s: %v", key, err)
		}
		if v, _ := json.Marshal(rec); !bytes.Equal(v, old) {
			t.Errorf("%s: wrote %.300s, was %.300s", key, v, old)
		}
		if j, ok := rec.(*jobs.Record); ok && j.Spec != nil && strings.HasPrefix(key, "jobs/") {
			taskStates := make([]uint8, min(j.Spec.Tasks, state.TasksPerChunk))
			state.DecodeCompleted(j.CompletedIndexes, len(taskStates), func(i int) { taskStates[i] = state.TaskCompletionStored })
			out, fits := state.EncodeCompleted(taskStates, 1<<20)
			again := make([]uint8, len(taskStates))
			if fits != len(taskStates) || !productionForm.MatchString(out) || !state.DecodeCompleted(out, len(taskStates), func(i int) { again[i] = state.TaskCompletionStored }) || !bytes.Equal(again, taskStates) {
				t.Errorf("%s: outcomes %.80s, were %.80s", key, out, j.CompletedIndexes)
			}
			forms[strings.HasPrefix(j.CompletedIndexes, "b")] = true
		}
	}
	if len(forms) != 2 {
		t.Error("the records don't show both forms of outcomes")
	}
	v, _ := json.Marshal(jobs.Record{Spec: &cluster.JobSpec{Dependencies: []cluster.JobID{}}})
	if strings.Contains(string(v), `"aw"`) {
		t.Errorf("an empty list is written: %s", v)
	}
}
