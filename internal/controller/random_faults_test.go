package controller_test

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
	"stairrelay/internal/simulation"
)

const (
	// faultPeriod is the period at the start of a run during which faults begin.
	faultPeriod = 240 * second
	// maxFaultDuration limits the duration of single faults. All faults have ended this
	// long after faultPeriod.
	maxFaultDuration = 40 * second
	// completionTimeout is the time after faultPeriod within which all jobs must have
	// ended.
	completionTimeout = 540 * second
	// maxStartDelay is the maximum time from the submission of the largest job of a class
	// to its start.
	maxStartDelay = 240 * second
)

// requiredRandomFaults are the kinds of faults that must occur in the random runs.
var requiredRandomFaults = []simulation.FaultKind{
	simulation.FaultCommandToUnreachableMachine,
	simulation.FaultRepeatedStart,
	simulation.FaultRepeatedWrite,
	simulation.FaultRepeatedCloudCall,
	simulation.FaultRepeatedPeerMessage,
	simulation.FaultRepeatedUserRequest,
	simulation.FaultResponseToUnreachableMachine,
	simulation.FaultDuplicateHeartbeat,
	simulation.FaultDuplicateHeartbeatOfRemovedMachine,
	simulation.FaultResponseFromIsolatedNode,
	faultNodeKilledInRestart,
	faultNodePaused,
	faultAllNodesPaused,
	faultZonePartitioned,
	faultHalfOfMachinesRemoved,
	faultPeersRefused,
	faultAllNodesKilledInOutage,
	faultFaultyMachinesWithoutCloud,
	faultBusiestNodeKilledRepeatedly,
	simulation.FaultLateWrite,
	simulation.FaultLateWriteApplied,
	simulation.FaultReplyLost,
	simulation.FaultHeartbeatReplayedAtFailover,
	simulation.FaultHeartbeatBlocked,
	simulation.FaultCommandToBlockedMachine,
	simulation.FaultRunningJobCancelled,
	simulation.FaultMachineOfCancelledJobHung,
	simulation.FaultCancelledAtEnd,
	simulation.FaultQueryAfterWrite,
	simulation.FaultSubmitAfterWrite,
	simulation.FaultCancelAfterWrite,
	simulation.FaultRepeatedSubmission,
	simulation.FaultDoneJobCancelled,
	simulation.FaultUnschedulableSubmission,
	simulation.FaultMalformedSubmission,
	faultRejectionThenOutage,
	faultNodeKilledAtAcquire,
	faultOutageAtAcquire,
	simulation.FaultFastBoot,
	faultFastBootsWithSlowStore,
	faultSlowStoreRejectsNode,
	simulation.FaultSlowPeerMessage,
	simulation.FaultDependentSubmitted,
	simulation.FaultDependentStarted,
	simulation.FaultDependentCancelled,
}

// requiredAdditionalFaults are the kinds of additional faults that must occur.
var requiredAdditionalFaults = []simulation.FaultKind{
	simulation.FaultUnknownFields,
	simulation.FaultStartCopyDelivered,
	faultQuickReturn,
	faultDeepPipelineCancelled,
}

// TestRandomFaults checks the protocol's invariants under random crashes, partitions,
// hangs, outages and late messages, and that all jobs end in bounded time afterwards.
func TestRandomFaults(t *testing.T) {
	from, to := seedRange(t, 1, 25)
	var seen faultTotals
	t.Run("seeds", func(t *testing.T) {
		forEachSeed(t, from, to, func(t *testing.T, seed uint64) {
			t.Helper()
			seen.add(simulateRandomFaults(t, seed, testConfig()))
		})
	})
	t.Run("seven nodes", func(t *testing.T) {
		forEachSeed(t, from, from+(to-from)/2, func(t *testing.T, seed uint64) {
			t.Helper()
			simulateRandomFaults(t, seed, sevenNodeConfig())
		})
	})
	seen.check(t, requiredRandomFaults, to-from >= 20)
	t.Run("additional faults", func(t *testing.T) {
		var seen faultTotals
		t.Run("seeds", func(t *testing.T) {
			forEachSeed(t, from, to, func(t *testing.T, seed uint64) {
				t.Helper()
				seen.add(simulateAdditionalFaults(t, seed, testConfig()))
			})
		})
		seen.check(t, requiredAdditionalFaults, to-from >= 20)
	})
	// Starts after a cancellation are allowed until its deadline, but waste capacity.
	t.Logf("%s: %d", simulation.FaultStartAfterCancel, seen.counts[simulation.FaultStartAfterCancel])
}

// forEachSeed calls simulate for each seed, in parallel subtests.
func forEachSeed(t *testing.T, from, to int, simulate func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := from; seed <= to; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			simulate(t, uint64(seed))
		})
	}
}

// faultTotals sums up the faults of several runs.
type faultTotals struct {
	mu     sync.Mutex
	counts map[simulation.FaultKind]int
}

func (f *faultTotals) add(counts map[simulation.FaultKind]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = map[simulation.FaultKind]int{}
	}
	for kind, count := range counts {
		f.counts[kind] += count
	}
}

// check logs how often each kind of fault occurred. If required is set, it fails for each
// kind that did not occur.
func (f *faultTotals) check(t *testing.T, kinds []simulation.FaultKind, required bool) {
	t.Helper()
	for _, kind := range kinds {
		t.Logf("%s: %d", kind, f.counts[kind])
		if f.counts[kind] == 0 && required {
			t.Errorf("fault did not occur in any run: %s", kind)
		}
	}
}

