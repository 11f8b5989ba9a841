package controller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/inventory"
	"stairrelay/internal/jobs"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// Limits of the store that are lower than those under which a record grew.

// TestOutcomesWithinSizeLimit: what is listed under a limit keeps to it, is never
// wrong, and is all there is wherever the function says so.
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
			t.Fatalf("round %d: %q can't be read", round, encoded)
		}
		for i, taskState := range taskStates {
			if done := taskState >= state.TaskCompleted; listed[i] != (done && i < fits) {
				t.Fatalf("round %d: task %d of %d, done %v, is listed: %v; %d fit", round, i, len(taskStates), done, listed[i], fits)
			}
		}
	}
	// Without a limit that matters all is listed.
	taskStates := append([]uint8{state.TaskCompleted, state.TaskCompletionStored, state.TaskPending, state.TaskCompleted}, make([]uint8, 60)...)
	if encoded, fits := state.EncodeCompleted(taskStates, 3000); encoded != "0-1,3" || fits != 64 {
		t.Errorf("%q, %d fit", encoded, fits)
	}
}

// configureLimits sets the store's limits anew.
func (b *controllerHarness) configureLimits(maxTxnOps int) {
	b.config.MaxTxnOps = maxTxnOps
	b.writeQueue.Configure(b.writeQueueConfig())
	b.jobs.Configure(b.jobsConfig())
	b.inventory.Configure(b.inventoryConfig())
}

// TestLargestJobInSmallTransactions: a job with more chunks of outcomes than a
// transaction may write has them all stored in the end, and none is left of it
// once it is over.
func TestLargestJobInSmallTransactions(t *testing.T) {
	const tasks = 100_000
	b := newControllerHarness()
	b.configureLimits(4)
	job := b.addTestJob("j-1", tasks)
	value, err := json.Marshal(jobs.Record{Spec: &job.Spec, WriteID: "x"})
	if err != nil {
		t.Fatal(err)
	}
	b.store.keys["jobs/j-1"] = messages.KV{Key: "jobs/j-1", Value: value, ModRevision: 31}
	job.ModRevisions[0] = 31
	for i := 0; i < tasks; i += 3 {
		job.SetCompleted(i)
	}
	for range 5 {
		b.jobs.Records.WriteJob(job, writequeue.PriorityBackground)
		b.runFor(2 * second)
	}
	if count := b.countStoredOutcomes(job); count != 33_334 {
		t.Errorf("%d of 33,334 outcomes are stored", count)
	}
	for i := range tasks {
		job.SetCompleted(i)
	}
	b.jobs.Records.WriteJob(job, writequeue.PriorityAdmission)
	b.runFor(20 * second)
	for chunk := 1; chunk < state.ChunkCount(tasks); chunk++ {
		if b.store.get(job.ChunkKey(chunk)).Outcome != messages.NotFound {
			t.Errorf("%s is left", job.ChunkKey(chunk))
		}
	}
	var record jobs.Record
	if json.Unmarshal(b.store.keys["jobs/j-1"].Value, &record) != nil || record.FinalStatus != cluster.JobDone || record.Tasks != tasks {
		t.Errorf("stored at the end: %s", b.store.keys["jobs/j-1"].Value)
	}
	b.checkTransactionsWithin(t, 4)
}

// countStoredOutcomes counts the outcomes in a job's stored records.
func (b *controllerHarness) countStoredOutcomes(job *state.Job) int {
	count := 0
	for chunk := range job.ModRevisions {
		var record jobs.Record
		if json.Unmarshal(b.store.keys[job.ChunkKey(chunk)].Value, &record) == nil {
			state.DecodeCompleted(record.CompletedIndexes, len(job.ChunkStates(chunk)), func(int) { count++ })
		}
	}
	return count
}

// checkTransactionsWithin checks that all transactions kept to the store's limits.
func (b *controllerHarness) checkTransactionsWithin(t *testing.T, maxTxnOps int) {
	t.Helper()
	for _, transaction := range b.sentTransactions {
		if len(transaction.Then) > maxTxnOps || len(transaction.If) > writequeue.ComparesPerOperation*maxTxnOps {
			t.Errorf("a transaction of %d changes on %d conditions", len(transaction.Then), len(transaction.If))
		}
		for _, operation := range transaction.Then {
			if len(operation.Value) > b.config.MaxValueBytes {
				t.Errorf("%s: %d bytes", operation.Key, len(operation.Value))
			}
		}
	}
}

