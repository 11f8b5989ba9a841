package controller_test

import (
	"fmt"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/simulation"
)

// fleet is a simulated cluster with many machines, all running from the start. The limits
// of its store do not grow with the number of machines.
type fleet struct {
	*simulation.Simulator
	t            *testing.T
	machineCount int
	jobCount     int
}

const fleetTeamCount = 6

func newFleet(t *testing.T, controllers, machines int) *fleet {
	t.Helper()
	cfg := testConfig()
	cfg.Nodes, cfg.Teams = nil, nil
	for i := range controllers {
		cfg.Nodes = append(cfg.Nodes, cluster.NodeID(fmt.Sprintf("n%d", i)))
	}
	for i := range fleetTeamCount {
		limit := cpu * cluster.Amount(machines)
		cfg.Teams = append(cfg.Teams, testTeam(fmt.Sprintf("t%d", i), limit/2, 2*limit))
	}
	cfg.HeartbeatInterval, cfg.WorkerLease, cfg.CancelDeadline = 5*second, 26*second, 56*second
	cfg.StoreRPS, cfg.WriteRPS, cfg.MaxValueBytes, cfg.MaxTxnOps, cfg.CloudRPS, cfg.CloudListLag = 250, 100, 8192, 16, 6, 10*second
	f := &fleet{t: t, machineCount: machines, Simulator: newSimulator(1, cfg)}
	f.NoRandomFaults = true
	f.Store.Limits = simulation.StoreLimits{WriteRPS: cfg.WriteRPS, ValueBytes: cfg.MaxValueBytes, TxnOps: cfg.MaxTxnOps}
	for i := range machines {
		f.Machines.Add("small", zones[i%len(zones)], false)
	}
	return f
}

// submitLoad submits jobs whose tasks fill the given number of machines.
func (f *fleet) submitLoad(machines int, run cluster.Time) {
	const tasks = 80 // of one CPU each, which fill 20 machines of four CPUs
	for range machines * 4 / tasks {
		team := fmt.Sprintf("t%d", f.jobCount%fleetTeamCount)
		spec := newJobSpec(cluster.JobID(fmt.Sprintf("j-%06d", f.jobCount)), team, tasks, run)
		spec.Image = fmt.Sprintf("img-%d", f.jobCount%20)
		f.jobCount++
		f.Users.Submit(newJob(spec, run))
	}
}

// countOwnedMachines returns the number of owned machines whose workers have acknowledged
// their fencing tokens, and the number of all owned machines.
func (f *fleet) countOwnedMachines() (acknowledged, all int) {
	for _, c := range f.Controllers() {
		confirmed, owned := c.OwnedMachineCounts()
		acknowledged += confirmed
		all += owned
	}
	return acknowledged, all
}

// waitFor runs until holds returns true, and returns how long that took. It fails if that
// takes longer than within or if an invariant is violated.
func (f *fleet) waitFor(what string, within cluster.Time, holds func() bool) cluster.Time {
	f.t.Helper()
	start := f.Now
	for at := start; !holds(); f.RunUntil(at) {
		if at += second / 4; at > start+within || len(f.Violations) > 0 {
			acknowledged, all := f.countOwnedMachines()
			f.t.Fatalf("condition not met within %v: %s; of %d running machines %d are owned and %d acknowledged, %d jobs are unfinished; violations: %v",
				time.Duration(within), what, f.Machines.LiveCount(), all, acknowledged, f.UnfinishedJobCount(), f.Violations)
		}
	}
	return f.Now - start
}

// maxUnownedMachines is the maximum number of running machines that may be unowned
// because they were provisioned during the test and have not sent a heartbeat yet.
const maxUnownedMachines = 10

// waitForAllOwned runs until all running machines but maxUnownedMachines, and at least
// nine tenths of the fleet, are owned and all owned machines have acknowledged their
// fencing tokens. It returns how long that took.
func (f *fleet) waitForAllOwned(within cluster.Time) cluster.Time {
	f.t.Helper()
	return f.waitFor("all machines are owned and have acknowledged their fencing tokens", within, func() bool {
		acknowledged, all := f.countOwnedMachines()
		return acknowledged == all && all >= f.Machines.LiveCount()-maxUnownedMachines && all >= f.machineCount*9/10
	})
}

// waitForAllDone runs until all jobs have ended, and returns how long that took. It
// checks that no shard is stalled, that the cached usage is consistent and that no
// transaction exceeded the size limits.
func (f *fleet) waitForAllDone(within cluster.Time) cluster.Time {
	f.t.Helper()
	took := f.waitFor("all jobs have ended", within, func() bool { return f.UnfinishedJobCount() == 0 })
	for _, c := range f.Controllers() {
		if stalled := c.StalledShardCount(); stalled > 0 {
			f.t.Errorf("%d shards are stalled", stalled)
		}
		if mismatch := c.UsageMismatch(); mismatch != "" {
			f.t.Error(mismatch)
		}
	}
	if f.Store.Rejected.Size > 0 {
		f.t.Errorf("%d transactions exceeded the size limits", f.Store.Rejected.Size)
	}
	return took
}

const largeFleetMachines = 4000

// TestLargeFleetFaults checks that a large fleet recovers in bounded time from the loss
// of controllers, a store outage and the partition of a zone.
func TestLargeFleetFaults(t *testing.T) {
	t.Run("two of five controllers lost, and an outage during the failover", func(t *testing.T) {
		t.Parallel()
		f := newFleet(t, 5, largeFleetMachines)
		registered := f.waitForAllOwned(20 * second)
		f.submitLoad(2*largeFleetMachines, 30*second)
		f.RunUntil(f.Now + 10*second)
		for range 2 {
			restart(f.Simulator, f.BusiestNode(), 30*second)
		}
		f.RunUntil(f.Now + 8*second) // the other controllers are about to acquire the shards
		f.StoreAPI.DownUntil = f.Now + 10*second
		f.RunUntil(f.StoreAPI.DownUntil)
		recovered := f.waitForAllOwned(26 * second)
		completed := f.waitForAllDone(120 * second)
		t.Logf("registered in %v, all owned again %v after the outage, done %v later", time.Duration(registered), time.Duration(recovered), time.Duration(completed))
	})
	t.Run("one of five controllers is left for all machines", func(t *testing.T) {
		t.Parallel()
		f := newFleet(t, 5, largeFleetMachines)
		f.waitForAllOwned(20 * second)
		f.submitLoad(2*largeFleetMachines, 30*second)
		f.RunUntil(f.Now + 5*second)
		for _, n := range f.Nodes[1:] {
			restart(f.Simulator, n, 60*second)
		}
		recovered := f.waitForAllOwned(40 * second)
		completed := f.waitForAllDone(120 * second)
		t.Logf("all owned after %v, done %v later", time.Duration(recovered), time.Duration(completed))
	})
	t.Run("a zone with a third of the machines is partitioned and recovers", func(t *testing.T) {
		t.Parallel()
		f := newFleet(t, 3, largeFleetMachines)
		f.waitForAllOwned(20 * second)
		f.submitLoad(2*largeFleetMachines, 30*second)
		f.RunUntil(f.Now + 5*second)
		f.Machines.PartitionZone("a", 20*second) // shorter than the lease, so tasks continue
		f.RunUntil(f.Now + 20*second)
		recovered := f.waitForAllOwned(20 * second)
		completed := f.waitForAllDone(120 * second)
		t.Logf("all owned %v after the partition ended, done %v later", time.Duration(recovered), time.Duration(completed))
	})
}
