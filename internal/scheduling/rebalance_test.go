package scheduling

import (
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// addIdleMachine adds a machine that may be offered.
func (f *fixture) addIdleMachine(id cluster.MachineID) *state.Machine {
	machine := f.addMachine(id)
	machine.Address, machine.IdleSince = string(id), f.loop.Now()-second
	return machine
}

// shortfallOf is a plan by which the second shard lacks some CPUs that the first has.
func shortfallOf(cpus cluster.Amount) *fairshare.Plan {
	return fairshare.NewPlan(fairshare.Snapshot{
		0: {Shard: 0, Available: 96 * cpu},
		1: {Shard: 1, Demand: [4]cluster.Amount{0, cpus * cpu}},
	})
}

// TestOfferIdleMachines checks that idle machines are offered as the groups that they
// are in, or gathered into a new group, as far as they are lacked.
func TestOfferIdleMachines(t *testing.T) {
	f := newFixture()
	whole := f.addIdleMachine("m-1")
	f.Rebalancer.OfferIdleMachines(f.shard, shortfallOf(4))
	if offer := whole.Group.Offer; offer == nil || offer.ToShard != 1 || offer.Until != offerDuration {
		t.Fatalf("a group of one idle machine: offer %+v", offer)
	}
	if len(f.regrouped) != 0 {
		t.Error("a whole group is regrouped")
	}

	f.loop.Begin(offerInterval, 1_000_000)
	second, third := f.addIdleMachine("m-2"), f.addIdleMachine("m-3")
	f.addIdleMachine("m-4")
	f.Rebalancer.OfferIdleMachines(f.shard, shortfallOf(12)) // 4 of them are offered already
	if len(f.regrouped) != 1 || !slices.Equal(f.regrouped[0], []*state.Machine{second, third}) {
		t.Fatalf("regrouped: %v", f.regrouped)
	}
	if !second.Cordoned || !third.Cordoned {
		t.Error("a machine that is being regrouped may get tasks")
	}

	f.Rebalancer.OfferIdleMachines(f.shard, shortfallOf(90))
	if len(f.regrouped) != 1 {
		t.Error("offered again within the pause")
	}
}

// TestOfferOnlyIdleMachines checks each reason for which a machine is not offered.
func TestOfferOnlyIdleMachines(t *testing.T) {
	for name, change := range map[string]func(*fixture, *state.Machine){
		"not schedulable":  func(_ *fixture, m *state.Machine) { m.TokenAcknowledged = false },
		"just became idle": func(f *fixture, m *state.Machine) { m.IdleSince = f.loop.Now() },
		"recorded task":    func(_ *fixture, m *state.Machine) { m.RecordedTaskCount = 1 },
		"record in flight": func(_ *fixture, m *state.Machine) { m.Group.WriteInFlight = true },
		"offered already":  func(_ *fixture, m *state.Machine) { m.Group.OfferTo(1, 0) },
		"no address":       func(_ *fixture, m *state.Machine) { m.Address = "" },
		"unrecorded task":  func(_ *fixture, m *state.Machine) { m.UnrecordedToStop[state.TaskAttempt{}] = true },
		"needed here": func(f *fixture, _ *state.Machine) {
			f.addJob(cluster.JobSpec{ID: "j", Tasks: 1, SubmittedAt: 1_000_000})
		},
		"shard not ready": func(f *fixture, _ *state.Machine) { f.shard.Ready = false },
		"runs a task": func(f *fixture, m *state.Machine) {
			f.addRunningTask(f.addJob(cluster.JobSpec{ID: "j", Tasks: 1}), m)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			machine := f.addIdleMachine("m-1")
			change(f, machine)
			before := machine.Group.Offer
			f.Rebalancer.OfferIdleMachines(f.shard, shortfallOf(90))
			if machine.Group.Offer != before || len(f.regrouped) != 0 {
				t.Error("offered")
			}
		})
	}
}

