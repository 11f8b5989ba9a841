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
	// faultPeriod is how long a simulated day has new faults.
	faultPeriod = 240 * second
	// longestFault is how long a fault goes on after it has begun.
	maxFaultDuration = 40 * second
	// workPeriod is how long after the faults all work should be done. The least
	// important work of a team at its quota limit takes some eight minutes where
	// half of the machines were removed more than once.
	completionTimeout = 540 * second
	// maxStartDelay is how long the largest job of a class may wait for its start.
	maxStartDelay = 240 * second
)

// randomDayFaults are the kinds of faults that the random days must have.
var requiredRandomFaults = []simulation.FaultKind{
	simulation.FaultCommandToUnreachableMachine,
	simulation.FaultAnswerToUnreachableMachine,
	simulation.FaultDuplicateHeartbeat,
	simulation.FaultDuplicateHeartbeatOfRemovedMachine,
	simulation.FaultAnswerFromIsolatedNode,
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
	faultRefusalThenOutage,
	faultNodeKilledAtAcquire,
	faultOutageAtAcquire,
	simulation.FaultFastBoot,
	faultFastBootsWithSlowStore,
	faultSlowStoreRefusesNode,
	simulation.FaultSlowPeerMessage,
	simulation.FaultDependentSubmitted,
	simulation.FaultDependentStarted,
	simulation.FaultDependentCancelled,
}

// TestRandomFaults runs seeded days with crashes, partitions, hangs, outages and
// late messages, and checks the protocol's rules all along, and that the work
// gets done once the faults are over.
func TestRandomFaults(t *testing.T) {
	from, to := seedRange(t, 1, 25)
	var seen faultTotals
	t.Run("seeds", func(t *testing.T) {
		forEachSeed(t, from, to, func(t *testing.T, seed uint64) {
			t.Helper()
			seen.add(simulateRandomFaults(t, seed, testConfig()))
		})
	})
	t.Run("seven", func(t *testing.T) {
		forEachSeed(t, from, from+(to-from)/2, func(t *testing.T, seed uint64) {
			t.Helper()
			simulateRandomFaults(t, seed, sevenNodeConfig())
		})
	})
	seen.check(t, requiredRandomFaults, to-from >= 20)
	// They are allowed within the time for a cancellation, but cost work.
	t.Logf("%s: %d", simulation.FaultStartAfterCancel, seen.counts[simulation.FaultStartAfterCancel])
}

// forEachSeed runs a day for each seed, side by side.
func forEachSeed(t *testing.T, from, to int, simulate func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := from; seed <= to; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			simulate(t, uint64(seed))
		})
	}
}

// faultTotals adds up the faults of several days.
type faultTotals struct {
	mu     sync.Mutex
	counts map[simulation.FaultKind]int
}

func (f *faultTotals) add(day map[simulation.FaultKind]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = map[simulation.FaultKind]int{}
	}
	for kind, count := range day {
		f.counts[kind] += count
	}
}

// check logs how often each kind of fault came up, and fails if one that is
// required never did: a rule that holds without its fault shows nothing.
func (f *faultTotals) check(t *testing.T, kinds []simulation.FaultKind, required bool) {
	t.Helper()
	for _, kind := range kinds {
		t.Logf("%s: %d", kind, f.counts[kind])
		if f.counts[kind] == 0 && required {
			t.Errorf("no day had %s", kind)
		}
	}
}

// seedRange is the range of seeds to run: the given one, or that of
// STAIRRELAY_SEEDS, as in "100-400".
func seedRange(t *testing.T, from, to int) (int, int) {
	t.Helper()
	if seeds := os.Getenv("STAIRRELAY_SEEDS"); seeds != "" {
		if _, err := fmt.Sscanf(seeds, "%d-%d", &from, &to); err != nil {
			t.Fatalf("STAIRRELAY_SEEDS: %v", err)
		}
	}
	return from, to
}

// simulateDay runs a day with faults of all kinds and returns how often each took
// effect.
func simulateRandomFaults(t *testing.T, seed uint64, cfg controller.Config, options ...simulation.Option) map[simulation.FaultKind]int {
	t.Helper()
	sim := newSimulator(seed, cfg, options...)
	if len(cfg.Nodes) == 3 { // else no machine is up at the start
		addMachinesPerZone(sim, 1)
	}
	runWithFaults(t, sim, cfg, func(teams []string, until cluster.Time) {
		planJobs(sim, teams, until)
		planSingleFaults(sim, until)
		planCombinedFaults(sim, until, cfg.CancelDeadline)
		planPipelines(sim, teams, until)
	})
	if len(sim.Jobs) == 0 {
		t.Error("no job was submitted: the day tests nothing")
	}
	for _, job := range largestJobs(sim) {
		delay := job.FirstStartAt - job.SubmittedAt
		if !job.CancelRequested && (job.FirstStartAt == 0 || delay > maxStartDelay) {
			t.Errorf("%s, the largest of class %s, started %v after its submission", job.Spec.ID, job.Spec.Class, time.Duration(delay))
		}
	}
	return sim.FaultCounts
}

// runWithFaults runs a day with late messages and the faults that are planned for
// it, and then until the work should be done. No rule may be broken and no job
// left.
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

// enableRandomMessageFaults lets messages arrive late, twice or slowly at random.
func enableRandomMessageFaults(sim *simulation.Simulator) {
	sim.Network.LateDelivery = true
	sim.Network.HeartbeatDuplicateChance = 0.03
	sim.Network.SlowPeerChance = 0.03
}

// checkUsageSums checks each second whether the sums that the controllers keep of
// their tasks' resources are those of the tasks themselves.
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

// largestJobs finds each class's largest job by what its tasks need in all. Jobs
// with dependencies are left out, as their waiting time counts from another
// moment.
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
