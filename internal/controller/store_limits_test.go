package controller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/exactjson"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/inventory"
	"stairrelay/internal/jobs"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// These tests cover the limits of the store, also if they are lower than the limits under
// which the records were written.

// TestOutcomesWithinSizeLimit checks that state.EncodeCompleted stays within the size
// limit and lists exactly the completed tasks below the index that it returns.
func TestOutcomesWithinSizeLimit(t *testing.T) {
	random := rand.New(rand.NewPCG(18, 1))
	for round := range 400 {
		taskStates := make([]uint8, 1+random.IntN(5000))
		density := random.Float64()
		for i := range taskStates {
			if taskStates[i] = state.TaskPending; random.Float64() < density {
				taskStates[i] = state.TaskCompleted + uint8(random.IntN(2))
			} else if random.IntN(3) == 0 {
				taskStates[i] = state.TaskAssigned
			}
		}
		limit := random.IntN(1200) - 50
		encoded, fits := state.EncodeCompleted(taskStates, limit)
		if len(encoded) > max(limit, 0) {
			t.Fatalf("round %d: %d bytes, the limit is %d", round, len(encoded), limit)
		}
		listed := make([]bool, len(taskStates))
		if !state.DecodeCompleted(encoded, len(taskStates), func(i int) { listed[i] = true }) {
			t.Fatalf("round %d: can't decode %q", round, encoded)
		}
		for i, taskState := range taskStates {
			if done := taskState >= state.TaskCompleted; listed[i] != (done && i < fits) {
				t.Fatalf("round %d: task %d of %d, done %v, is listed: %v; %d fit", round, i, len(taskStates), done, listed[i], fits)
			}
		}
	}
	// With a sufficient limit all completed tasks are listed.
	taskStates := append([]uint8{state.TaskCompleted, state.TaskCompletionStored, state.TaskPending, state.TaskCompleted}, make([]uint8, 60)...)
	if encoded, fits := state.EncodeCompleted(taskStates, 3000); encoded != "0-1,3" || fits != 64 {
		t.Errorf("%q, %d tasks fit; want all 64 tasks", encoded, fits)
	}
}

// configureLimits changes the controller's limit of operations per transaction.
func (h *controllerHarness) configureLimits(maxTxnOps int) {
	h.config.MaxTxnOps = maxTxnOps
	h.writeQueue.Configure(h.writeQueueConfig())
	h.jobs.Configure(h.jobsConfig())
	h.inventory.Configure(h.inventoryConfig())
}

// TestLargestJobInSmallTransactions checks that a job's outcomes are stored in more
// chunks than a transaction may write, and that its chunks are deleted after its end.
func TestLargestJobInSmallTransactions(t *testing.T) {
	const tasks = 100_000
	h := newControllerHarness()
	h.configureLimits(4)
	job := h.addTestJob("j-1", tasks)
	value, err := json.Marshal(jobs.Record{Spec: &job.Spec, WriteID: "x"})
	if err != nil {
		t.Fatal(err)
	}
	h.store.keys["jobs/j-1"] = messages.KV{Key: "jobs/j-1", Value: value, ModRevision: 31}
	job.ModRevisions[0] = 31
	for i := 0; i < tasks; i += 3 {
		job.SetCompleted(i)
	}
	for range 5 {
		h.jobs.Records.WriteJob(job, writequeue.PriorityBackground)
		h.runFor(2 * second)
	}
	if count := h.countStoredOutcomes(job); count != 33_334 {
		t.Errorf("%d of 33,334 outcomes are stored", count)
	}
	for i := range tasks {
		job.SetCompleted(i)
	}
	h.jobs.Records.WriteJob(job, writequeue.PriorityAdmission)
	h.runFor(20 * second)
	for chunk := 1; chunk < state.ChunkCount(tasks); chunk++ {
		if h.store.get(job.ChunkKey(chunk)).Outcome != messages.NotFound {
			t.Errorf("%s was not deleted", job.ChunkKey(chunk))
		}
	}
	var record jobs.Record
	if exactjson.Unmarshal(h.store.keys["jobs/j-1"].Value, &record) != nil || record.FinalStatus != cluster.JobDone || record.Tasks != tasks {
		t.Errorf("final record: %s", h.store.keys["jobs/j-1"].Value)
	}
	h.checkTransactionsWithin(t, 4)
}