// TestOffersExpire checks that an offer that was not accepted in time is withdrawn, so
// that the machines get tasks again.
func TestOffersExpire(t *testing.T) {
	f := newFixture()
	group := f.addIdleMachine("m-1").Group
	group.OfferTo(1, offerDuration)
	f.loop.Begin(offerDuration, 1_000_000)
	f.Rebalancer.CordonSurplus()
	if group.Offer == nil {
		t.Fatal("withdrawn early")
	}
	f.loop.Begin(offerDuration+1, 1_000_000)
	f.Rebalancer.CordonSurplus()
	if group.Offer != nil || f.Trigger.decide(f.loop.Now()) != runNow {
		t.Error("not withdrawn, or scheduling is not requested")
	}
}

// TestTransferOffers checks what is told of an offered group, and that nothing is while
// its record is being written.
func TestTransferOffers(t *testing.T) {
	f := newFixture()
	group := f.addIdleMachine("m-1").Group
	group.ModRevision = 7
	f.addIdleMachine("m-2")
	group.OfferTo(1, offerDuration)
	offers := f.Rebalancer.TransferOffers()
	want := messages.MachineKindCount{Type: "small", Zone: "a", Count: 1}
	if len(offers) != 1 || offers[0].Key != group.Key() || offers[0].ModRevision != 7 || offers[0].Recipient != 1 ||
		!slices.Equal(offers[0].Kinds, []messages.MachineKindCount{want}) {
		t.Errorf("offers %+v", offers)
	}
	group.WritePending = true
	if offers = f.Rebalancer.TransferOffers(); len(offers) != 0 {
		t.Errorf("offers %+v while the record is being written", offers)
	}
}

// TestAcceptOfferOfOwnShard checks that a shard with pending work acquires what another
// owned shard offers to it, and that the work counts as served.
func TestAcceptOfferBetweenOwnedShards(t *testing.T) {
	f := newFixture()
	group := f.addIdleMachine("m-1").Group
	group.OfferTo(1, offerDuration)
	recipient := f.state.Shards[1]
	f.Rebalancer.AcceptOffers(recipient, nil)
	if len(f.acquired) != 0 {
		t.Error("acquired without work")
	}
	job := f.addJob(cluster.JobSpec{ID: "j", Tasks: 2})
	work := PendingWork{{Job: job, Count: 2}}
	f.Rebalancer.AcceptOffers(f.shard, work)
	if len(f.acquired) != 0 {
		t.Error("a shard acquires what is offered to another")
	}
	f.Rebalancer.AcceptOffers(recipient, work)
	if !slices.Equal(f.acquired, []string{group.Key()}) || work[0].Count != 1 {
		t.Errorf("acquired %v, %d tasks left", f.acquired, work[0].Count)
	}
}

// TestCordonSurplus checks that a shard cordons what another lacks, the machines that
// are free soonest first, and uncordons it when nothing is lacking any more.
func TestCordonSurplus(t *testing.T) {
	f := newFixture()
	busy, idle, kept := f.addMachine("m-1"), f.addMachine("m-2"), f.addMachine("m-3")
	f.addRunningTask(f.addJob(cluster.JobSpec{ID: "j", Tasks: 1, RuntimeSeconds: 100}), busy)
	load := fairshare.ShardLoad{Shard: 0, Available: 12 * cpu, Demand: [4]cluster.Amount{0, 4 * cpu}}
	shortfall := fairshare.ShardLoad{Shard: 1, Demand: [4]cluster.Amount{0, 4 * cpu}}
	f.Rebalancer.cordonShardSurplus(f.shard, load, fairshare.NewPlan(fairshare.Snapshot{0: load, 1: shortfall}))
	if busy.Cordoned || kept.Cordoned || !idle.Cordoned || idle.ScaleInCandidate {
		t.Errorf("cordoned: busy %v, idle %v, another %v", busy.Cordoned, idle.Cordoned, kept.Cordoned)
	}
	f.Rebalancer.cordonShardSurplus(f.shard, load, fairshare.NewPlan(fairshare.Snapshot{0: load}))
	if busy.Cordoned || idle.Cordoned {
		t.Errorf("still cordoned: busy %v, idle %v", busy.Cordoned, idle.Cordoned)
	}
}

