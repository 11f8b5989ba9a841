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
	"stairrelay/internal/exactjson"
	"stairrelay/internal/exactjson/exactjsontest"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/jobs"
	"stairrelay/internal/messages"
	"stairrelay/internal/ownership"
	"stairrelay/internal/provisioning"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// loadProductionRecords returns the records in testdata/production/records.json by key.
// They were written by the version in production (see deploy/service.toml).
func loadProductionRecords(t *testing.T) map[string]json.RawMessage {
	t.Helper()
	text, err := os.ReadFile("testdata/production/records.json")
	if err != nil {
		t.Fatal(err)
	}
	records := map[string]json.RawMessage{}
	if err := exactjson.Unmarshal(text, &records); err != nil {
		t.Fatal(err)
	}
	for key, value := range records { // the file is indented
		var compact bytes.Buffer
		if err := json.Compact(&compact, value); err != nil {
			t.Fatal(err)
		}
		records[key] = compact.Bytes()
	}
	return records
}

// TestProductionRecordsRead checks that records written by the version in production are
// decoded correctly, so that an upgrade loses no state.
func TestProductionRecordsRead(t *testing.T) {
	records := loadProductionRecords(t)
	h := newControllerHarness()
	dropTimers(h.Controller)
	h.applyJobRecords(records)
	t.Run("active jobs", h.checkProductionJobs)
	t.Run("ended jobs", h.checkProductionEndedJobs)
	for _, key := range []string{"groups/b1-30-1", "groups/b1-30-2"} {
		h.inventory.ApplyRecord(messages.KV{Key: key, Value: records[key], ModRevision: 31}, h.state.Shards[0])
	}
	t.Run("machines", h.checkProductionMachines)
	t.Run("other records", func(t *testing.T) { checkProductionOtherRecords(t, records) })
	for _, shard := range h.state.Shards {
		if !shard.Owned {
			t.Errorf("the controller lost shard %d", shard.ID)
		}
	}
}

// applyJobRecords stores all records, applies the job and admission records, and runs until
// the chunks of the jobs are loaded.
func (h *controllerHarness) applyJobRecords(records map[string]json.RawMessage) {
	for _, key := range slices.Sorted(maps.Keys(records)) {
		kv := messages.KV{Key: key, Value: []byte(records[key]), ModRevision: 31}
		h.store.keys[key] = kv
		switch {
		case strings.HasPrefix(key, "jobs/"):
			h.jobs.Records.Apply(kv, nil)
		case strings.HasPrefix(key, "accepts/"):
			h.jobs.AdmissionRecords.Apply(kv, nil)
		}
	}
	h.runFor(second)
}

func (h *controllerHarness) checkProductionJobs(t *testing.T) {
	for id, done := range map[cluster.JobID]int{"j-000412": 4, "j-000413": 0, "j-000414": 5462 + 100, "j-000417": 0, "j-000418": 0} {
		job := h.state.Jobs.Owned[id]
		if job == nil || job.CompletedCount != done || len(job.Spec.Dependencies) > 0 || job.Blocked || !job.IsActive() || job.ChunksLoading > 0 {
			t.Errorf("%s: %+v, want %d done", id, job, done)
		}
	}
	want := cluster.JobSpec{
		ID:                        "j-000412",
		Class:                     "train",
		Team:                      "red",
		Priority:                  cluster.Urgent,
		Tasks:                     16,
		ResourceRequest:           cluster.Resources{CPU: 8_000_000, GPU: 1_000_000, Memory: 64_000_000},
		MachineTypes:              []string{"g8"},
		Zone:                      "a",
		Colocate:                  true,
		Spread:                    true,
		Spot:                      true,
		Image:                     "img-07",
		ImageGB:                   6.2,
		RuntimeSeconds:            240,
		CheckpointIntervalSeconds: 30,
		CheckpointWriteSeconds:    4,
		DeadlineSeconds:           900,
		SubmittedAt:               1_700_000_000_000,
	}
	if job := h.state.Jobs.Owned["j-000412"]; !reflect.DeepEqual(job.Spec, want) {
		t.Errorf("got spec %+v", job.Spec)
	}
}

