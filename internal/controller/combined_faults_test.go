package controller_test

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/simulation"
)

// combinedFaultsPerDay is how many of the combined faults a day has.
const combinedFaultsPerDay = 5

// combinedFaults concern many machines or controllers at once, as in a large fleet.
func combinedFaults(cancelDeadline cluster.Time) []faultScenario {
	return []faultScenario{
		{"a controller pauses", pauseProcess},
		{"all controllers pause", pauseAllProcesses},
		{"a zone is partitioned", partitionZone},
		{"half of the machines are removed", removeHalfOfMachines},
		{"controllers refuse one another", refusePeerConnections},
		{"all controllers crash in an outage", crashAllInOutage},
		{"faulty machines in an outage of the cloud", faultyMachinesWithoutCloud},
		{"the busiest controller crashes repeatedly", crashBusiestRepeatedly},
		{"the store refuses one controller, then all", func(sim *simulation.Simulator, node *simulation.Node, _ cluster.Time) {
			storeRefusalThenOutage(sim, node, cancelDeadline)
		}},
		{"fast boots with a slow store", fastBootsWithSlowStore},
		{"a slow store that refuses one controller", slowStoreRefusesController},
	}
}

// planCombinedFaults plans faults that concern many.
func planCombinedFaults(sim *simulation.Simulator, until, cancelDeadline cluster.Time) {
	faults := combinedFaults(cancelDeadline)
	for range combinedFaultsPerDay {
		at := sim.RandomBetween(5*second, until-maxFaultDuration)
		duration := sim.RandomBetween(5*second, 30*second)
		planFault(sim, faults[sim.Rand.IntN(len(faults))], at, duration)
	}
}

// pauseProcess pauses a process, mostly for longer than a lease.
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
	sim.Store.DownUntil = sim.Now + outage
	sim.After(outage/2, func() { crashAll(sim) })
	sim.FaultCounts[faultAllNodesKilledInOutage]++
}

func faultyMachinesWithoutCloud(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
	sim.Machines.MakeFaulty(3, duration)
	sim.CloudAPI.DownUntil = sim.Now + duration
	sim.FaultCounts[faultFaultyMachinesWithoutCloud]++
}

// crashBusiestRepeatedly crashes the busiest controller three times within a minute,
// whichever that is then.
func crashBusiestRepeatedly(sim *simulation.Simulator, _ *simulation.Node, _ cluster.Time) {
	for _, delay := range []cluster.Time{0, 12 * second, 25 * second} {
		sim.After(delay, func() { crashBusiest(sim) })
	}
	sim.FaultCounts[faultBusiestNodeKilledRepeatedly]++
}

// drawStoreSlowdown draws how much later a slow store replies.
func drawStoreSlowdown(sim *simulation.Simulator) cluster.Time {
	return sim.RandomBetween(second/5, 4*second/5)
}

// fastBootsWithSlowStore has machines get work at once while writes are slow, and
// the busiest controller crash meanwhile.
func fastBootsWithSlowStore(sim *simulation.Simulator, _ *simulation.Node, duration cluster.Time) {
	sim.Machines.EnableFastBoots(duration)
	sim.Store.Slow(drawStoreSlowdown(sim), duration)
	sim.After(sim.RandomBetween(second, duration), func() {
		if crashBusiest(sim) {
			sim.FaultCounts[faultFastBootsWithSlowStore]++
		}
	})
}

func slowStoreRefusesController(sim *simulation.Simulator, node *simulation.Node, duration cluster.Time) {
	node.StoreRefusesUntil = sim.Now + duration
	sim.Store.Slow(drawStoreSlowdown(sim), duration)
	sim.FaultCounts[faultSlowStoreRefusesNode]++
}

// storeRefusalThenOutage has the store refuse one controller alone, and a few
// seconds later all, for longer than a cancellation may take, while users cancel
// all along. In most cases the outage waits for another controller to acquire a
// shard, which takes some five seconds, and comes within a second of it. It is
// injected once a day.
func storeRefusalThenOutage(sim *simulation.Simulator, node *simulation.Node, cancelDeadline cluster.Time) {
	if sim.FaultCounts[faultRefusalThenOutage] > 0 {
		return
	}
	sim.FaultCounts[faultRefusalThenOutage]++
	isDown := false
	beginOutage := func() {
		if !isDown {
			isDown = true
			sim.Store.DownUntil = sim.Now + cancelDeadline + sim.RandomBetween(second, 5*second)
		}
	}
	node.StoreRefusesUntil = sim.Now + sim.RandomBetween(3*second, 8*second)
	if sim.Chance(0.33) {
		sim.After(sim.RandomBetween(2*second, 6*second), beginOutage)
	} else {
		const refusal = 10 * second
		node.StoreRefusesUntil = sim.Now + refusal
		outageAtAcquire(sim, refusal, beginOutage)
		sim.After(refusal, beginOutage)
	}
	cancelBeforeAndInOutage(sim)
}

// outageAtAcquire begins an outage within a second of the next change of a shard's
// owner. In most cases another controller crashes as well, so that perhaps nobody
// is left who knows what was reported to users.
func outageAtAcquire(sim *simulation.Simulator, within cluster.Time, beginOutage func()) {
	crashes := sim.Chance(0.8)
	sim.Failovers.OnShardAcquired(within, func(owner cluster.NodeID) {
		sim.FaultCounts[faultOutageAtAcquire]++
		sim.After(sim.RandomBetween(0, second), beginOutage)
		other := sim.Nodes[sim.Rand.IntN(len(sim.Nodes))]
		if !crashes || other.ID == owner {
			return
		}
		sim.After(sim.RandomBetween(0, second), func() {
			sim.FaultCounts[faultNodeKilledAtAcquire]++
			crash(sim, other)
		})
	})
}

// cancelBeforeAndInOutage has users cancel jobs each second, and then every eight
// seconds while the outage goes on.
func cancelBeforeAndInOutage(sim *simulation.Simulator) {
	for i := range 10 {
		delay := cluster.Time(i) * second
		if i >= 7 {
			delay = cluster.Time(i-5) * 8 * second
		}
		sim.After(delay+sim.RandomBetween(0, second), sim.Cancellations.CancelRandom)
	}
}