// TestEvictForPriority checks that a cordoned machine is emptied only for urgent work
// and when all of its tasks may give way.
func TestEvictForPriority(t *testing.T) {
	for _, test := range []struct {
		name              string
		checkpointSeconds float64
		priority          cluster.Priority // of the task
		shortfall         cluster.Priority
		want              bool
	}{
		{"urgent work lacks it", 10, cluster.Normal, cluster.Urgent, true},
		{"normal work lacks it", 10, cluster.BestEffort, cluster.Normal, false},
		{"as important", 10, cluster.Urgent, cluster.Urgent, false},
		{"can't save a checkpoint", 0, cluster.Normal, cluster.Urgent, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			machine := f.addMachine("m-1")
			job := f.addJob(cluster.JobSpec{ID: "j", Tasks: 1, Priority: test.priority, CheckpointSeconds: test.checkpointSeconds, SubmittedAt: 1_000_000})
			assignment := f.addRunningTask(job, machine)
			f.Rebalancer.evictForPriority(machine, test.shortfall)
			if assignment.StopRequested != test.want {
				t.Errorf("stopped: %v, want %v", assignment.StopRequested, test.want)
			}
		})
	}
}

// TestOwnedLoads checks what is told of an owned shard, and when it is computed anew.
func TestOwnedLoads(t *testing.T) {
	f := newFixture()
	f.loop.Begin(second, 1_000_000)
	machine := f.addMachine("m-1")
	f.addMachine("m-2").Booting = true
	f.addMachine("m-3").Draining = true
	f.addRunningTask(f.addJob(cluster.JobSpec{ID: "running", Tasks: 1, Priority: cluster.Production}), machine)
	f.addJob(cluster.JobSpec{ID: "pending", Tasks: 2, SubmittedAt: 1_000_000})
	f.addJob(cluster.JobSpec{ID: "starving", Tasks: 1, SubmittedAt: 1})
	want := fairshare.ShardLoad{Shard: 0, Available: 4 * cpu, Booting: 4 * cpu}
	want.Demand[cluster.Production] = 4 * cpu
	want.Demand[cluster.Urgent] = 4 * cpu // the starving job, which goes before all else
	want.Demand[cluster.BestEffort] = 8 * cpu
	if loads := f.Loads.Owned(); len(loads) != 1 || loads[0] != want {
		t.Fatalf("loads %+v, want %+v", loads, want)
	}
	machine.Draining = true
	if loads := f.Loads.Owned(); loads[0] != want {
		t.Errorf("computed anew at once: %+v", loads)
	}
	f.ownershipChanges++
	if loads := f.Loads.Owned(); loads[0].Available != 0 {
		t.Errorf("not computed anew when the owned shards changed: %+v", loads)
	}
	machine.Draining = false
	f.loop.Begin(second+loadsInterval, 1_000_000)
	if loads := f.Loads.Owned(); loads[0].Available != 4*cpu {
		t.Errorf("not computed anew after a while: %+v", loads)
	}
	if all := f.Loads.All(); len(all) != 1 || all[0].Available != 4*cpu {
		t.Errorf("all loads: %+v", all)
	}
}

// TestSurplusPredicate checks that an idle machine is surplus unless pending work of
// its own shard may use it.
func TestSurplusPredicate(t *testing.T) {
	f := newFixture()
	machine := f.addIdleMachine("m-1")
	if !f.Rebalancer.SurplusPredicate()(machine) {
		t.Error("not surplus without any work")
	}
	job := f.addJob(cluster.JobSpec{ID: "j", Tasks: 1, SubmittedAt: 1_000_000})
	if f.Rebalancer.SurplusPredicate()(machine) {
		t.Error("surplus though a job may use it")
	}
	job.FailedMachines[machine.ID] = true
	if !f.Rebalancer.SurplusPredicate()(machine) {
		t.Error("not surplus though the only job avoids it")
	}
}

