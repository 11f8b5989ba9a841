package controller_test

import (
	"fmt"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/simulation"
)

const (
	// singleFaultsPerDay is how many of the single faults a day has.
	singleFaultsPerRun = 18
	// longestOutage is how long the store is down at the most in the single faults;
	// longer outages are a combined fault.
	maxOutageDuration = 20 * second
	// restartDelay is how long a crashed controller takes to be back.
	restartDelay = 6 * second
)

// faultScenario is something that goes wrong for a while, at one controller if it
// concerns one.
type faultScenario struct {
	name   string
	inject func(sim *simulation.Simulator, node *simulation.Node, duration cluster.Time)
}

// singleFaults are drawn with equal chances, so one that is to come twice as often
// is listed twice.
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
	{"refused by the store", func(sim *simulation.Simulator, node *simulation.Node, duration cluster.Time) {
		node.StoreRefusesUntil = sim.Now + duration
	}},
	{"partitioned from everything", partitionFromAll},
	{"the store is down", func(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
		sim.Store.DownUntil = sim.Now + min(duration, maxOutageDuration)
	}},
	{"machines hang", onTwoMachines((*simulation.Machines).Hang)},
	{"machines partitioned while the cloud is down", partitionMachinesWithoutCloud},
	{"machines preempted", preemptMachines},
	{"machines whose heartbeats arrive while nothing reaches them", onTwoMachines((*simulation.Machines).MakeUnreachable)},
	{"many duplicate heartbeats", duplicateHeartbeats},
	{"partitioned from everything but the workers", func(sim *simulation.Simulator, node *simulation.Node, duration cluster.Time) {
		node.StorePartitionedUntil, node.PeersPartitionedUntil = sim.Now+duration, sim.Now+duration
	}},
	{"all restarted at once, one of them twice", restartTwice},
	{"writes without a reply applied late", func(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
		sim.Store.LoseWriteReplies(0.3, duration, false)
	}},
	{"writes applied, their replies lost", func(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
		sim.Store.LoseWriteReplies(0.3, duration, true)
	}},
	{"machines that reach no controller", onTwoMachines((*simulation.Machines).BlockHeartbeats)},
	{"old heartbeats after a failover", replayHeartbeatsAfterFailover},
	{"running jobs cancelled while their machines hang", cancelOnHungMachines},
	{"jobs cancelled as they end", func(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
		sim.Cancellations.CancelAtEnd(0.5, duration)
	}},
	{"users ask all controllers right after an answer", func(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
		sim.ReadAfterWrite.EnableFor(duration)
	}},
	{"odd requests", func(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
		sim.OddRequests.SendFor(duration)
	}},
}

// planSingleFaults plans faults that come one at a time.
func planSingleFaults(sim *simulation.Simulator, until cluster.Time) {
	for range singleFaultsPerRun {
		at := sim.RandomBetween(5*second, until-maxFaultDuration)
		duration := sim.RandomBetween(second, maxFaultDuration)
		planFault(sim, singleFaults[sim.Rand.IntN(len(singleFaults))], at, duration)
	}
}

// planFault draws the controller that a fault concerns, and has it begin at a time.
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

// crashBusiest crashes the controller with the most workers, if any is running.
func crashBusiest(sim *simulation.Simulator) bool {
	node := sim.BusiestNode()
	if node != nil {
		crash(sim, node)
	}
	return node != nil
}

// crash ends a controller's process, which is back after a while; now and then that
// is so soon that nobody notices.
func crash(sim *simulation.Simulator, node *simulation.Node) {
	delay := restartDelay
	if sim.Chance(0.3) {
		delay = sim.RandomBetween(second/10, second)
	}
	restart(sim, node, delay)
}

// restart ends a controller's process and starts another after a delay.
func restart(sim *simulation.Simulator, node *simulation.Node, delay cluster.Time) {
	node.Kill()
	sim.After(delay, node.Start)
}

func partitionFromAll(sim *simulation.Simulator, node *simulation.Node, duration cluster.Time) {
	until := sim.Now + duration
	node.StorePartitionedUntil, node.WorkersPartitionedUntil, node.PeersPartitionedUntil = until, until, until
}

// onTwoMachines is a fault of two machines.
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

// preemptMachines has the cloud take machines, with a notice or without.
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

// restartTwice restarts all controllers at once, and one of them again while they
// acquire their shards.
func restartTwice(sim *simulation.Simulator, twice *simulation.Node, _ cluster.Time) {
	for _, node := range sim.Nodes {
		restart(sim, node, sim.RandomBetween(second/20, second/2))
	}
	sim.After(sim.RandomBetween(second/20, second), func() {
		sim.FaultCounts[faultNodeKilledInRestart]++
		restart(sim, twice, sim.RandomBetween(second/20, second/2))
	})
}

func replayHeartbeatsAfterFailover(sim *simulation.Simulator, node *simulation.Node, duration cluster.Time) {
	sim.Failovers.CaptureHeartbeats(0.5, duration)
	sim.After(duration, func() { crash(sim, node) })
}

// cancelOnHungMachines cancels running jobs while their machines hang; in some
// cases the busiest controller crashes as well, or the store is down.
func cancelOnHungMachines(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
	sim.Cancellations.CancelRunning(8, sim.RandomBetween(10*second, 45*second))
	switch sim.Rand.IntN(3) {
	case 0:
		if node := sim.BusiestNode(); node != nil {
			sim.After(sim.RandomBetween(0, second), func() { crash(sim, node) })
		}
	case 1:
		sim.Store.DownUntil = sim.Now + min(duration, maxOutageDuration)
	}
}
