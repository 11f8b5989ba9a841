package controller_test

import (
	"fmt"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/simulation"
)

// fleet is a cluster with many machines, all up at the start, and the limits of a
// state service that knows nothing of their number.
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
		most := cpu * cluster.Amount(machines)
		cfg.Teams = append(cfg.Teams, cluster.Team{Name: fmt.Sprintf("t%d", i), GuaranteedQuota: cluster.Resources{CPU: most / 2}, QuotaLimit: cluster.Resources{CPU: 2 * most}})
	}
	cfg.HeartbeatInterval, cfg.WorkerLease, cfg.CancelDeadline = 5*second, 26*second, 56*second
	cfg.StoreRPS, cfg.WriteRPS, cfg.MaxValueBytes, cfg.MaxTxnOps, cfg.CloudRPS, cfg.CloudListLag = 250, 100, 8192, 16, 6, 10*second
	f := &fleet{t: t, machineCount: machines, Simulator: newSimulator(1, cfg)}
	f.NoRandomFaults = true
	f.StateService.Limits = simulation.StoreLimits{WriteRPS: cfg.WriteRPS, ValueBytes: cfg.MaxValueBytes, TxnOps: cfg.MaxTxnOps}
	for i := range machines {
		f.Machines.Add("small", []string{"a", "b", "c"}[i%3], false)
	}
	return f
}

// submitLoad hands in jobs whose tasks fill so many machines.
func (f *fleet) submitLoad(machines int, run cluster.Time) {
	const tasks = 80 // of one CPU on machines of four: a job fills twenty
	for range machines * 4 / tasks {
		team := fmt.Sprintf("t%d", f.jobCount%fleetTeamCount)
		s := cluster.JobSpec{ID: cluster.JobID(fmt.Sprintf("j-%06d", f.jobCount)), Class: "c", Team: team, Priority: cluster.Normal, Tasks: tasks,
			ResourceRequest: cluster.Resources{CPU: cpu, Memory: cpu}, Image: fmt.Sprintf("img-%d", f.jobCount%20), ImageGB: 1, RuntimeSeconds: run.Seconds()}
		f.jobCount++
		f.Users.Submit(&simulation.Job{Spec: s, Info: simulation.JobInfo{ResourceRequest: s.ResourceRequest, RunDuration: run, TaskCount: tasks, Image: s.Image}})
	}
}

// countOwnedMachines counts the machines that are held, and that have acknowledged their token.
func (f *fleet) countOwnedMachines() (acknowledged, all int) {
	for _, c := range f.Controllers() {
		acked, machines := c.OwnedMachines()
		acknowledged, all = acknowledged+acked, all+machines
	}
	return acknowledged, all
}

// waitFor plays until something holds, a quarter of a second at a time, and returns how long
// that took.
func (f *fleet) waitFor(what string, within cluster.Time, ok func() bool) cluster.Time {
	f.t.Helper()
	begin := f.Now
	for at := begin; !ok(); f.RunUntil(at) {
		if at += second / 4; at > begin+within || len(f.Violations) > 0 {
			acked, all := f.countOwnedMachines()
			f.t.Fatalf("not within %v: %s; of %d machines that are up %d are held, %d acknowledged, %d jobs unfinished; broken: %v",
				time.Duration(within), what, f.Machines.LiveCount(), all, acked, f.UnfinishedJobCount(), f.Violations)
		}
	}
	return f.Now - begin
}

// bootingAllowance is how many machines may have come up in this moment, and have yet to
// report: some are rented beside those that were up at the start.
const bootingAllowance = 10

// waitForAllOwned plays until the machines that are up are held and have acknowledged
// their tokens; they must still be most of the fleet.
func (f *fleet) waitForAllOwned(within cluster.Time) cluster.Time {
	f.t.Helper()
	return f.waitFor("all machines acknowledge their token", within, func() bool {
		acked, all := f.countOwnedMachines()
		return acked == all && all >= f.Machines.LiveCount()-bootingAllowance && all >= f.machineCount*9/10
	})
}

// waitForAllDone plays until all jobs are done, and checks what must hold at the end.
func (f *fleet) waitForAllDone(within cluster.Time) cluster.Time {
	f.t.Helper()
	took := f.waitFor("all jobs are done", within, func() bool { return f.UnfinishedJobCount() == 0 })
	for _, c := range f.Controllers() {
		if n := c.StalledShards(); n > 0 {
			f.t.Errorf("%d parts make no progress", n)
		}
		if wrong := c.UsageMismatch(); wrong != "" {
			f.t.Error(wrong)
		}
	}
	if f.StateService.Rejected.Size > 0 {
		f.t.Errorf("%d transactions were larger than the store takes", f.StateService.Rejected.Size)
	}
	return took
}

const largeFleetMachines = 4000

// TestLargeFleetFaults plays the troubles that concern all machines of a
// large fleet at once: each must be owned and working again within a lease or
// so, no rule broken and no part left behind.
func TestLargeFleetFaults(t *testing.T) {
	t.Run("two of five controllers lost, and an outage over the take-over", func(t *testing.T) {
		t.Parallel()
		f := newFleet(t, 5, largeFleetMachines)
		registered := f.waitForAllOwned(20 * second)
		f.submitLoad(2*largeFleetMachines, 30*second)
		f.RunUntil(f.Now + 10*second)
		for range 2 {
			restart(f.Simulator, f.BusiestNode(), 30*second)
		}
		f.RunUntil(f.Now + 8*second) // others are about to claim their parts
		f.Store.DownUntil = f.Now + 10*second
		f.RunUntil(f.Store.DownUntil)
		recovered := f.waitForAllOwned(26 * second)
		worked := f.waitForAllDone(120 * second)
		t.Logf("registered in %v, all held again %v after the outage, done %v later", time.Duration(registered), time.Duration(recovered), time.Duration(worked))
	})
	t.Run("all machines come to the one controller that is left", func(t *testing.T) {
		t.Parallel()
		f := newFleet(t, 5, largeFleetMachines)
		f.waitForAllOwned(20 * second)
		f.submitLoad(2*largeFleetMachines, 30*second)
		f.RunUntil(f.Now + 5*second)
		for _, n := range f.Nodes[1:] {
			restart(f.Simulator, n, 60*second)
		}
		recovered := f.waitForAllOwned(40 * second)
		worked := f.waitForAllDone(120 * second)
		t.Logf("all held after %v, done %v later", time.Duration(recovered), time.Duration(worked))
	})
	t.Run("a zone of a third lost and back", func(t *testing.T) {
		t.Parallel()
		f := newFleet(t, 3, largeFleetMachines)
		f.waitForAllOwned(20 * second)
		f.submitLoad(2*largeFleetMachines, 30*second)
		f.RunUntil(f.Now + 5*second)
		f.Machines.CutZone("a", 20*second) // within the lease: the tasks there go on
		f.RunUntil(f.Now + 20*second)
		recovered := f.waitForAllOwned(20 * second)
		worked := f.waitForAllDone(120 * second)
		t.Logf("all held %v after the zone was back, done %v later", time.Duration(recovered), time.Duration(worked))
	})
}
