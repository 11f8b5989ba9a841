package controller_test

import (
	"fmt"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/simulation"
)

const (
	// singleFaultsPerRun is the number of single faults in a simulated run.
	singleFaultsPerRun = 18
	// maxOutageDuration is the maximum duration of a store outage, except in
	// storeRejectionThenOutage.
	maxOutageDuration = 20 * second
	// restartDelay is the usual time between a controller's crash and its restart.
	restartDelay = 6 * second
)

// faultScenario is a fault of limited duration. inject ignores the node if the fault
// doesn't concern a particular controller.
type faultScenario struct {
	name   string
	inject func(sim *simulation.Simulator, node *simulation.Node, duration cluster.Time)
}

// singleFaults are chosen with equal probability. A fault that is listed twice occurs
// twice as often.
var singleFaults = []faultScenario{
	{"a controller crashes", crashOne},
	{"a controller crashes", crashOne},
	{"all controllers crash", func(sim *simulation.Simulator, _ *simulation.Node, _ cluster.Time) { crashAll(sim) }},
	{"partitioned from the store", func(sim *simulation.Simulator, node *simulation.Node, duration cluster.Time) {
		node.StorePartitionedUntil = sim.Now + duration
	}},
	{"partitioned from the workers", func(sim *simulation.Simulator, node *simulation.Node, duration cluster.Time) {
		node.WorkersPartitionedUntil = sim.Now + duration
	}},
	{"partitioned from the other controllers", func(sim *simulation.Simulator, node *simulation.Node, duration cluster.Time) {
		node.PeersPartitionedUntil = sim.Now + duration
	}},
	{"rejected by the store", func(sim *simulation.Simulator, node *simulation.Node, duration cluster.Time) {
		node.StoreUnavailableUntil = sim.Now + duration
	}},
	{"partitioned from everything", partitionFromAll},
	{"the store is down", func(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
		sim.StoreAPI.DownUntil = sim.Now + min(duration, maxOutageDuration)
	}},
	{"machines hang", onTwoMachines((*simulation.Machines).Hang)},
	{"machines partitioned while the cloud is down", partitionMachinesWithoutCloud},
	{"machines preempted", preemptMachines},
	{"machines whose heartbeats arrive while nothing reaches them", onTwoMachines((*simulation.Machines).MakeUnreachable)},
	{"many duplicate heartbeats", duplicateHeartbeats},
	{"partitioned from everything but the workers", func(sim *simulation.Simulator, node *simulation.Node, duration cluster.Time) {
		node.StorePartitionedUntil, node.PeersPartitionedUntil = sim.Now+duration, sim.Now+duration
	}},
	{"all controllers restarted, one of them twice", restartTwice},
	{"replies to writes lost, the writes applied late", func(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
		sim.StoreAPI.LoseWriteReplies(0.3, duration, false)
	}},
	{"replies to writes lost, the writes applied immediately", func(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
		sim.StoreAPI.LoseWriteReplies(0.3, duration, true)
	}},
	{"machines that reach no controller", onTwoMachines((*simulation.Machines).BlockHeartbeats)},
	{"old heartbeats after a failover", replayHeartbeatsAfterFailover},
	{"running jobs cancelled while their machines hang", cancelOnHungMachines},
	{"jobs cancelled as they end", func(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
		sim.Cancellations.CancelAtEnd(0.5, duration)
	}},
	{"reads from all controllers right after a write", func(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
		sim.ReadAfterWrite.EnableFor(duration)
	}},
	{"edge-case requests", func(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
		sim.EdgeCaseRequests.SendFor(duration)
	}},
}

// planSingleFaults schedules independent faults at random times. Each begins at least
// maxFaultDuration before until.
func planSingleFaults(sim *simulation.Simulator, until cluster.Time) {
	for range singleFaultsPerRun {
		at := sim.RandomBetween(5*second, until-maxFaultDuration)
		duration := sim.RandomBetween(second, maxFaultDuration)
		planFault(sim, singleFaults[sim.Rand.IntN(len(singleFaults))], at, duration)
	}
}

// planFault schedules a fault with a random controller as its target.
func planFault(sim *simulation.Simulator, fault faultScenario, at, duration cluster.Time) {
	node := sim.Nodes[sim.Rand.IntN(len(sim.Nodes))]
	sim.After(at, func() {
		sim.Log(fmt.Sprintf("--- fault: %s, %s for %v at %v", fault.name, node.ID, time.Duration(duration), time.Duration(sim.Now)))
		fault.inject(sim, node, duration)
	})
}

