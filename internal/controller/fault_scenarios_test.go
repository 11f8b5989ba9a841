package controller_test

import (
	"fmt"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/simulation"
)

// faultScenario is something that goes wrong for a while, at one controller where it
// concerns one.
type faultScenario struct {
	name   string
	inject func(w *simulation.Simulator, n *simulation.Node, d cluster.Time)
}

// singleFaults are drawn alike, so what is to come twice as often stands twice.
var singleFaults = []faultScenario{
	{"a controller crashes", crashOne},
	{"a controller crashes", crashOne},
	{"all controllers crash", func(w *simulation.Simulator, _ *simulation.Node, _ cluster.Time) { crashAll(w) }},
	{"cut from the store", func(w *simulation.Simulator, n *simulation.Node, d cluster.Time) { n.StoreCutUntil = w.Now + d }},
	{"cut from the workers", func(w *simulation.Simulator, n *simulation.Node, d cluster.Time) { n.WorkersCutUntil = w.Now + d }},
	{"cut from the other controllers", func(w *simulation.Simulator, n *simulation.Node, d cluster.Time) { n.PeersCutUntil = w.Now + d }},
	{"refused by the store", func(w *simulation.Simulator, n *simulation.Node, d cluster.Time) { n.StoreRefusesUntil = w.Now + d }},
	{"cut from everything", partitionFromAll},
	{"the store is out", func(w *simulation.Simulator, _ *simulation.Node, d cluster.Time) {
		w.Store.DownUntil = w.Now + min(d, longestOutage)
	}},
	{"machines hang", onTwoMachines((*simulation.Machines).Hang)},
	{"machines cut off while the cloud is out", cutMachinesWithoutCloud},
	{"machines taken back", preemptMachines},
	{"machines heard that hear nothing", onTwoMachines((*simulation.Machines).MakeUnreachable)},
	{"a heap of old reports", duplicateHeartbeats},
	{"with its workers alone", func(w *simulation.Simulator, n *simulation.Node, d cluster.Time) {
		n.StoreCutUntil, n.PeersCutUntil = w.Now+d, w.Now+d
	}},
	{"all back at once, one ends again", restartTwice},
	{"writes without an answer carried out late", func(w *simulation.Simulator, _ *simulation.Node, d cluster.Time) {
		w.Store.LoseWriteReplies(0.3, d, false)
	}},
	{"writes carried out, their answers lost", func(w *simulation.Simulator, _ *simulation.Node, d cluster.Time) {
		w.Store.LoseWriteReplies(0.3, d, true)
	}},
	{"machines that reach no controller", onTwoMachines((*simulation.Machines).BlockHeartbeats)},
	{"old reports as the next holder begins", replayHeartbeatsAfterFailover},
	{"running jobs cancelled while their machines hang", cancelOnHungMachines},
	{"cancelled as they end", func(w *simulation.Simulator, _ *simulation.Node, d cluster.Time) { w.Cancellations.CancelAtEnd(0.5, d) }},
	{"users ask everywhere at once", func(w *simulation.Simulator, _ *simulation.Node, d cluster.Time) { w.ReadAfterWrite.EnableFor(d) }},
	{"odd requests", func(w *simulation.Simulator, _ *simulation.Node, d cluster.Time) { w.OddRequests.SendFor(d) }},
}

// longestOutage is how long the store is out at the most in these troubles;
// longer outages are a trouble of their own.
const longestOutage = 20 * second

// singleFaultsPerDay is how many of the single troubles a day has.
const singleFaultsPerDay = 18

func planSingleFaults(w *simulation.Simulator, until cluster.Time) {
	for range singleFaultsPerDay {
		at, d, kind := w.RandomBetween(5*second, until-40*second), w.RandomBetween(second, 40*second), w.Rand.IntN(len(singleFaults))
		planFault(w, singleFaults[kind], at, d)
	}
}

// planFault draws the controller that a trouble concerns and has it begin.
func planFault(w *simulation.Simulator, t faultScenario, at, d cluster.Time) {
	n := w.Nodes[w.Rand.IntN(len(w.Nodes))]
	w.After(at, func() {
		w.Log(fmt.Sprintf("--- trouble: %s, %s for %v at %v", t.name, n.ID, time.Duration(d), time.Duration(w.Now)))
		t.inject(w, n, d)
	})
}

func crashOne(w *simulation.Simulator, n *simulation.Node, _ cluster.Time) { crash(w, n) }

func crashAll(w *simulation.Simulator) {
	for _, n := range w.Nodes {
		crash(w, n)
	}
}

// crashBusiest ends the controller that holds most, if any is up.
func crashBusiest(w *simulation.Simulator) bool {
	n := w.BusiestNode()
	if n != nil {
		crash(w, n)
	}
	return n != nil
}