func (h *controllerHarness) checkProductionEndedJobs(t *testing.T) {
	for id, final := range map[cluster.JobID]cluster.JobStatus{"j-000415": cluster.JobDone, "j-000416": cluster.JobCancelled} {
		if known := h.state.Jobs.Known[id]; known == nil || known.FinalStatus != final || known.Tasks != 4 || !known.FinalRecorded {
			t.Errorf("%s: %+v, want %s", id, known, final)
		}
	}
	if h.state.Jobs.Known["j-000416"].ResourceRequest.CPU != 2_000_000 {
		t.Error("a cancelled job's resource request is lost")
	}
}

func (h *controllerHarness) checkProductionMachines(t *testing.T) {
	m1, m2, m3 := h.state.Machines["m-000001"], h.state.Machines["m-000002"], h.state.Machines["m-000003"]
	if m1 == nil || m2 == nil || m3 == nil {
		t.Fatalf("got machines %+v, %+v, %+v, want three", m1, m2, m3)
	}
	if len(m1.Assignments) != 3 || m1.Address != "10.1.0.232:9000" || !m1.Spot || m1.Zone != "a" {
		t.Errorf("machine %+v, want a spot machine with three tasks", m1)
	}
	if !m2.Booting {
		t.Errorf("machine %+v, want a booting machine", m2)
	}
	if !m3.ReleaseConfirmed || len(m3.Assignments) != 1 {
		t.Errorf("machine %+v, want a released machine with one task", m3)
	}
	if assignment := m1.Assignments[cluster.TaskID{Job: "j-000412", Index: 4}]; assignment == nil || assignment.Attempt != 30<<20|2 {
		t.Errorf("task 4 is listed as %+v, want attempt 2 under claim 30", assignment)
	}
}

func checkProductionOtherRecords(t *testing.T, records map[string]json.RawMessage) {
	t.Helper()
	var request provisioning.RequestRecord
	wantRequest := provisioning.RequestRecord{Shard: 0, Type: "small", Zone: "a", Spot: true, Count: 3, WriteID: "b1-12"}
	if exactjson.Unmarshal(records["rentals/r-b1-30-1"], &request) != nil || request != wantRequest {
		t.Errorf("decoded an unexpected provisioning request: %+v", request)
	}
	var claim ownership.ClaimRecord
	wantClaim := ownership.ClaimRecord{Owner: "n0", Term: 7, WriteID: "b1-13"}
	if exactjson.Unmarshal(records["parts/0"], &claim) != nil || !reflect.DeepEqual(claim, wantClaim) {
		t.Errorf("decoded an unexpected claim record: %+v", claim)
	}
	var cache provisioning.MachineTypesRecord
	if exactjson.Unmarshal(records["types"], &cache) != nil || len(cache.Types) != 1 || cache.Types[0].SpotPrice != 0.07 || len(cache.Types[0].Zones) != 2 || cache.WriteID != "b1-14" {
		t.Errorf("decoded unexpected machine types: %+v", cache)
	}
}

// productionOutcomes matches the encodings of task outcomes that the version in production
// reads: ranges and bitmaps.
var productionOutcomes = regexp.MustCompile(`^(|[0-9]+(-[0-9]+)?(,[0-9]+(-[0-9]+)?)*|b[A-Za-z0-9+/]+)$`)