// countStoredOutcomes returns the number of completed tasks in a job's stored records.
func (h *controllerHarness) countStoredOutcomes(job *state.Job) int {
	count := 0
	for chunk := range job.ModRevisions {
		var record jobs.Record
		if exactjson.Unmarshal(h.store.keys[job.ChunkKey(chunk)].Value, &record) == nil {
			state.DecodeCompleted(record.CompletedIndexes, len(job.ChunkStates(chunk)), func(int) { count++ })
		}
	}
	return count
}

// checkTransactionsWithin checks that all transactions are within the store's limits.
func (h *controllerHarness) checkTransactionsWithin(t *testing.T, maxTxnOps int) {
	t.Helper()
	for _, transaction := range h.sentTransactions {
		if len(transaction.Then) > maxTxnOps || len(transaction.If) > writequeue.ComparesPerOperation*maxTxnOps {
			t.Errorf("a transaction has %d operations and %d compares", len(transaction.Then), len(transaction.If))
		}
		for _, operation := range transaction.Then {
			if len(operation.Value) > h.config.MaxValueBytes {
				t.Errorf("the value of %s has %d bytes", operation.Key, len(operation.Value))
			}
		}
	}
}

// addGroupWithTasks adds a group of machines with tasks of a job on each, and stores its
// record. The indexes of the tasks are not consecutive, so the record can't encode them
// as ranges.
func (h *controllerHarness) addGroupWithTasks(name string, job *state.Job, machines, tasks, from int) *state.MachineGroup {
	group := h.state.AddGroup(h.state.Shards[0], name, 0)
	for i := range machines {
		id := cluster.MachineID(fmt.Sprintf("m-%s-%04d", name, i))
		machine := h.inventory.AddMachine(group, grouprecord.Machine{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a"}, Address: string(id)}, 31)
		machine.TokenAcknowledged, machine.Incarnation, machine.SequenceNumber, machine.LastHeartbeat = true, 1, 1, h.loop.Now()
		for k := range tasks {
			index := from + (k*machines+i)*2
			assignment := &state.Assignment{
				Task:            cluster.TaskID{Job: job.Spec.ID, Index: index},
				Job:             job,
				ResourceRequest: job.Spec.ResourceRequest,
				MachineID:       id,
				Attempt:         cluster.Attempt(index + 1),
				Phase:           state.PhaseAcknowledged,
				State:           cluster.Running,
			}
			machine.AddAssignment(assignment)
			job.SetAssigned(index, assignment)
		}
	}
	value := inventory.EncodeRecord(0, group.SortedMachines(), "x")
	group.RecordSize, group.ModRevision = len(value), 20
	h.store.keys[group.Key()] = messages.KV{Key: group.Key(), Value: value, ModRevision: 20}
	return group
}

// countStoredMachines returns how often the store lists each machine, and the length of
// the longest group record.
func (h *controllerHarness) countStoredMachines(t *testing.T) (listed map[cluster.MachineID]int, longest int) {
	t.Helper()
	listed = map[cluster.MachineID]int{}
	for _, kv := range h.store.list("groups/", 0) {
		record, err := grouprecord.Decode(kv.Value)
		if err != nil || record.ShardID != 0 {
			t.Fatalf("%s: shard %d, %v", kv.Key, record.ShardID, err)
		}
		for _, machine := range record.Machines {
			listed[machine.ID]++
		}
		longest = max(longest, len(kv.Value))
	}
	return listed, longest
}

// TestOversizedRecordSplit checks that one transaction splits an oversized record as far
// as its operation limit allows, and that no machine is lost or listed twice.
func TestOversizedRecordSplit(t *testing.T) {
	for _, test := range []struct {
		machines, operations int
		withinLimit          bool
	}{{60, 4, true}, {200, 12, true}, {400, 4, false}} {
		t.Run(fmt.Sprintf("%d machines", test.machines), func(t *testing.T) {
			h := newControllerHarness()
			h.configureLimits(test.operations)
			group := h.addGroupWithTasks("g", h.addTestJob("j-1", 20_000), test.machines, 3, 0)
			before := group.RecordSize
			h.inventory.Split(group)
			h.runFor(200 * millisecond)
			if len(h.sentTransactions) == 0 || len(h.sentTransactions[0].Then) != min(test.operations, max(before/(h.config.MaxValueBytes/2), 2)) {
				t.Fatalf("a record of %d bytes is not split as far as necessary or allowed by the first of %d transactions", before, len(h.sentTransactions))
			}
			if longest := h.checkMachinesListedOnce(t, test.machines); test.withinLimit != (longest <= h.config.MaxValueBytes) {
				t.Errorf("a record of %d bytes: after the first split the longest record has an unexpected length of %d bytes", before, longest)
			}
			for range 4 { // records that are still too large are split further
				h.inventory.SplitAndMerge(h.state.Shards[0])
				h.runFor(second)
			}
			if listed, longest := h.countStoredMachines(t); len(listed) != test.machines || longest > h.config.MaxValueBytes {
				t.Errorf("after all splits %d of %d machines are listed and the longest record has %d bytes", len(listed), test.machines, longest)
			}
			if !h.state.Shards[0].Owned {
				t.Error("the shard was dropped")
			}
		})
	}
}

// checkMachinesListedOnce checks that the store lists each of the given number of
// machines once and that all their tasks are still assigned. It returns the length of
// the longest record.
func (h *controllerHarness) checkMachinesListedOnce(t *testing.T, machines int) int {
	t.Helper()
	listed, longest := h.countStoredMachines(t)
	for id, times := range listed {
		if times != 1 {
			t.Errorf("%s is listed %d times", id, times)
		}
	}
	tasks := 0
	for _, machine := range h.state.Machines {
		tasks += len(machine.Assignments)
	}
	if len(listed) != machines || tasks != 3*machines {
		t.Errorf("%d of %d machines are listed, with %d tasks", len(listed), machines, tasks)
	}
	return longest
}

// TestRejectedTransactionRetriedSeparately checks that each write of a transaction that
// the store rejects as malformed is retried alone and only the oversized record is split.
func TestRejectedTransactionRetriedSeparately(t *testing.T) {
	h := newControllerHarness()
	dropTimers(h.Controller) // disables maintenance, which would split or merge the groups first
	limit := 2048
	h.rejectLongerValues(limit)
	job := h.addTestJob("j-1", 20_000)
	large := h.addGroupWithTasks("large", job, 45, 3, 0)
	small, other := h.addGroupWithTasks("small", job, 3, 3, 10_000), h.addGroupWithTasks("other", job, 3, 3, 12_000)
	if large.RecordSize <= limit || large.RecordSize > h.config.MaxValueBytes {
		t.Fatalf("the large record has %d bytes, which is not between the two limits", large.RecordSize)
	}
	before := map[string]cluster.ModRevision{small.Key(): small.ModRevision, other.Key(): other.ModRevision}
	for _, group := range []*state.MachineGroup{large, small, other} {
		h.inventory.WriteGroup(group, writequeue.PriorityStart)
	}
	h.runFor(3 * second)
	if len(h.sentTransactions) < 4 || len(h.sentTransactions[0].Then) != 3 {
		t.Fatalf("transactions %q, want at least 4, the first with 3 operations", describeTransactions(h.sentTransactions))
	}
	h.checkRejectedNotRepeated(t)
	for key, modRevision := range before {
		if h.store.keys[key].ModRevision <= modRevision {
			t.Errorf("%s was not written", key)
		}
	}
	listed, longest := h.countStoredMachines(t)
	if len(listed) != 51 || longest > limit {
		t.Errorf("%d of 51 machines are listed, the longest record has %d bytes", len(listed), longest)
	}
	if len(small.Machines) != 3 || len(other.Machines) != 3 || len(large.Machines) >= 45 {
		t.Errorf("the groups have %d, %d and %d machines", len(large.Machines), len(small.Machines), len(other.Machines))
	}
	for _, shard := range h.state.Shards {
		if !shard.Owned {
			t.Errorf("shard %d was dropped", shard.ID)
		}
	}
}

// checkRejectedNotRepeated checks that no transaction that was rejected as malformed
// was sent again unchanged.
func (h *controllerHarness) checkRejectedNotRepeated(t *testing.T) {
	t.Helper()
	rejected := slices.DeleteFunc(slices.Clone(h.sentTransactions), func(transaction messages.StoreTxn) bool {
		return !h.rejectsAsMalformed(transaction)
	})
	seen := map[string]bool{}
	for _, changes := range describeTransactions(rejected) {
		if seen[changes] {
			t.Errorf("sent again unchanged: %s", changes)
		}
		seen[changes] = true
	}
}

// describeTransactions returns the keys and value lengths of each transaction.
func describeTransactions(transactions []messages.StoreTxn) []string {
	var all []string
	for _, transaction := range transactions {
		changes := ""
		for _, operation := range transaction.Then {
			changes += fmt.Sprintf("%s:%d ", operation.Key, len(operation.Value))
		}
		all = append(all, changes)
	}
	return all
}

// TestComparesWithinLimit checks that no transaction has more compares than the
// protocol allows if there are many shards, or many jobs in one record.
func TestComparesWithinLimit(t *testing.T) {
	config := newControllerHarness().config
	config.MaxTxnOps, config.Nodes = 4, nil
	for i := range 9 {
		config.Nodes = append(config.Nodes, cluster.NodeID("n"+strconv.Itoa(i)))
	}
	c := New(config)
	h := newControllerHarness()
	h.Controller = c
	c.state.MachineTypes["small"] = cluster.MachineType{Name: "small", Capacity: cluster.Resources{CPU: 4_000_000, Memory: 16_000_000}, Zones: []string{"a"}}
	setTime(c, 100*second)
	c.jobs.AdmissionRecords.ApplyAll(nil, 0)
	dropTimers(c)
	for _, shard := range c.state.Shards {
		h.ownShard(shard)
	}
	for i := range 6 {
		kv := messages.KV{Key: fmt.Sprintf("groups/b9-7-%d", i), Value: grouprecord.Encode(grouprecord.Record{ShardID: 0, Machines: nil, WriteID: "x"}), ModRevision: cluster.ModRevision(10 + i)}
		h.store.keys[kv.Key] = kv
		h.inventory.ApplyRecord(kv, h.state.Shards[0])
	}
	answered := 0
	for i := range 20 {
		spec := cluster.JobSpec{ID: cluster.JobID(fmt.Sprintf("j-%06d", i)), Team: "red", Tasks: 1, ResourceRequest: cluster.Resources{CPU: 1_000_000}, RuntimeSeconds: 5}
		h.jobs.Submissions.HandleProxied(spec, func(response messages.Respond) {
			if answered++; response.Status != messages.StatusCreated {
				t.Errorf("%s is answered with %d, want 201", spec.ID, response.Status)
			}
		})
	}
	h.runFor(3 * second)
	manyCompares := false
	h.checkTransactionsWithin(t, 4)
	for _, transaction := range h.sentTransactions {
		manyCompares = manyCompares || len(transaction.If) > 8
	}
	if left := len(h.store.list("groups/", 0)); left != 0 || answered != 20 || !manyCompares {
		t.Errorf("%d empty groups left, %d of 20 submissions answered, many compares seen: %v", left, answered, manyCompares)
	}
}

// rejectLongerValues makes the store reject a transaction with a value longer than
// limit as malformed.
func (h *controllerHarness) rejectLongerValues(limit int) {
	h.rejectsAsMalformed = func(transaction messages.StoreTxn) bool {
		return slices.ContainsFunc(transaction.Then, func(operation messages.TxnOp) bool { return len(operation.Value) > limit })
	}
}