func partitionFromAll(w *simulation.Simulator, n *simulation.Node, d cluster.Time) {
	until := w.Now + d
	n.StoreCutUntil, n.WorkersCutUntil, n.PeersCutUntil = until, until, until
}

// onTwoMachines is a trouble of two machines.
func onTwoMachines(begin func(*simulation.Machines, cluster.MachineID, cluster.Time)) func(*simulation.Simulator, *simulation.Node, cluster.Time) {
	return func(w *simulation.Simulator, _ *simulation.Node, d cluster.Time) {
		begin(w.Machines, w.Machines.Random(), d)
		begin(w.Machines, w.Machines.Random(), d)
	}
}

func cutMachinesWithoutCloud(w *simulation.Simulator, n *simulation.Node, d cluster.Time) {
	onTwoMachines((*simulation.Machines).Cut)(w, n, d)
	w.CloudAPI.DownUntil = w.Now + d
}

// preemptMachines has the cloud take machines, with a notice or without.
func preemptMachines(w *simulation.Simulator, _ *simulation.Node, _ cluster.Time) {
	for range 3 {
		if w.Chance(0.5) {
			w.Machines.Preempt(w.Machines.Random(), w.RandomBetween(5*second, 25*second))
		} else {
			w.Machines.Remove(w.Machines.Random())
		}
	}
}

func duplicateHeartbeats(w *simulation.Simulator, _ *simulation.Node, _ cluster.Time) {
	for range 20 {
		w.Machines.DuplicateHeartbeat(w.Machines.Random(), w.RandomBetween(second, 40*second))
	}
}

// restartTwice ends all controllers, which are back at once, and one of them
// again in the middle of the claims.
func restartTwice(w *simulation.Simulator, n *simulation.Node, _ cluster.Time) {
	for _, n := range w.Nodes {
		restart(w, n, w.RandomBetween(second/20, second/2))
	}
	w.After(w.RandomBetween(second/20, second), func() {
		w.FaultCounts[faultNodeKilledInRestart]++
		restart(w, n, w.RandomBetween(second/20, second/2))
	})
}

func replayHeartbeatsAfterFailover(w *simulation.Simulator, n *simulation.Node, d cluster.Time) {
	w.Failovers.CaptureHeartbeats(0.5, d)
	w.After(d, func() { crash(w, n) })
}

// cancelOnHungMachines cancels running jobs while their machines hang; in some
// the busiest controller ends as well, or the store is out.
func cancelOnHungMachines(w *simulation.Simulator, _ *simulation.Node, d cluster.Time) {
	w.Cancellations.CancelRunning(8, w.RandomBetween(10*second, 45*second))
	switch w.Rand.IntN(3) {
	case 0:
		if n := w.BusiestNode(); n != nil {
			w.After(w.RandomBetween(0, second), func() { crash(w, n) })
		}
	case 1:
		w.Store.DownUntil = w.Now + min(d, longestOutage)
	}
}

// combinedFaults concern many at once, as in a large fleet.
func combinedFaults(cancelWithin cluster.Time) []faultScenario {
	return []faultScenario{
		{"a controller stood still", pauseProcess},
		{"all controllers stood still", pauseAllProcesses},
		{"a zone cut off", partitionZone},
		{"half of the machines died", func(w *simulation.Simulator, _ *simulation.Node, _ cluster.Time) {
			w.Machines.RemoveEveryNth(2)
			w.FaultCounts[faultHalfOfMachinesRemoved]++
		}},
		{"controllers refused one another", refusePeerConnections},
		{"all controllers ended in an outage", crashAllInOutage},
		{"sick machines in an outage of the cloud", faultyMachinesWithoutCloud},
		{"the busiest controller ended again and again", crashBusiestRepeatedly},
		{"a controller refused alone, then everybody", func(w *simulation.Simulator, n *simulation.Node, _ cluster.Time) {
			storeRefusalThenOutage(w, n, cancelWithin)
		}},
		{"quick boots with a slow store", fastBootsWithSlowStore},
		{"a slow store that refuses one controller", slowStoreRefusesController},
	}
}

// combinedFaultsPerDay is how many of the joint troubles a day has.
const combinedFaultsPerDay = 5

// planCombinedFaults plans troubles of many at once.
func planCombinedFaults(w *simulation.Simulator, until, cancelWithin cluster.Time) {
	troubles := combinedFaults(cancelWithin)
	for range combinedFaultsPerDay {
		at, d, kind := w.RandomBetween(5*second, until-40*second), w.RandomBetween(5*second, 30*second), w.Rand.IntN(len(troubles))
		planFault(w, troubles[kind], at, d)
	}
}

// pauseProcess stops a process for longer than a lease, mostly.
func pauseProcess(w *simulation.Simulator, n *simulation.Node, d cluster.Time) {
	n.PausedUntil = w.Now + d
	w.FaultCounts[faultNodePaused]++
}