func crashOne(sim *simulation.Simulator, node *simulation.Node, _ cluster.Time) { crash(sim, node) }

func crashAll(sim *simulation.Simulator) {
	for _, node := range sim.Nodes {
		crash(sim, node)
	}
}

// crashBusiest crashes the controller with the most workers. It reports whether any
// controller was running.
func crashBusiest(sim *simulation.Simulator) bool {
	node := sim.BusiestNode()
	if node != nil {
		crash(sim, node)
	}
	return node != nil
}

// crash kills a controller's process and restarts it after restartDelay, or sometimes so
// soon that its peers don't detect the failure.
func crash(sim *simulation.Simulator, node *simulation.Node) {
	delay := restartDelay
	if sim.Chance(0.3) {
		delay = sim.RandomBetween(second/10, second)
	}
	restart(sim, node, delay)
}

// restart kills a controller's process and starts a new one after a downtime.
func restart(sim *simulation.Simulator, node *simulation.Node, downtime cluster.Time) {
	node.Kill()
	sim.After(downtime, node.Start)
}

func partitionFromAll(sim *simulation.Simulator, node *simulation.Node, duration cluster.Time) {
	until := sim.Now + duration
	node.StorePartitionedUntil, node.WorkersPartitionedUntil, node.PeersPartitionedUntil = until, until, until
}

// onTwoMachines returns a scenario that injects a fault into two random machines, which
// may be the same.
func onTwoMachines(inject func(*simulation.Machines, cluster.MachineID, cluster.Time)) func(*simulation.Simulator, *simulation.Node, cluster.Time) {
	return func(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
		inject(sim.Machines, sim.Machines.Random(), duration)
		inject(sim.Machines, sim.Machines.Random(), duration)
	}
}

func partitionMachinesWithoutCloud(sim *simulation.Simulator, node *simulation.Node, duration cluster.Time) {
	onTwoMachines((*simulation.Machines).Partition)(sim, node, duration)
	sim.CloudAPI.DownUntil = sim.Now + duration
}

// preemptMachines picks three random machines. It preempts each of them with notice, which
// has no effect on an on-demand machine, or removes it without notice.
func preemptMachines(sim *simulation.Simulator, _ *simulation.Node, _ cluster.Time) {
	for range 3 {
		if sim.Chance(0.5) {
			sim.Machines.Preempt(sim.Machines.Random(), sim.RandomBetween(5*second, 25*second))
		} else {
			sim.Machines.Remove(sim.Machines.Random())
		}
	}
}

func duplicateHeartbeats(sim *simulation.Simulator, _ *simulation.Node, _ cluster.Time) {
	for range 20 {
		sim.Machines.DuplicateHeartbeat(sim.Machines.Random(), sim.RandomBetween(second, 40*second))
	}
}

// restartTwice restarts all controllers together, and the target a second time while the
// controllers acquire their shards.
func restartTwice(sim *simulation.Simulator, target *simulation.Node, _ cluster.Time) {
	for _, node := range sim.Nodes {
		restart(sim, node, sim.RandomBetween(second/20, second/2))
	}
	sim.After(sim.RandomBetween(second/20, second), func() {
		sim.FaultCounts[faultNodeKilledInRestart]++
		restart(sim, target, sim.RandomBetween(second/20, second/2))
	})
}

func replayHeartbeatsAfterFailover(sim *simulation.Simulator, node *simulation.Node, duration cluster.Time) {
	sim.Failovers.CaptureHeartbeats(0.5, duration)
	sim.After(duration, func() { crash(sim, node) })
}

// cancelOnHungMachines cancels running jobs and makes some of their machines hang. In
// some cases the busiest controller crashes as well, or the store is down.
func cancelOnHungMachines(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
	sim.Cancellations.CancelRunning(8, sim.RandomBetween(10*second, 45*second))
	switch sim.Rand.IntN(3) {
	case 0:
		if node := sim.BusiestNode(); node != nil {
			sim.After(sim.RandomBetween(0, second), func() { crash(sim, node) })
		}
	case 1:
		sim.StoreAPI.DownUntil = sim.Now + min(duration, maxOutageDuration)
	}
}