// addGroupWithTasks adds a group of machines with tasks of a job on each, none of which
// follows on another, so that none shares a range.
func (b *controllerHarness) addGroupWithTasks(name string, job *state.Job, machines, tasks, from int) *state.MachineGroup {
	group := b.state.AddGroup(b.state.Shards[0], name, 0)
	for i := range machines {
		id := cluster.MachineID(fmt.Sprintf("m-%s-%04d", name, i))
		machine := b.inventory.AddMachine(group, grouprecord.Machine{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a"}, Address: string(id)}, 31)
		machine.TokenAcknowledged, machine.Incarnation, machine.SequenceNumber, machine.LastHeartbeat = true, 1, 1, b.loop.Now()
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
	b.store.keys[group.Key()] = messages.KV{Key: group.Key(), Value: value, ModRevision: 20}
	return group
}

// countStoredMachines tells how often each machine is listed in the store, and the length of
// the longest record.
func (b *controllerHarness) countStoredMachines(t *testing.T) (listed map[cluster.MachineID]int, longest int) {
	t.Helper()
	listed = map[cluster.MachineID]int{}
	for _, kv := range b.store.list("groups/", 0) {
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

// TestOversizedRecordSplitInOneTransaction: a record that was written under far higher limits is
// split by one transaction into as many as that may write. Each machine is in
// exactly one, and none is above the limit where that can be.
func TestOversizedRecordSplitInOneTransaction(t *testing.T) {
	for _, test := range []struct {
		machines, operations int
		within               bool
	}{{60, 4, true}, {200, 12, true}, {400, 4, false}} {
		t.Run(fmt.Sprintf("%d machines", test.machines), func(t *testing.T) {
			b := newControllerHarness()
			b.configureLimits(test.operations)
			group := b.addGroupWithTasks("g", b.addTestJob("j-1", 20_000), test.machines, 3, 0)
			before := group.RecordSize
			b.inventory.Split(group)
			b.runFor(200 * millisecond)
			if len(b.sentTransactions) == 0 || len(b.sentTransactions[0].Then) != min(test.operations, max(before/(b.config.MaxValueBytes/2), 2)) {
				t.Fatalf("%d bytes: first %d transactions", before, len(b.sentTransactions))
			}
			if longest := b.checkMachinesListedOnce(t, test.machines); test.within != (longest <= b.config.MaxValueBytes) {
				t.Errorf("%d bytes: the longest record has %d", before, longest)
			}
			for range 4 { // what is still too large is split further
				b.inventory.SplitAndMerge(b.state.Shards[0])
				b.runFor(second)
			}
			if listed, longest := b.countStoredMachines(t); len(listed) != test.machines || longest > b.config.MaxValueBytes {
				t.Errorf("in the end %d of %d machines, the longest record has %d bytes", len(listed), test.machines, longest)
			}
			if !b.state.Shards[0].Owned {
				t.Error("the shard was given up")
			}
		})
	}
}

// checkMachinesListedOnce checks that each of so many machines is listed once in the store
// and still has its three tasks. It returns the length of the longest record.
func (b *controllerHarness) checkMachinesListedOnce(t *testing.T, machines int) int {
	t.Helper()
	listed, longest := b.countStoredMachines(t)
	for id, times := range listed {
		if times != 1 {
			t.Errorf("%s is listed %d times", id, times)
		}
	}
	tasks := 0
	for _, machine := range b.state.Machines {
		tasks += len(machine.Assignments)
	}
	if len(listed) != machines || tasks != 3*machines {
		t.Errorf("%d of %d machines are listed, with %d tasks", len(listed), machines, tasks)
	}
	return longest
}

// TestRejectedTransactionRetriedSeparately: the store rejects a transaction of several writes
// as malformed, as one of its records is above a limit that has come into force.
// Each is tried by itself, only the too large one is split, and no shard is lost.
func TestRejectedTransactionRetriedSeparately(t *testing.T) {
	b := newControllerHarness()
	dropTimers(b.Controller) // no maintenance, which would split or merge them first
	limit := 2048
	b.rejectLongerValues(limit)
	job := b.addTestJob("j-1", 20_000)
	large := b.addGroupWithTasks("large", job, 45, 3, 0)
	small, other := b.addGroupWithTasks("small", job, 3, 3, 10_000), b.addGroupWithTasks("other", job, 3, 3, 12_000)
	if large.RecordSize <= limit || large.RecordSize > b.config.MaxValueBytes {
		t.Fatalf("%d bytes: the test shows nothing", large.RecordSize)
	}
	before := map[string]cluster.ModRevision{small.Key(): small.ModRevision, other.Key(): other.ModRevision}
	for _, group := range []*state.MachineGroup{large, small, other} {
		b.inventory.WriteGroup(group, writequeue.PriorityStart)
	}
	b.runFor(3 * second)
	if len(b.sentTransactions) < 4 || len(b.sentTransactions[0].Then) != 3 {
		t.Fatalf("transactions %q, the first should have 3 changes", describeTransactions(b.sentTransactions))
	}
	b.checkRejectedNotRepeated(t)
	for key, modRevision := range before {
		if b.store.keys[key].ModRevision <= modRevision {
			t.Errorf("%s was not written", key)
		}
	}
	listed, longest := b.countStoredMachines(t)
	if len(listed) != 51 || longest > limit {
		t.Errorf("%d of 51 machines are listed, the longest record has %d bytes", len(listed), longest)
	}
	if len(small.Machines) != 3 || len(other.Machines) != 3 || len(large.Machines) >= 45 {
		t.Errorf("the groups have %d, %d and %d machines", len(large.Machines), len(small.Machines), len(other.Machines))
	}
	for _, shard := range b.state.Shards {
		if !shard.Owned {
			t.Errorf("shard %d was given up", shard.ID)
		}
	}
}

// checkRejectedNotRepeated checks that no transaction was sent again unchanged after it was
// rejected as malformed.
func (b *controllerHarness) checkRejectedNotRepeated(t *testing.T) {
	t.Helper()
	rejected := slices.DeleteFunc(slices.Clone(b.sentTransactions), func(transaction messages.StoreTxn) bool {
		return !b.rejectsAsMalformed(transaction)
	})
	seen := map[string]bool{}
	for _, changes := range describeTransactions(rejected) {
		if seen[changes] {
			t.Errorf("sent again unchanged: %s", changes)
		}
		seen[changes] = true
	}
}

// describeTransactions lists the keys of each transaction with their values' lengths.
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

// TestComparesWithinLimit: with many shards, or many jobs in one record, a
// transaction has no more conditions than the protocol allows.
func TestComparesWithinLimit(t *testing.T) {
	config := newControllerHarness().config
	config.MaxTxnOps, config.Nodes = 4, nil
	for i := range 9 {
		config.Nodes = append(config.Nodes, cluster.NodeID("n"+strconv.Itoa(i)))
	}
	c := New(config)
	b := newControllerHarness()
	b.Controller = c
	c.state.MachineTypes["small"] = cluster.MachineType{Name: "small", Capacity: cluster.Resources{CPU: 4_000_000, Memory: 16_000_000}, Zones: []string{"a"}}
	setTime(c, 100*second)
	c.jobs.AdmissionRecords.ApplyAll(nil, 0)
	dropTimers(c)
	for _, shard := range c.state.Shards {
		b.ownShard(shard)
	}
	for i := range 6 {
		kv := messages.KV{Key: fmt.Sprintf("groups/b9-7-%d", i), Value: grouprecord.Encode(grouprecord.Record{ShardID: 0, Machines: nil, WriteID: "x"}), ModRevision: cluster.ModRevision(10 + i)}
		b.store.keys[kv.Key] = kv
		b.inventory.ApplyRecord(kv, b.state.Shards[0])
	}
	answered := 0
	for i := range 20 {
		spec := cluster.JobSpec{ID: cluster.JobID(fmt.Sprintf("j-%06d", i)), Team: "red", Tasks: 1, ResourceRequest: cluster.Resources{CPU: 1_000_000}, RuntimeSeconds: 5}
		b.jobs.Submissions.HandleProxied(spec, func(answer messages.Respond) {
			if answered++; answer.Status != messages.ReplyCreated {
				t.Errorf("%s gets %d", spec.ID, answer.Status)
			}
		})
	}
	b.runFor(3 * second)
	several := false
	b.checkTransactionsWithin(t, 4)
	for _, transaction := range b.sentTransactions {
		several = several || len(transaction.If) > 8
	}
	if left := len(b.store.list("groups/", 0)); left != 0 || answered != 20 || !several {
		t.Errorf("%d empty groups left, %d of 20 submissions answered, many conditions seen: %v", left, answered, several)
	}
}

// rejectLongerValues lets the store reject transactions with a longer value as malformed.
func (b *controllerHarness) rejectLongerValues(limit int) {
	b.rejectsAsMalformed = func(transaction messages.StoreTxn) bool {
		return slices.ContainsFunc(transaction.Then, func(operation messages.TxnOp) bool { return len(operation.Value) > limit })
	}
}