// TestOfferWithinTransaction checks that machines are gathered only from so many groups
// as one transaction can rewrite, by their number and the length of their records.
func TestOfferFitsTransaction(t *testing.T) {
	for _, test := range []struct {
		name       string
		recordSize int
		want       int
	}{
		{"long records", writequeue.MaxBatchBytes / 3, 3},
		{"short records", 1, 7},
		{"one record of more than a transaction", writequeue.MaxBatchBytes + 1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			f.config.MaxTxnOps = 8
			f.Configure(f.config)
			var machines []*state.Machine
			for _, id := range []cluster.MachineID{"m-1", "m-2", "m-3", "m-4", "m-5", "m-6", "m-7", "m-8", "m-9"} {
				machine := f.addIdleMachine(id)
				machine.Group.RecordSize = test.recordSize
				machines = append(machines, machine)
			}
			if got := f.Rebalancer.countToOffer(machines, 90*cpu); got != test.want {
				t.Errorf("%d machines are gathered, want %d", got, test.want)
			}
		})
	}
}

// TestScaleInCandidatesAreTheDearest checks which machines run empty when a shard has
// more than it needs.
func TestScaleInMostExpensiveFirst(t *testing.T) {
	f := newFixture()
	expensive := f.state.MachineTypes["small"]
	expensive.Name, expensive.OnDemandPrice = "dear", 2
	f.state.MachineTypes["dear"] = expensive
	cheap := f.state.MachineTypes["small"]
	cheap.OnDemandPrice = 1
	f.state.MachineTypes["small"] = cheap
	first, second, third := f.addMachine("m-1"), f.addMachine("m-2"), f.addMachine("m-3")
	second.MachineType = "dear"
	load := fairshare.ShardLoad{Shard: 0, Available: 12 * cpu} // 8 CPUs are kept in reserve
	f.Rebalancer.selectScaleInCandidates(f.shard, []*state.Machine{first, second, third}, load)
	if first.Cordoned || third.Cordoned || !second.ScaleInCandidate || !second.Cordoned {
		t.Errorf("cordoned: %v, %v (dear), %v", first.Cordoned, second.Cordoned, third.Cordoned)
	}
}

// TestCanScaleOut checks that a shard that has its share scales out less often while
// another lacks its own.
func TestCanScaleOut(t *testing.T) {
	f := newFixture()
	f.loop.Begin(10*second, 1_000_000)
	for range 5 {
		if !f.Rebalancer.CanScaleOut(f.shard) {
			t.Fatal("held back though no other shard lacks machines")
		}
	}
	other := f.state.Shards[1]
	other.Owned, other.Ready = true, true
	shortfallJob := state.NewJob(cluster.JobSpec{ID: "lacking", Team: "red", Tasks: 1, ResourceRequest: cluster.Resources{CPU: 4 * cpu}, SubmittedAt: 1_000_000}, other.ID, 0, 0)
	f.state.AddOwnedJob(shortfallJob)
	for _, id := range []cluster.MachineID{"m-1", "m-2", "m-3", "m-4", "m-5", "m-6"} {
		f.addMachine(id)
	}
	f.ownershipChanges++
	var allowed []bool
	for _, now := range []cluster.Time{10 * second, 11 * second, 14 * second, 15 * second} {
		f.loop.Begin(now, 1_000_000)
		allowed = append(allowed, f.Rebalancer.CanScaleOut(f.shard))
	}
	if !slices.Equal(allowed, []bool{true, false, true, false}) {
		t.Errorf("allowed at 10, 11, 14 and 15 s: %v", allowed)
	}
}
