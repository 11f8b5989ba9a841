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
			b.applyJobRecord(kv, nil)
		case strings.HasPrefix(k, "accepts/"):
			b.applyAdmissionRecord(kv, nil)
		}
	}
	b.runFor(second)
	for id, done := range map[cluster.JobID]int{"j-000412": 4, "j-000413": 0, "j-000414": 5462 + 100, "j-000417": 0, "j-000418": 0} {
		if j := b.jobs.owned[id]; j == nil || j.completedCount != done || len(j.spec.Dependencies) > 0 || j.blocked || !j.isActive() || j.chunksLoading > 0 {
			t.Errorf("%s: %+v, want %d done", id, j, done)
		}
	}
	want := cluster.JobSpec{ID: "j-000412", Class: "train", Team: "red", Priority: cluster.Urgent, Tasks: 16, ResourceRequest: cluster.Resources{CPU: 8_000_000, GPU: 1_000_000, Memory: 64_000_000}, MachineTypes: []string{"g8"}, Zone: "a",
		Colocate: true, Spread: true, Spot: true, Image: "img-07", ImageGB: 6.2, RuntimeSeconds: 240, CheckpointSeconds: 30, SaveSeconds: 4, DeadlineSeconds: 900, SubmittedAt: 1_700_000_000_000}
	if j := b.jobs.owned["j-000412"]; !reflect.DeepEqual(j.spec, want) {
		t.Errorf("read %+v", j.spec)
	}
	for id, end := range map[cluster.JobID]cluster.JobStatus{"j-000415": cluster.JobDone, "j-000416": cluster.JobCancelled} {
		if k := b.jobs.known[id]; k == nil || k.finalStatus != end || k.tasks != 4 || !k.finalRecorded {
			t.Errorf("%s: %+v, want %s", id, k, end)
		}
	}
	if b.jobs.known["j-000416"].resourceRequest.CPU != 2_000_000 {
		t.Error("a cancelled job's need is lost")
	}
	for _, k := range []string{"groups/b1-30-1", "groups/b1-30-2"} {
		b.applyGroupRecord(messages.KV{Key: k, Value: recs[k], ModRevision: 31}, b.shards[0])
	}
	m1, m2, m3 := b.machines["m-000001"], b.machines["m-000002"], b.machines["m-000003"]
	if m1 == nil || m2 == nil || m3 == nil || len(m1.assignments) != 3 || m1.address != "10.1.0.232:9000" || !m1.spot || m1.zone != "a" || !m2.booting || !m3.releaseConfirmed || len(m3.assignments) != 1 {
		t.Errorf("machines %+v, %+v, %+v", m1, m2, m3)
	} else if a := m1.assignments[cluster.TaskID{Job: "j-000412", Index: 4}]; a == nil || a.attempt != 30<<20|2 {
		t.Errorf("task 4 is listed as %+v", a)
	}
	var r provisioningRecord
	if json.Unmarshal(recs["rentals/r-b1-30-1"], &r) != nil || r != (provisioningRecord{0, "small", "a", true, 3, "b1-12"}) {
		t.Errorf("rental %+v", r)
	}
	var p shardRecord
	if json.Unmarshal(recs["parts/0"], &p) != nil || !reflect.DeepEqual(p, shardRecord{Owner: "n0", Term: 7, WriteID: "b1-13"}) {
		t.Errorf("part %+v", p)
	}
	var c machineTypesRecord
	if json.Unmarshal(recs["types"], &c) != nil || len(c.Types) != 1 || c.Types[0].SpotPrice != 0.07 || len(c.Types[0].Zones) != 2 || c.WriteID != "b1-14" {
		t.Errorf("types %+v", c)
	}
	for _, p := range b.shards {
		if !p.owned {
			t.Errorf("part %d was given up", p.id)
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
			rec = &jobRecord{}
		case strings.HasPrefix(key, "accepts/"):
			rec = &admissionRecord{}
		case strings.HasPrefix(key, "rentals/"):
			rec = &provisioningRecord{}
		case strings.HasPrefix(key, "parts/"):
			rec = &shardRecord{}
		case key == "types":
			rec = &machineTypesRecord{}
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
		if j, ok := rec.(*jobRecord); ok && j.Spec != nil && strings.HasPrefix(key, "jobs/") {
			state := make([]uint8, min(j.Spec.Tasks, tasksPerChunk))
			decodeCompleted(j.CompletedIndexes, len(state), func(i int) { state[i] = taskCompletionStored })
			out, fits := encodeCompleted(state, 1<<20)
			again := make([]uint8, len(state))
			if fits != len(state) || !productionForm.MatchString(out) || !decodeCompleted(out, len(state), func(i int) { again[i] = taskCompletionStored }) || !bytes.Equal(again, state) {
				t.Errorf("%s: outcomes %.80s, were %.80s", key, out, j.CompletedIndexes)
			}
			forms[strings.HasPrefix(j.CompletedIndexes, "b")] = true
		}
	}
	if len(forms) != 2 {
		t.Error("the records don't show both forms of outcomes")
	}
	v, _ := json.Marshal(jobRecord{Spec: &cluster.JobSpec{Dependencies: []cluster.JobID{}}})
	if strings.Contains(string(v), `"aw"`) {
		t.Errorf("an empty list is written: %s", v)
	}
}
