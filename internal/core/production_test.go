package core

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"stairrelay/internal/grouprecord"
)

// Records of the version in production (deploy/service.toml), as its own code
// wrote them into testdata/production/records.json.

func productionRecords(t *testing.T) map[string]json.RawMessage {
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
	recs := productionRecords(t)
	b := newCoreHarness()
	b.timers = timerQueue{}
	for _, k := range sortedKeys(recs) {
		kv := KV{k, []byte(recs[k]), 31}
		b.store.keys[k] = kv
		switch {
		case strings.HasPrefix(k, "jobs/"):
			b.learnJob(kv, nil)
		case strings.HasPrefix(k, "accepts/"):
			b.learnAccepted(kv, nil)
		}
	}
	b.play(second)
	for id, done := range map[JobID]int{"j-000412": 4, "j-000413": 0, "j-000414": 5462 + 100, "j-000417": 0, "j-000418": 0} {
		if j := b.jobs.held[id]; j == nil || j.done != done || len(j.spec.Awaits) > 0 || j.waiting || !j.active() || j.loading > 0 {
			t.Errorf("%s: %+v, want %d done", id, j, done)
		}
	}
	want := JobSpec{ID: "j-000412", Class: "train", Team: "red", Priority: Urgent, Tasks: 16, Need: Res{CPU: 8_000_000, GPU: 1_000_000, Mem: 64_000_000}, Types: []string{"g8"}, Zone: "a",
		SamePlace: true, Scatter: true, Spot: true, Image: "img-07", ImageGB: 6.2, RuntimeS: 240, CheckpntS: 30, SaveS: 4, DeadlineS: 900, Submitted: 1_700_000_000_000}
	if j := b.jobs.held["j-000412"]; !reflect.DeepEqual(j.spec, want) {
		t.Errorf("read %+v", j.spec)
	}
	for id, end := range map[JobID]Status{"j-000415": StDone, "j-000416": StCancelled} {
		if k := b.jobs.known[id]; k == nil || k.final != end || k.tasks != 4 || !k.stored {
			t.Errorf("%s: %+v, want %s", id, k, end)
		}
	}
	if b.jobs.known["j-000416"].need.CPU != 2_000_000 {
		t.Error("a cancelled job's need is lost")
	}
	for _, k := range []string{"groups/b1-30-1", "groups/b1-30-2"} {
		b.learnGroup(KV{k, recs[k], 31}, b.parts[0])
	}
	m1, m2, m3 := b.machines["m-000001"], b.machines["m-000002"], b.machines["m-000003"]
	if m1 == nil || m2 == nil || m3 == nil || len(m1.assigns) != 3 || m1.addr != "10.1.0.232:9000" || !m1.spot || m1.zone != "a" || !m2.booting || !m3.returned || len(m3.assigns) != 1 {
		t.Errorf("machines %+v, %+v, %+v", m1, m2, m3)
	} else if a := m1.assigns[TaskID{Job: "j-000412", Index: 4}]; a == nil || a.attempt != 30<<20|2 {
		t.Errorf("task 4 is listed as %+v", a)
	}
	var r rentalRecord
	if json.Unmarshal(recs["rentals/r-b1-30-1"], &r) != nil || r != (rentalRecord{0, "small", "a", true, 3, "b1-12"}) {
		t.Errorf("rental %+v", r)
	}
	var p partRecord
	if json.Unmarshal(recs["parts/0"], &p) != nil || !reflect.DeepEqual(p, partRecord{Holder: "n0", Term: 7, W: "b1-13"}) {
		t.Errorf("part %+v", p)
	}
	var c typesRecord
	if json.Unmarshal(recs["types"], &c) != nil || len(c.Types) != 1 || c.Types[0].SpotPrice != 0.07 || len(c.Types[0].Zones) != 2 || c.W != "b1-14" {
		t.Errorf("types %+v", c)
	}
	for _, p := range b.parts {
		if !p.held {
			t.Errorf("part %d was given up", p.id)
		}
	}
}

// TestNothingNewWritten: what this version writes of jobs that await nothing is
// byte for byte what the version in production writes.
// Of the two forms of outcomes that version reads, ranges and a bitmap, this one
// writes the shorter, so a few outcomes may come as a bitmap.
func TestNothingNewWritten(t *testing.T) {
	productionForm := regexp.MustCompile(`^(|[0-9]+(-[0-9]+)?(,[0-9]+(-[0-9]+)?)*|b[A-Za-z0-9+/]+)$`)
	forms := map[bool]bool{}
	for key, old := range productionRecords(t) {
		var rec any
		switch {
		case strings.HasPrefix(key, "jobs/"), strings.HasPrefix(key, "done/"):
			rec = &jobRecord{}
		case strings.HasPrefix(key, "accepts/"):
			rec = &acceptRecord{}
		case strings.HasPrefix(key, "rentals/"):
			rec = &rentalRecord{}
		case strings.HasPrefix(key, "parts/"):
			rec = &partRecord{}
		case key == "types":
			rec = &typesRecord{}
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
			state := make([]uint8, min(j.Spec.Tasks, chunkTasks))
			decodeDone(j.Done, len(state), func(i int) { state[i] = tStored })
			out, fits := encodeDone(state, 1<<20)
			again := make([]uint8, len(state))
			if fits != len(state) || !productionForm.MatchString(out) || !decodeDone(out, len(state), func(i int) { again[i] = tStored }) || !bytes.Equal(again, state) {
				t.Errorf("%s: outcomes %.80s, were %.80s", key, out, j.Done)
			}
			forms[strings.HasPrefix(j.Done, "b")] = true
		}
	}
	if len(forms) != 2 {
		t.Error("the records don't show both forms of outcomes")
	}
	v, _ := json.Marshal(jobRecord{Spec: &JobSpec{Awaits: []JobID{}}})
	if strings.Contains(string(v), `"aw"`) {
		t.Errorf("an empty list is written: %s", v)
	}
}