func pauseAllProcesses(w *simulation.Simulator, _ *simulation.Node, d cluster.Time) {
	for _, n := range w.Nodes {
		n.PausedUntil = w.Now + d
	}
	w.FaultCounts[faultAllNodesPaused]++
}

func partitionZone(w *simulation.Simulator, _ *simulation.Node, d cluster.Time) {
	zones := []string{"a", "b", "c"}
	w.Machines.CutZone(zones[w.Rand.IntN(len(zones))], d)
	w.FaultCounts[faultZonePartitioned]++
}

func refusePeerConnections(w *simulation.Simulator, _ *simulation.Node, d cluster.Time) {
	for _, n := range w.Nodes {
		n.PeersRefuseUntil = w.Now + d
	}
	w.FaultCounts[faultPeersRefused]++
}

func crashAllInOutage(w *simulation.Simulator, _ *simulation.Node, d cluster.Time) {
	outage := min(d, longestOutage)
	w.Store.DownUntil = w.Now + outage
	w.After(outage/2, func() { crashAll(w) })
	w.FaultCounts[faultAllNodesKilledInOutage]++
}

func faultyMachinesWithoutCloud(w *simulation.Simulator, _ *simulation.Node, d cluster.Time) {
	w.Machines.MakeFaulty(3, d)
	w.CloudAPI.DownUntil = w.Now + d
	w.FaultCounts[faultFaultyMachinesWithoutCloud]++
}

// crashBusiestRepeatedly ends the busiest controller three times within a minute,
// whoever that is then.
func crashBusiestRepeatedly(w *simulation.Simulator, _ *simulation.Node, _ cluster.Time) {
	for _, at := range []cluster.Time{0, 12 * second, 25 * second} {
		w.After(at, func() { crashBusiest(w) })
	}
	w.FaultCounts[faultBusiestNodeKilledRepeatedly]++
}

// fastBootsWithSlowStore has machines get work at once while writes lag, and
// the busiest controller end meanwhile.
func fastBootsWithSlowStore(w *simulation.Simulator, _ *simulation.Node, d cluster.Time) {
	w.Machines.EnableFastBoots(d)
	w.Store.Slow(w.RandomBetween(second/5, 4*second/5), d)
	w.After(w.RandomBetween(second, d), func() {
		if crashBusiest(w) {
			w.FaultCounts[faultFastBootsWithSlowStore]++
		}
	})
}

func slowStoreRefusesController(w *simulation.Simulator, n *simulation.Node, d cluster.Time) {
	n.StoreRefusesUntil = w.Now + d
	w.Store.Slow(w.RandomBetween(second/5, 4*second/5), d)
	w.FaultCounts[faultSlowStoreRefusesNode]++
}

// storeRefusalThenOutage has the state service refuse one controller alone, and a few
// seconds later everybody, for longer than a cancellation may take, while users
// cancel all along. In most of these the outage waits for the next holder's
// claim, which takes some five seconds, and comes within a second of it; in
// some of those another controller ends as well, so that nobody may be left who knows
// what users were told. Once a day is enough.
func storeRefusalThenOutage(w *simulation.Simulator, n *simulation.Node, cancelWithin cluster.Time) {
	if w.FaultCounts[faultRefusalThenOutage] > 0 {
		return
	}
	w.FaultCounts[faultRefusalThenOutage]++
	out := false
	begin := func() {
		if !out {
			out = true
			w.Store.DownUntil = w.Now + cancelWithin + w.RandomBetween(second, 5*second)
		}
	}
	n.StoreRefusesUntil = w.Now + w.RandomBetween(3*second, 8*second)
	if w.Chance(0.33) {
		w.After(w.RandomBetween(2*second, 6*second), begin)
	} else {
		n.StoreRefusesUntil = w.Now + 10*second
		ends := w.Chance(0.8)
		w.Failovers.OnShardAcquired(10*second, func(holder cluster.NodeID) {
			w.FaultCounts[faultOutageAtAcquire]++
			w.After(w.RandomBetween(0, second), begin)
			o := w.Nodes[w.Rand.IntN(len(w.Nodes))]
			if !ends || o.ID == holder {
				return
			}
			w.After(w.RandomBetween(0, second), func() {
				w.FaultCounts[faultNodeKilledAtAcquire]++
				crash(w, o)
			})
		})
		w.After(10*second, begin)
	}
	for i := range 10 {
		at := cluster.Time(i) * second
		if i >= 7 { // the outage goes on
			at = cluster.Time(i-5) * 8 * second
		}
		w.After(at+w.RandomBetween(0, second), w.Cancellations.CancelRandom)
	}
}

func crash(w *simulation.Simulator, n *simulation.Node) {
	gap := 6 * second
	if w.Chance(0.3) {
		gap = w.RandomBetween(second/10, second)
	}
	restart(w, n, gap)
}

func restart(w *simulation.Simulator, n *simulation.Node, gap cluster.Time) {
	n.Kill()
	w.After(gap, n.Start)
}
