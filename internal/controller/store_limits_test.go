package controller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"stairrelay/internal/inventory"
	"stairrelay/internal/jobs"
	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"

	"stairrelay/internal/grouprecord"
)

// Limits of the store that are lower than those under which a record grew.

// TestOutcomesWithinSizeLimit: what is listed under a limit keeps to it, is never
// wrong, and is all there is wherever the function says so.
func TestOutcomesWithinSizeLimit(t *testing.T) {
	r := rand.New(rand.NewPCG(18, 1))
	for round := range 400 {
		taskStates := make([]uint8, 1+r.IntN(5000))
		density := r.Float64()
		for i := range taskStates {
			if taskStates[i] = state.TaskPending; r.Float64() < density {
				taskStates[i] = state.TaskCompleted + uint8(r.IntN(2))
			} else if r.IntN(3) == 0 {
				taskStates[i] = state.TaskAssigned
			}
		}
		limit := r.IntN(1200) - 50
		s, fits := state.EncodeCompleted(taskStates, limit)
		if len(s) > max(limit, 0) {
			t.Fatalf("round %d: %d bytes, the limit is %d", round, len(s), limit)
		}
		listed := make([]bool, len(taskStates))
		if !state.DecodeCompleted(s, len(taskStates), func(i int) { listed[i] = true }) {
			t.Fatalf("round %d: %q can't be read", round, s)
		}
		for i, is := range taskStates {
			if done := is >= state.TaskCompleted; listed[i] != (done && i < fits) {
				t.Fatalf("round %d: task %d of %d, done %v, is listed: %v; %d fit", round, i, len(taskStates), done, listed[i], fits)
			}
		}
	}
	// Without a limit that matters all is listed.
	if s, fits := state.EncodeCompleted(append([]uint8{state.TaskCompleted, state.TaskCompletionStored, state.TaskPending, state.TaskCompleted}, make([]uint8, 60)...), 3000); s != "0-1,3" || fits != 64 {
		t.Errorf("%q, %d fit", s, fits)
	}
}

// TestLargestJobInSmallTransactions: a job with more chunks of outcomes than a
// transaction may write has them all stored in the end, and none is left of it
// once it is over.
func TestLargestJobInSmallTransactions(t *testing.T) {
	b := newControllerHarness()
	b.config.MaxTxnOps = 4
	b.writeQueue.Configure(b.writeQueueConfig())
	b.jobs.Configure(b.jobsConfig())
	b.inventory.Configure(b.inventoryConfig())
	j := b.addTestJob("j-1", 100_000)
	v, _ := json.Marshal(jobs.Record{Spec: &j.Spec, WriteID: "x"})
	b.store.keys["jobs/j-1"] = messages.KV{Key: "jobs/j-1", Value: v, ModRevision: 31}
	j.ModRevisions[0] = 31
	for i := 0; i < 100_000; i += 3 {
		j.SetCompleted(i)
	}
	stored := func() int {
		n := 0
		for k := range j.ModRevisions {
			var rec jobs.Record
			if json.Unmarshal(b.store.keys[j.ChunkKey(k)].Value, &rec) == nil {
				state.DecodeCompleted(rec.CompletedIndexes, len(j.ChunkStates(k)), func(int) { n++ })
			}
		}
		return n
	}
	for range 5 {
		b.jobs.Records.Write(j, writequeue.Background)
		b.runFor(2 * second)
	}
	if n := stored(); n != 33_334 {
		t.Errorf("%d of 33,334 outcomes are stored", n)
	}
	for i := range 100_000 {
		j.SetCompleted(i)
	}
	b.jobs.Records.Write(j, writequeue.Admit)
	b.runFor(20 * second)
	for k := 1; k < state.ChunkCount(100_000); k++ {
		if b.store.get(j.ChunkKey(k)).Outcome != messages.NotFound {
			t.Errorf("%s is left", j.ChunkKey(k))
		}
	}
	var rec jobs.Record
	if json.Unmarshal(b.store.keys["jobs/j-1"].Value, &rec) != nil || rec.FinalStatus != cluster.JobDone || rec.Tasks != 100_000 {
		t.Errorf("stored at the end: %s", b.store.keys["jobs/j-1"].Value)
	}
	for _, x := range b.sentTransactions {
		if len(x.Then) > 4 || len(x.If) > writequeue.ComparesPerOperation*4 {
			t.Errorf("a transaction of %d changes on %d conditions", len(x.Then), len(x.If))
		}
		for _, o := range x.Then {
			if len(o.Value) > b.config.MaxValueBytes {
				t.Errorf("%s: %d bytes", o.Key, len(o.Value))
			}
		}
	}
}

