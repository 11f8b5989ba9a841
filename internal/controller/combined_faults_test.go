package controller_test

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/simulation"
)

// combinedFaultsPerRun is the number of combined faults in a simulated run.
const combinedFaultsPerRun = 5

// combinedFaults returns the faults that planCombinedFaults chooses from. Most of them
// affect many machines or controllers, or combine several single faults.
func combinedFaults(cancelDeadline cluster.Time) []faultScenario {
	return []faultScenario{
		{"a controller pauses", pauseProcess},
		{"all controllers pause", pauseAllProcesses},
		{"a zone is partitioned", partitionZone},
		{"half of the machines are removed", removeHalfOfMachines},
		{"connections between controllers are refused", refusePeerConnections},
		{"all controllers crash in an outage", crashAllInOutage},
		{"faulty machines in an outage of the cloud", faultyMachinesWithoutCloud},
		{"the busiest controller crashes repeatedly", crashBusiestRepeatedly},
		{"the store rejects one controller, then all", func(sim *simulation.Simulator, node *simulation.Node, _ cluster.Time) {
			storeRejectionThenOutage(sim, node, cancelDeadline)
		}},
		{"fast boots with a slow store", fastBootsWithSlowStore},
		{"a slow store that rejects one controller", slowStoreRejectsController},
	}
}

// planCombinedFaults schedules random combined faults. Each begins at least
// maxFaultDuration before until.
func planCombinedFaults(sim *simulation.Simulator, until, cancelDeadline cluster.Time) {
	faults := combinedFaults(cancelDeadline)
	for range combinedFaultsPerRun {
		at := sim.RandomBetween(5*second, until-maxFaultDuration)
		duration := sim.RandomBetween(5*second, 30*second)
		planFault(sim, faults[sim.Rand.IntN(len(faults))], at, duration)
	}
}

// pauseProcess pauses a controller, usually for longer than a worker lease.
func pauseProcess(sim *simulation.Simulator, node *simulation.Node, duration cluster.Time) {
	node.PausedUntil = sim.Now + duration
	sim.FaultCounts[faultNodePaused]++
}

func pauseAllProcesses(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
	for _, node := range sim.Nodes {
		node.PausedUntil = sim.Now + duration
	}
	sim.FaultCounts[faultAllNodesPaused]++
}

func partitionZone(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
	sim.Machines.PartitionZone(zones[sim.Rand.IntN(len(zones))], duration)
	sim.FaultCounts[faultZonePartitioned]++
}

func removeHalfOfMachines(sim *simulation.Simulator, _ *simulation.Node, _ cluster.Time) {
	sim.Machines.RemoveEveryNth(2)
	sim.FaultCounts[faultHalfOfMachinesRemoved]++
}

func refusePeerConnections(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
	for _, node := range sim.Nodes {
		node.PeersRefuseUntil = sim.Now + duration
	}
	sim.FaultCounts[faultPeersRefused]++
}

func crashAllInOutage(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
	outage := min(duration, maxOutageDuration)
	sim.StoreAPI.DownUntil = sim.Now + outage
	sim.After(outage/2, func() { crashAll(sim) })
	sim.FaultCounts[faultAllNodesKilledInOutage]++
}

func faultyMachinesWithoutCloud(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
	sim.Machines.MakeFaulty(3, duration)
	sim.CloudAPI.DownUntil = sim.Now + duration
	sim.FaultCounts[faultFaultyMachinesWithoutCloud]++
}

// crashBusiestRepeatedly crashes a controller three times within half a minute. Each time
// it chooses the controller that is then the busiest.
func crashBusiestRepeatedly(sim *simulation.Simulator, _ *simulation.Node, _ cluster.Time) {
	for _, delay := range []cluster.Time{0, 12 * second, 25 * second} {
		sim.After(delay, func() { crashBusiest(sim) })
	}
	sim.FaultCounts[faultBusiestNodeKilledRepeatedly]++
}

// drawStoreSlowdown returns a random latency to add to the replies of a slow store.
func drawStoreSlowdown(sim *simulation.Simulator) cluster.Time {
	return sim.RandomBetween(second/5, 4*second/5)
}

// fastBootsWithSlowStore makes machines boot fast, so that they get tasks early, while
// the store is slow, and crashes the busiest controller during that time.
func fastBootsWithSlowStore(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
	sim.Machines.EnableFastBoots(duration)
	sim.StoreAPI.Slow(drawStoreSlowdown(sim), duration)
	sim.After(sim.RandomBetween(second, duration), func() {
		if crashBusiest(sim) {
			sim.FaultCounts[faultFastBootsWithSlowStore]++
		}
	})
}

func slowStoreRejectsController(sim *simulation.Simulator, node *simulation.Node, duration cluster.Time) {
	node.StoreUnavailableUntil = sim.Now + duration
	sim.StoreAPI.Slow(drawStoreSlowdown(sim), duration)
	sim.FaultCounts[faultSlowStoreRejectsNode]++
}

// storeRejectionThenOutage makes the store reject one controller and, a few seconds
// later, takes the store down for longer than the cancel deadline, while users cancel
// jobs. In two thirds of the cases the outage begins right after the next acquisition of
// a shard, or after ten seconds without one. The fault is injected at most once per
// simulated run.
func storeRejectionThenOutage(sim *simulation.Simulator, node *simulation.Node, cancelDeadline cluster.Time) {
	if sim.FaultCounts[faultRejectionThenOutage] > 0 {
		return
	}
	sim.FaultCounts[faultRejectionThenOutage]++
	isDown := false
	beginOutage := func() {
		if !isDown {
			isDown = true
			sim.StoreAPI.DownUntil = sim.Now + cancelDeadline + sim.RandomBetween(second, 5*second)
		}
	}
	node.StoreUnavailableUntil = sim.Now + sim.RandomBetween(3*second, 8*second)
	if sim.Chance(0.33) {
		sim.After(sim.RandomBetween(2*second, 6*second), beginOutage)
	} else {
		const rejectionDuration = 10 * second
		node.StoreUnavailableUntil = sim.Now + rejectionDuration
		outageAtAcquire(sim, rejectionDuration, beginOutage)
		sim.After(rejectionDuration, beginOutage)
	}
	cancelBeforeAndInOutage(sim)
}

// outageAtAcquire begins an outage within a second of the next acquisition of a shard, if
// there is one within the given time. In some cases it also crashes a controller other
// than the new owner. The crashed controller may be the only one that knows what was
// reported to users.
func outageAtAcquire(sim *simulation.Simulator, within cluster.Time, beginOutage func()) {
	crashOther := sim.Chance(0.8)
	sim.Failovers.OnShardAcquired(within, func(owner cluster.NodeID) {
		sim.FaultCounts[faultOutageAtAcquire]++
		sim.After(sim.RandomBetween(0, second), beginOutage)
		other := sim.Nodes[sim.Rand.IntN(len(sim.Nodes))]
		if !crashOther || other.ID == owner {
			return
		}
		sim.After(sim.RandomBetween(0, second), func() {
			sim.FaultCounts[faultNodeKilledAtAcquire]++
			crash(sim, other)
		})
	})
}

// cancelBeforeAndInOutage makes users cancel a random job about once a second for seven
// seconds, and then about every eight seconds, when the outage has begun.
func cancelBeforeAndInOutage(sim *simulation.Simulator) {
	for i := range 10 {
		delay := cluster.Time(i) * second
		if i >= 7 {
			delay = cluster.Time(i-5) * 8 * second
		}
		sim.After(delay+sim.RandomBetween(0, second), sim.Cancellations.CancelRandom)
	}
}
