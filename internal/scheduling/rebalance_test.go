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

// addIdleMachine adds a machine that can be transferred to another shard.
func (f *fixture) addIdleMachine(id cluster.MachineID) *state.Machine {
	machine := f.addMachine(id)
	machine.Address, machine.IdleSince = string(id), f.loop.Now()-second
	return machine
}

// shortfallOf returns a plan in which the second shard has a shortfall of the given number
// of CPUs and the first one has CPUs to spare.
func shortfallOf(cpus cluster.Amount) *fairshare.Plan {
	return fairshare.NewPlan(fairshare.Snapshot{
		0: {Shard: 0, Available: 96 * cpu},
		1: {Shard: 1, Demand: [4]cluster.Amount{0, cpus * cpu}},
	})
}

// TestOfferIdleMachines checks that idle machines are offered as a whole group or else
// regrouped first, and no more of them than the shortfall requires.
func TestOfferIdleMachines(t *testing.T) {
	f := newFixture()
	whole := f.addIdleMachine("m-1")
	f.Rebalancer.OfferIdleMachines(f.shard, shortfallOf(4))
	if offer := whole.Group.Offer; offer == nil || offer.ToShard != 1 || offer.Until != offerDuration {
		t.Fatalf("offer of a group of one idle machine: %+v", offer)
	}
	if len(f.regrouped) != 0 {
		t.Error("a whole group was regrouped")
	}

	f.loop.Begin(offerInterval, 1_000_000)
	second, third := f.addIdleMachine("m-2"), f.addIdleMachine("m-3")
	f.addIdleMachine("m-4")
	f.Rebalancer.OfferIdleMachines(f.shard, shortfallOf(12)) // 4 CPUs are already offered
	if len(f.regrouped) != 1 || !slices.Equal(f.regrouped[0], []*state.Machine{second, third}) {
		t.Fatalf("regrouped %v, want m-2 and m-3", f.regrouped)
	}
	if !second.Cordoned || !third.Cordoned {
		t.Error("a machine that is being regrouped is not cordoned")
	}

	f.Rebalancer.OfferIdleMachines(f.shard, shortfallOf(90))
	if len(f.regrouped) != 1 {
		t.Error("offered again within the offer interval")
	}
}

// TestOfferOnlyIdleMachines checks that a machine is not offered if it is in use or can't
// be transferred.
func TestOfferOnlyIdleMachines(t *testing.T) {
	for name, change := range map[string]func(*fixture, *state.Machine){
		"not schedulable":  func(_ *fixture, m *state.Machine) { m.TokenAcknowledged = false },
		"just became idle": func(f *fixture, m *state.Machine) { m.IdleSince = f.loop.Now() },
		"recorded task":    func(_ *fixture, m *state.Machine) { m.RecordedTaskCount = 1 },
		"write in flight":  func(_ *fixture, m *state.Machine) { m.Group.WriteInFlight = true },
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
				t.Error("the machine was offered or regrouped")
			}
		})
	}
}

// TestOffersExpire checks that an offer that is not accepted in time is withdrawn.
// Otherwise the offered machines would never get tasks again.
func TestOffersExpire(t *testing.T) {
	f := newFixture()
	group := f.addIdleMachine("m-1").Group
	group.OfferTo(1, offerDuration)
	f.loop.Begin(offerDuration, 1_000_000)
	f.Rebalancer.CordonSurplus()
	if group.Offer == nil {
		t.Fatal("offer withdrawn before it expired")
	}
	f.loop.Begin(offerDuration+1, 1_000_000)
	f.Rebalancer.CordonSurplus()
	if group.Offer != nil || f.Trigger.decide(f.loop.Now()) != runNow {
		t.Error("expired offer not withdrawn, or no scheduling run requested")
	}
}

// TestTransferOffers checks the contents of an offer, and that a group is not offered
// with an outdated mod revision while its record is being written.
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

// TestAcceptOfferBetweenOwnedShards checks that a shard with pending work acquires a group
// that another owned shard offers to it, and that the tasks that fit are removed from work.
func TestAcceptOfferBetweenOwnedShards(t *testing.T) {
	f := newFixture()
	group := f.addIdleMachine("m-1").Group
	group.OfferTo(1, offerDuration)
	recipient := f.state.Shards[1]
	f.Rebalancer.AcceptOffers(recipient, nil)
	if len(f.acquired) != 0 {
		t.Error("a group was acquired without pending work")
	}
	job := f.addJob(cluster.JobSpec{ID: "j", Tasks: 2})
	work := PendingWork{{Job: job, Count: 2}}
	f.Rebalancer.AcceptOffers(f.shard, work)
	if len(f.acquired) != 0 {
		t.Error("a shard acquired a group that is offered to another shard")
	}
	f.Rebalancer.AcceptOffers(recipient, work)
	if !slices.Equal(f.acquired, []string{group.Key()}) || work[0].Count != 1 {
		t.Errorf("acquired %v with %d tasks left, want the offered group and 1 task left", f.acquired, work[0].Count)
	}
}

// TestCordonSurplus checks that a shard cordons the machines that will be idle soonest
// while another shard has a shortfall, and uncordons them afterwards.
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