// addGroupWithTasks is a group of machines with tasks of a job on each, none of which
// follows on another, so that none shares a range.
func (b *controllerHarness) addGroupWithTasks(name string, j *state.Job, machines, tasks, from int) *state.MachineGroup {
	g := b.state.AddGroup(b.state.Shards[0], name, 0)
	for i := range machines {
		id := cluster.MachineID(fmt.Sprintf("m-%s-%04d", name, i))
		m := b.inventory.AddMachine(g, grouprecord.Machine{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: string(id)}, 31)
		m.TokenAcknowledged, m.Incarnation, m.SequenceNumber, m.LastHeartbeat = true, 1, 1, b.loop.Now()
		for k := range tasks {
			n := from + (k*machines+i)*2
			a := &state.Assignment{Task: cluster.TaskID{Job: j.Spec.ID, Index: n}, Job: j, ResourceRequest: j.Spec.ResourceRequest, MachineID: id, Attempt: cluster.Attempt(n + 1), Phase: state.PhaseAcknowledged, State: cluster.Running}
			m.AddAssignment(a)
			j.SetAssigned(n, a)
		}
	}
	v := inventory.EncodeRecord(0, g.SortedMachines(), "x")
	g.RecordSize, g.ModRevision = len(v), 20
	b.store.keys[g.Key()] = messages.KV{Key: g.Key(), Value: v, ModRevision: 20}
	return g
}

// countStoredMachines tells how often each machine is listed in the store, and the length of
// the longest record.
func (b *controllerHarness) countStoredMachines(t *testing.T) (map[cluster.MachineID]int, int) {
	t.Helper()
	n, longest := map[cluster.MachineID]int{}, 0
	for _, kv := range b.store.list("groups/", 0) {
		rec, err := grouprecord.Decode(kv.Value)
		part, ms := rec.ShardID, rec.Machines
		if err != nil || part != 0 {
			t.Fatalf("%s: part %d, %v", kv.Key, part, err)
		}
		for _, m := range ms {
			n[m.ID]++
		}
		longest = max(longest, len(kv.Value))
	}
	return n, longest
}

// TestOversizedRecordSplitInOneTransaction: a record that was written under far higher limits is
// split by one transaction into as many as that may write. Each machine is in
// exactly one, and none is above the limit where that can be.
func TestOversizedRecordSplitInOneTransaction(t *testing.T) {
	for _, c := range []struct {
		machines, ops int
		within        bool
	}{{60, 4, true}, {200, 12, true}, {400, 4, false}} {
		b := newControllerHarness()
		b.config.MaxTxnOps = c.ops
		b.writeQueue.Configure(b.writeQueueConfig())
		b.jobs.Configure(b.jobsConfig())
		b.inventory.Configure(b.inventoryConfig())
		j := b.addTestJob("j-1", 20_000)
		g := b.addGroupWithTasks("g", j, c.machines, 3, 0)
		before := g.RecordSize
		b.inventory.Split(g)
		b.runFor(200 * millisecond)
		if len(b.sentTransactions) == 0 || len(b.sentTransactions[0].Then) != min(c.ops, max(before/(b.config.MaxValueBytes/2), 2)) {
			t.Fatalf("%d machines, %d bytes: first %d transactions", c.machines, before, len(b.sentTransactions))
		}
		n, longest := b.countStoredMachines(t)
		for id, times := range n {
			if times != 1 {
				t.Errorf("%s is listed %d times", id, times)
			}
		}
		tasks := 0
		for _, m := range b.state.Machines {
			tasks += len(m.Assignments)
		}
		if len(n) != c.machines || tasks != 3*c.machines {
			t.Errorf("%d of %d machines are listed, with %d tasks", len(n), c.machines, tasks)
		}
		if c.within != (longest <= b.config.MaxValueBytes) {
			t.Errorf("%d machines, %d bytes: the longest record has %d", c.machines, before, longest)
		}
		for range 4 { // what is still too large is split further
			b.inventory.SplitAndMerge(b.state.Shards[0])
			b.runFor(second)
		}
		if n, longest = b.countStoredMachines(t); len(n) != c.machines || longest > b.config.MaxValueBytes {
			t.Errorf("in the end %d of %d machines, the longest record has %d bytes", len(n), c.machines, longest)
		}
		if !b.state.Shards[0].Owned {
			t.Error("the part was given up")
		}
	}
}