// TestRecordsMatchProductionEncoding checks that records are encoded as by the version in
// production, which must read them during an upgrade. No recorded job has dependencies.
func TestRecordsMatchProductionEncoding(t *testing.T) {
	bitmapSeen := map[bool]bool{}
	for key, old := range loadProductionRecords(t) {
		if reencoded := reencode(t, key, old); !bytes.Equal(reencoded, old) {
			t.Errorf("%s: wrote %.300s, production wrote %.300s", key, reencoded, old)
		}
		if !strings.HasPrefix(key, "jobs/") {
			continue
		}
		var record jobs.Record
		if err := exactjson.Unmarshal(old, &record); err != nil {
			t.Fatalf("%s: %v", key, err)
		}
		if record.Spec != nil {
			checkOutcomesEncoding(t, key, &record)
			bitmapSeen[strings.HasPrefix(record.CompletedIndexes, "b")] = true
		}
	}
	if len(bitmapSeen) != 2 {
		t.Error("the records don't contain both encodings of outcomes")
	}
	value, err := json.Marshal(jobs.Record{Spec: &cluster.JobSpec{Dependencies: []cluster.JobID{}}})
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(value), `"aw"`) {
		t.Errorf("an empty list of dependencies is encoded: %s", value)
	}
}

// reencode decodes a record and returns its encoding by this version.
func reencode(t *testing.T, key string, old []byte) []byte {
	t.Helper()
	if strings.HasPrefix(key, "groups/") {
		group, err := grouprecord.Decode(old)
		if err != nil {
			t.Fatal(err)
		}
		return grouprecord.Encode(group)
	}
	record := newRecord(t, key)
	if err := exactjson.Unmarshal(old, record); err != nil {
		t.Fatalf("%s: %v", key, err)
	}
	value, err := json.Marshal(record)
	if err != nil {
		t.Fatalf("%s: %v", key, err)
	}
	return value
}

// newRecord returns an empty record of the type that is stored under a key.
func newRecord(t *testing.T, key string) any {
	t.Helper()
	switch prefix, _, _ := strings.Cut(key, "/"); prefix {
	case "jobs", "done":
		return &jobs.Record{}
	case "accepts":
		return &jobs.AdmissionRecord{}
	case "rentals":
		return &provisioning.RequestRecord{}
	case "parts":
		return &ownership.ClaimRecord{}
	case "types":
		return &provisioning.MachineTypesRecord{}
	}
	t.Fatalf("unknown record %s", key)
	return nil
}

// checkOutcomesEncoding checks that the outcomes of a job's record are encoded in a form
// that the version in production reads, and that decoding returns the same outcomes.
func checkOutcomesEncoding(t *testing.T, key string, record *jobs.Record) {
	t.Helper()
	taskStates := make([]uint8, min(record.Spec.Tasks, state.TasksPerChunk))
	state.DecodeCompleted(record.CompletedIndexes, len(taskStates), func(i int) { taskStates[i] = state.TaskCompletionStored })
	encoded, fits := state.EncodeCompleted(taskStates, 1<<20)
	decoded := make([]uint8, len(taskStates))
	valid := state.DecodeCompleted(encoded, len(taskStates), func(i int) { decoded[i] = state.TaskCompletionStored })
	if fits != len(taskStates) || !productionOutcomes.MatchString(encoded) || !valid || !bytes.Equal(decoded, taskStates) {
		t.Errorf("%s: encoded outcomes %.80s, production wrote %.80s", key, encoded, record.CompletedIndexes)
	}
}

// TestRecordFieldNamesMatchExactly guards against the fault of review/5 in stored records: a
// field whose name differs from a known one by case must be ignored.
func TestRecordFieldNamesMatchExactly(t *testing.T) {
	for key, record := range loadProductionRecords(t) {
		extended, err := exactjsontest.AddOtherSpellings(record)
		if err != nil {
			t.Fatal(err)
		}
		if reencoded := reencode(t, key, extended); !bytes.Equal(reencoded, record) {
			t.Errorf("%s with other spellings was read as %.300s, want %.300s", key, reencoded, record)
		}
		if writer, want := writequeue.WriterOf(extended), writequeue.WriterOf(record); writer != want || want == "" {
			t.Errorf("%s with other spellings: writer %q, want %q", key, writer, want)
		}
	}
}