// TestEvictForPriority checks that the tasks of a cordoned machine are preempted only for
// urgent work of a higher priority, and only if they can save a checkpoint.
func TestEvictForPriority(t *testing.T) {
	for _, test := range []struct {
		name              string
		checkpointSeconds float64
		priority          cluster.Priority // priority of the task
		shortfall         cluster.Priority // highest priority in shards with a shortfall
		want              bool
	}{
		{"shortfall of urgent work", 10, cluster.Normal, cluster.Urgent, true},
		{"shortfall of normal work", 10, cluster.BestEffort, cluster.Normal, false},
		{"equal priority", 10, cluster.Urgent, cluster.Urgent, false},
		{"can't save a checkpoint", 0, cluster.Normal, cluster.Urgent, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			machine := f.addMachine("m-1")
			job := f.addJob(cluster.JobSpec{ID: "j", Tasks: 1, Priority: test.priority, CheckpointIntervalSeconds: test.checkpointSeconds, SubmittedAt: 1_000_000})
			assignment := f.addRunningTask(job, machine)
			f.Rebalancer.evictForPriority(machine, test.shortfall)
			if assignment.StopRequested != test.want {
				t.Errorf("stopped: %v, want %v", assignment.StopRequested, test.want)
			}
		})
	}
}

// TestOwnedLoads checks the load of an owned shard, and when the cached load is
// recomputed.
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
	want.Demand[cluster.Urgent] = 4 * cpu // the starving job counts as urgent
	want.Demand[cluster.BestEffort] = 8 * cpu
	if loads := f.Loads.Owned(); len(loads) != 1 || loads[0] != want {
		t.Fatalf("loads %+v, want %+v", loads, want)
	}
	machine.Draining = true
	if loads := f.Loads.Owned(); loads[0] != want {
		t.Errorf("recomputed within the interval: %+v", loads)
	}
	f.ownershipChanges++
	if loads := f.Loads.Owned(); loads[0].Available != 0 {
		t.Errorf("not recomputed after the set of owned shards changed: %+v", loads)
	}
	machine.Draining = false
	f.loop.Begin(second+loadsInterval, 1_000_000)
	if loads := f.Loads.Owned(); loads[0].Available != 4*cpu {
		t.Errorf("not recomputed after the interval: %+v", loads)
	}
	if all := f.Loads.All(); len(all) != 1 || all[0].Available != 4*cpu {
		t.Errorf("loads of all shards: %+v", all)
	}
}

// TestSurplusPredicate checks that an idle machine is not surplus while a job with pending
// tasks in its shard may use it.
func TestSurplusPredicate(t *testing.T) {
	f := newFixture()
	machine := f.addIdleMachine("m-1")
	if !f.Rebalancer.SurplusPredicate()(machine) {
		t.Error("not surplus without any job")
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

// TestOfferFitsTransaction checks that the machines to regroup come from no more groups
// than one transaction can rewrite, by number and by size of their records.
func TestOfferFitsTransaction(t *testing.T) {
	for _, test := range []struct {
		name       string
		recordSize int
		want       int
	}{
		{"long records", writequeue.MaxBatchBytes / 3, 3},
		{"short records", 1, 7},
		{"one record larger than a transaction", writequeue.MaxBatchBytes + 1, 1},
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
				t.Errorf("%d machines to offer, want %d", got, test.want)
			}
		})
	}
}

// TestScaleInMostExpensiveFirst checks that a shard with a surplus cordons its most
// expensive machines.
func TestScaleInMostExpensiveFirst(t *testing.T) {
	f := newFixture()
	expensive := f.state.MachineTypes["small"]
	expensive.Name, expensive.OnDemandPrice = "expensive", 2
	f.state.MachineTypes["expensive"] = expensive
	cheap := f.state.MachineTypes["small"]
	cheap.OnDemandPrice = 1
	f.state.MachineTypes["small"] = cheap
	first, second, third := f.addMachine("m-1"), f.addMachine("m-2"), f.addMachine("m-3")
	second.MachineType = "expensive"
	load := fairshare.ShardLoad{Shard: 0, Available: 12 * cpu} // 8 CPUs are kept as a reserve
	f.Rebalancer.selectScaleInCandidates(f.shard, []*state.Machine{first, second, third}, load)
	if first.Cordoned || third.Cordoned || !second.ScaleInCandidate || !second.Cordoned {
		t.Errorf("cordoned: %v, %v (expensive), %v", first.Cordoned, second.Cordoned, third.Cordoned)
	}
}

// TestCanScaleOut checks that a shard may scale out only once per interval while another
// shard lacks capacity and has much less.
func TestCanScaleOut(t *testing.T) {
	f := newFixture()
	f.loop.Begin(10*second, 1_000_000)
	for range 5 {
		if !f.Rebalancer.CanScaleOut(f.shard) {
			t.Fatal("scale-out not allowed though no other shard lacks capacity")
		}
	}
	other := f.state.Shards[1]
	other.Owned, other.Ready = true, true
	shortfallJob := state.NewJob(cluster.JobSpec{ID: "shortfall", Team: "red", Tasks: 1, ResourceRequest: cluster.Resources{CPU: 4 * cpu}, SubmittedAt: 1_000_000}, other.ID, 0, 0)
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
		t.Errorf("scale-out allowed at 10, 11, 14 and 15 s: %v, want at 10 and 14 s only", allowed)
	}
}