// TestRejectedTransactionRetriedSeparately: the store calls a transaction of several writes
// malformed, as one of its records is above a limit that has come into force.
// Each is tried by itself, only the too large one is split, and no part is lost.
func TestRejectedTransactionRetriedSeparately(t *testing.T) {
	b := newControllerHarness()
	dropTimers(b.Controller) // no tidying up, which would split or join them first
	limit := 2048
	b.rejectLongerValues(limit)
	j := b.addTestJob("j-1", 20_000)
	large := b.addGroupWithTasks("large", j, 45, 3, 0)
	small, other := b.addGroupWithTasks("small", j, 3, 3, 10_000), b.addGroupWithTasks("other", j, 3, 3, 12_000)
	if large.RecordSize <= limit || large.RecordSize > b.config.MaxValueBytes {
		t.Fatalf("%d bytes: the test shows nothing", large.RecordSize)
	}
	marks := map[string]cluster.ModRevision{small.Key(): small.ModRevision, other.Key(): other.ModRevision}
	for _, g := range []*state.MachineGroup{large, small, other} {
		b.inventory.WriteGroup(g, writequeue.Start)
	}
	b.runFor(3 * second)
	if len(b.sentTransactions) < 4 || len(b.sentTransactions[0].Then) != 3 {
		for _, x := range b.sentTransactions {
			for _, o := range x.Then {
				t.Logf("%d changes: %s, %d bytes", len(x.Then), o.Key, len(o.Value))
			}
		}
		t.Fatalf("%d transactions, the first with %d changes", len(b.sentTransactions), len(b.sentTransactions[0].Then))
	}
	refused := map[string]int{}
	for _, x := range b.sentTransactions {
		if b.rejectsAsMalformed(x) {
			key := ""
			for _, o := range x.Then {
				key += fmt.Sprintf("%s:%d ", o.Key, len(o.Value))
			}
			if refused[key]++; refused[key] > 1 {
				t.Errorf("sent again unchanged: %s", key)
			}
		}
	}
	for key, mark := range marks {
		if b.store.keys[key].ModRevision <= mark {
			t.Errorf("%s was not written", key)
		}
	}
	n, longest := b.countStoredMachines(t)
	if len(n) != 51 || longest > limit {
		t.Errorf("%d of 51 machines are listed, the longest record has %d bytes", len(n), longest)
	}
	if len(small.Machines) != 3 || len(other.Machines) != 3 || len(large.Machines) >= 45 {
		t.Errorf("the groups have %d, %d and %d machines", len(large.Machines), len(small.Machines), len(other.Machines))
	}
	for _, p := range b.state.Shards {
		if !p.Owned {
			t.Errorf("part %d was given up", p.ID)
		}
	}
}

// TestComparesWithinLimit: with many parts, or many jobs in one record, a
// transaction has no more conditions than the protocol allows.
func TestComparesWithinLimit(t *testing.T) {
	cfg := newControllerHarness().config
	cfg.MaxTxnOps, cfg.Nodes = 4, nil
	for i := range 9 {
		cfg.Nodes = append(cfg.Nodes, cluster.NodeID("n"+strconv.Itoa(i)))
	}
	c := New(cfg)
	b := newControllerHarness()
	b.Controller = c
	c.state.MachineTypes["small"] = cluster.MachineType{Name: "small", Capacity: cluster.Resources{CPU: 4_000_000, Memory: 16_000_000}, Zones: []string{"a"}}
	setTime(c, 100*second)
	c.jobs.AdmissionRecords.ApplyAll(nil, 0)
	dropTimers(c)
	for _, p := range c.state.Shards {
		p.Owned, p.Ready, p.Owner, p.ClaimRevision, p.ModRevision, p.Term, p.ConfirmedAt = true, true, "n0", 30, 30, 1, c.loop.Now()
		p.ProvisioningRequests, p.OutOfCapacityUntil = map[string]*state.ProvisioningRequest{}, map[state.ProvisioningOption]cluster.Time{}
		b.store.keys[p.Key()] = messages.KV{Key: p.Key(), Value: []byte(`{"holder":"n0","term":1,"w":"b0-1"}`), ModRevision: 30}
	}
	for i := range 6 {
		kv := messages.KV{Key: fmt.Sprintf("groups/b9-7-%d", i), Value: grouprecord.Encode(grouprecord.Record{ShardID: 0, Machines: nil, WriteID: "x"}), ModRevision: cluster.ModRevision(10 + i)}
		b.store.keys[kv.Key] = kv
		b.inventory.ApplyRecord(kv, b.state.Shards[0])
	}
	told := 0
	for i := range 20 {
		s := cluster.JobSpec{ID: cluster.JobID(fmt.Sprintf("j-%06d", i)), Team: "red", Tasks: 1, ResourceRequest: cluster.Resources{CPU: 1_000_000}, RuntimeSeconds: 5}
		b.jobs.Submissions.Submit(s, func(r messages.Respond) {
			if told++; r.Status != 201 {
				t.Errorf("%s gets %d", s.ID, r.Status)
			}
		})
	}
	b.runFor(3 * second)
	several := false
	for _, x := range b.sentTransactions {
		if len(x.Then) > 4 || len(x.If) > writequeue.ComparesPerOperation*4 {
			t.Errorf("%d changes on %d conditions", len(x.Then), len(x.If))
		}
		several = several || len(x.If) > 8
	}
	if left := len(b.store.list("groups/", 0)); left != 0 || told != 20 || !several {
		t.Errorf("%d empty groups left, %d of 20 submissions answered, many conditions seen: %v", left, told, several)
	}
}

// rejectLongerValues has the store call transactions with a longer value malformed.
func (b *controllerHarness) rejectLongerValues(limit int) {
	b.rejectsAsMalformed = func(x messages.StoreTxn) bool {
		return slices.ContainsFunc(x.Then, func(o messages.TxnOp) bool { return len(o.Value) > limit })
	}
}