// seedRange returns the range of seeds to run. The environment variable
// STAIRRELAY_SEEDS, such as "100-400", overrides the given range.
func seedRange(t *testing.T, from, to int) (int, int) {
	t.Helper()
	if seeds := os.Getenv("STAIRRELAY_SEEDS"); seeds != "" {
		if _, err := fmt.Sscanf(seeds, "%d-%d", &from, &to); err != nil {
			t.Fatalf("STAIRRELAY_SEEDS: %v", err)
		}
	}
	return from, to
}

// simulateRandomFaults simulates a cluster with faults of all kinds and returns how often
// each kind occurred. It makes the checks of runWithFaults, and checks that the largest
// job of each class starts within maxStartDelay.
func simulateRandomFaults(t *testing.T, seed uint64, cfg controller.Config, options ...simulation.Option) map[simulation.FaultKind]int {
	t.Helper()
	return simulateFaults(t, seed, cfg, func(*simulation.Simulator, []string, cluster.Time) {}, options...)
}

// simulateFaults is like simulateRandomFaults. It calls planMore after it has planned the
// faults and jobs of the seed.
func simulateFaults(t *testing.T, seed uint64, cfg controller.Config, planMore func(sim *simulation.Simulator, teams []string, until cluster.Time), options ...simulation.Option) map[simulation.FaultKind]int {
	t.Helper()
	sim := newSimulator(seed, cfg, options...)
	if len(cfg.Nodes) == 3 { // in larger clusters no machine is running at the start
		addMachinesPerZone(sim, 1)
	}
	runWithFaults(t, sim, cfg, func(teams []string, until cluster.Time) {
		planJobs(sim, teams, until)
		planSingleFaults(sim, until)
		planCombinedFaults(sim, until, cfg.CancelDeadline)
		planPipelines(sim, teams, until)
		planMore(sim, teams, until)
	})
	if len(sim.Jobs) == 0 {
		t.Error("no job was submitted")
	}
	for _, job := range largestJobs(sim) {
		delay := job.FirstStartAt - job.SubmittedAt
		if !job.CancelRequested && (job.FirstStartAt == 0 || delay > maxStartDelay) {
			t.Errorf("%s, the largest job of class %s, started %v after its submission, want a start within 4m (a negative time means that it never started)", job.Spec.ID, job.Spec.Class, time.Duration(delay))
		}
	}
	return sim.FaultCounts
}

// runWithFaults runs a simulation until faultPeriod + completionTimeout, with random
// message faults and with the faults and jobs that plan schedules. It checks that no
// invariant was violated and that all jobs have ended.
func runWithFaults(t *testing.T, sim *simulation.Simulator, cfg controller.Config, plan func(teams []string, until cluster.Time)) {
	t.Helper()
	enableRandomMessageFaults(sim)
	if os.Getenv("STAIRRELAY_LOG") != "" {
		sim.Log = func(text string) { t.Log(time.Duration(sim.Now), text) }
	}
	var teams []string
	for _, team := range cfg.Teams {
		teams = append(teams, team.Name)
	}
	plan(teams, faultPeriod)
	checkUsageSums(t, sim)
	sim.FaultsOverAt = faultPeriod + maxFaultDuration
	sim.RunUntil(faultPeriod + completionTimeout)
	for _, violation := range sim.Violations {
		t.Error(violation)
	}
	if t.Failed() {
		return
	}
	for _, job := range sim.Jobs {
		if !job.ReportedStatus.IsFinal() {
			t.Errorf("%s (%d tasks, spot %v, colocate %v, spread %v) is still %q", job.Spec.ID, job.Spec.Tasks, job.Spec.Spot, job.Spec.Colocate, job.Spec.Spread, job.ReportedStatus)
		}
	}
}

// enableRandomMessageFaults enables random message faults. Messages sent during a partition
// may arrive after it, heartbeats and executed requests may arrive twice, and peer messages
// may be slow.
func enableRandomMessageFaults(sim *simulation.Simulator) {
	sim.Network.LateDelivery = true
	sim.Network.HeartbeatDuplicateChance = 0.03
	sim.Network.PushRepeatChance = 0.2
	sim.Network.RepeatChance = 0.05
	sim.Network.SlowPeerChance = 0.03
}

// checkUsageSums schedules a check every second that the controllers' cached resource
// usage equals the sum over their tasks.
func checkUsageSums(t *testing.T, sim *simulation.Simulator) {
	t.Helper()
	var check func()
	check = func() {
		for _, c := range sim.Controllers() {
			if mismatch := c.UsageMismatch(); mismatch != "" {
				t.Errorf("%v: %s", time.Duration(sim.Now), mismatch)
				return
			}
		}
		sim.After(second, check)
	}
	sim.After(second, check)
}

// largestJobs returns, for each class, the job that needs the most CPU time. Jobs with
// dependencies are excluded, because they can't start before their dependencies are done.
func largestJobs(sim *simulation.Simulator) map[string]*simulation.Job {
	size := func(job *simulation.Job) float64 {
		return float64(job.Spec.ResourceRequest.CPU) * float64(job.Spec.Tasks) * job.Spec.RuntimeSeconds
	}
	largest := map[string]*simulation.Job{}
	for _, job := range sim.Jobs {
		if len(job.Spec.Dependencies) > 0 {
			continue
		}
		if other := largest[job.Spec.Class]; other == nil || size(job) > size(other) {
			largest[job.Spec.Class] = job
		}
	}
	return largest
}

// longRunSeeds are seeds outside the range of TestRandomFaults that have failed in long runs.
var longRunSeeds = []uint64{1323, 1367, 2020}

// TestLongRunSeeds repeats the runs of TestRandomFaults with longRunSeeds.
func TestLongRunSeeds(t *testing.T) {
	for _, seed := range longRunSeeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			simulateRandomFaults(t, seed, testConfig())
		})
	}
}
