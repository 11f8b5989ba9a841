package core_test

import (
	"fmt"
	"time"

	"stairrelay/internal/core"
	"stairrelay/internal/standin"
)

// trouble is something that goes wrong for a while, at one controller where it
// concerns one.
type trouble struct {
	name  string
	begin func(w *standin.World, n *standin.Node, d core.Time)
}

// singleTroubles are drawn alike, so what is to come twice as often stands twice.
var singleTroubles = []trouble{
	{"a controller crashes", crashOne},
	{"a controller crashes", crashOne},
	{"all controllers crash", func(w *standin.World, _ *standin.Node, _ core.Time) { crashAll(w) }},
	{"cut from the store", func(w *standin.World, n *standin.Node, d core.Time) { n.StoreCut = w.Now + d }},
	{"cut from the workers", func(w *standin.World, n *standin.Node, d core.Time) { n.WorkerCut = w.Now + d }},
	{"cut from the other controllers", func(w *standin.World, n *standin.Node, d core.Time) { n.PeerCut = w.Now + d }},
	{"refused by the store", func(w *standin.World, n *standin.Node, d core.Time) { n.Refused = w.Now + d }},
	{"cut from everything", cutFromAll},
	{"the store is out", func(w *standin.World, _ *standin.Node, d core.Time) { w.Down = w.Now + min(d, longestOutage) }},
	{"machines hang", twoMachines((*standin.World).Hang)},
	{"machines cut off while the cloud is out", cutMachinesWithoutCloud},
	{"machines taken back", takeMachinesBack},
	{"machines heard that hear nothing", twoMachines((*standin.World).Deafen)},
	{"a heap of old reports", copyReports},
	{"with its workers alone", func(w *standin.World, n *standin.Node, d core.Time) { n.StoreCut, n.PeerCut = w.Now+d, w.Now+d }},
	{"all back at once, one ends again", restartTwice},
	{"writes without an answer carried out late", func(w *standin.World, _ *standin.Node, d core.Time) { w.LateWrites(0.3, d, false) }},
	{"writes carried out, their answers lost", func(w *standin.World, _ *standin.Node, d core.Time) { w.LateWrites(0.3, d, true) }},
	{"machines that reach no controller", twoMachines((*standin.World).Mute)},
	{"old reports as the next holder begins", keepReportsForNext},
	{"running jobs cancelled while their machines hang", cancelOnHungMachines},
	{"cancelled as they end", func(w *standin.World, _ *standin.Node, d core.Time) { w.CancelAtEnd(0.5, d) }},
	{"users ask everywhere at once", func(w *standin.World, _ *standin.Node, d core.Time) { w.CloseLooks(d) }},
	{"odd requests", func(w *standin.World, _ *standin.Node, d core.Time) { w.OddRequests(d) }},
}

// longestOutage is how long the store is out at the most in these troubles;
// longer outages are a trouble of their own.
const longestOutage = 20 * sec

// singlePerDay is how many of the single troubles a day has.
const singlePerDay = 18

func planSingleTroubles(w *standin.World, until core.Time) {
	for range singlePerDay {
		at, d, kind := w.Between(5*sec, until-40*sec), w.Between(sec, 40*sec), w.Rand.IntN(len(singleTroubles))
		planTrouble(w, singleTroubles[kind], at, d)
	}
}

// planTrouble draws the controller that a trouble concerns and has it begin.
func planTrouble(w *standin.World, t trouble, at, d core.Time) {
	n := w.Nodes[w.Rand.IntN(len(w.Nodes))]
	w.After(at, func() {
		w.Log(fmt.Sprintf("--- trouble: %s, %s for %v at %v", t.name, n.ID, time.Duration(d), time.Duration(w.Now)))
		t.begin(w, n, d)
	})
}

func crashOne(w *standin.World, n *standin.Node, _ core.Time) { crash(w, n) }

func crashAll(w *standin.World) {
	for _, n := range w.Nodes {
		crash(w, n)
	}
}

// crashBusiest ends the controller that holds most, if any is up.
func crashBusiest(w *standin.World) bool {
	n := w.Busiest()
	if n != nil {
		crash(w, n)
	}
	return n != nil
}

func cutFromAll(w *standin.World, n *standin.Node, d core.Time) {
	until := w.Now + d
	n.StoreCut, n.WorkerCut, n.PeerCut = until, until, until
}

// twoMachines is a trouble of two machines.
func twoMachines(begin func(*standin.World, core.MachineID, core.Time)) func(*standin.World, *standin.Node, core.Time) {
	return func(w *standin.World, _ *standin.Node, d core.Time) {
		begin(w, w.AnyMachine(), d)
		begin(w, w.AnyMachine(), d)
	}
}

func cutMachinesWithoutCloud(w *standin.World, n *standin.Node, d core.Time) {
	twoMachines((*standin.World).Cut)(w, n, d)
	w.CloudDn = w.Now + d
}

// takeMachinesBack has the cloud take machines, with a notice or without.
func takeMachinesBack(w *standin.World, _ *standin.Node, _ core.Time) {
	for range 3 {
		if w.Chance(0.5) {
			w.SpotNotice(w.AnyMachine(), w.Between(5*sec, 25*sec))
		} else {
			w.Remove(w.AnyMachine())
		}
	}
}

func copyReports(w *standin.World, _ *standin.Node, _ core.Time) {
	for range 20 {
		w.CopyReport(w.AnyMachine(), w.Between(sec, 40*sec))
	}
}

// restartTwice ends all controllers, which are back at once, and one of them
// again in the middle of the claims.
func restartTwice(w *standin.World, n *standin.Node, _ core.Time) {
	for _, n := range w.Nodes {
		restart(w, n, w.Between(sec/20, sec/2))
	}
	w.After(w.Between(sec/20, sec), func() {
		w.Faults["ended again during its return"]++
		restart(w, n, w.Between(sec/20, sec/2))
	})
}

func keepReportsForNext(w *standin.World, n *standin.Node, d core.Time) {
	w.KeepForNext(0.5, d)
	w.After(d, func() { crash(w, n) })
}

// cancelOnHungMachines cancels running jobs while their machines hang; in some
// the busiest controller ends as well, or the store is out.
func cancelOnHungMachines(w *standin.World, _ *standin.Node, d core.Time) {
	w.CancelNow(8, w.Between(10*sec, 45*sec))
	switch w.Rand.IntN(3) {
	case 0:
		if n := w.Busiest(); n != nil {
			w.After(w.Between(0, sec), func() { crash(w, n) })
		}
	case 1:
		w.Down = w.Now + min(d, longestOutage)
	}
}

// jointTroubles concern many at once, as in a large fleet.
func jointTroubles(cancelWithin core.Time) []trouble {
	return []trouble{
		{"a controller stood still", standStill},
		{"all controllers stood still", allStandStill},
		{"a zone cut off", cutZone},
		{"half of the machines died", func(w *standin.World, _ *standin.Node, _ core.Time) {
			w.Die(2)
			w.Faults["half of the machines died"]++
		}},
		{"controllers refused one another", refuseOneAnother},
		{"all controllers ended in an outage", endInOutage},
		{"sick machines in an outage of the cloud", sickMachinesWithoutCloud},
		{"the busiest controller ended again and again", endBusiestAgain},
		{"a controller refused alone, then everybody", func(w *standin.World, n *standin.Node, _ core.Time) { refusedThenOut(w, n, cancelWithin) }},
		{"quick boots with a slow store", quickBootsWithSlowStore},
		{"a slow store that refuses one controller", slowStoreRefuses},
	}
}

// jointPerDay is how many of the joint troubles a day has.
const jointPerDay = 5

// planTogether plans troubles of many at once.
func planTogether(w *standin.World, until, cancelWithin core.Time) {
	troubles := jointTroubles(cancelWithin)
	for range jointPerDay {
		at, d, kind := w.Between(5*sec, until-40*sec), w.Between(5*sec, 30*sec), w.Rand.IntN(len(troubles))
		planTrouble(w, troubles[kind], at, d)
	}
}

// standStill stops a process for longer than a lease, mostly.
func standStill(w *standin.World, n *standin.Node, d core.Time) {
	n.Frozen = w.Now + d
	w.Faults["a controller stood still"]++
}

func allStandStill(w *standin.World, _ *standin.Node, d core.Time) {
	for _, n := range w.Nodes {
		n.Frozen = w.Now + d
	}
	w.Faults["all controllers stood still"]++
}

func cutZone(w *standin.World, _ *standin.Node, d core.Time) {
	zones := []string{"a", "b", "c"}
	w.CutZone(zones[w.Rand.IntN(len(zones))], d)
	w.Faults["a zone cut off"]++
}

func refuseOneAnother(w *standin.World, _ *standin.Node, d core.Time) {
	for _, n := range w.Nodes {
		n.NoPeers = w.Now + d
	}
	w.Faults["controllers refused one another"]++
}

func endInOutage(w *standin.World, _ *standin.Node, d core.Time) {
	outage := min(d, longestOutage)
	w.Down = w.Now + outage
	w.After(outage/2, func() { crashAll(w) })
	w.Faults["all controllers ended in an outage"]++
}

func sickMachinesWithoutCloud(w *standin.World, _ *standin.Node, d core.Time) {
	w.Sicken(3, d)
	w.CloudDn = w.Now + d
	w.Faults["sick machines in an outage of the cloud"]++
}

// endBusiestAgain ends the busiest controller three times within a minute,
// whoever that is then.
func endBusiestAgain(w *standin.World, _ *standin.Node, _ core.Time) {
	for _, at := range []core.Time{0, 12 * sec, 25 * sec} {
		w.After(at, func() { crashBusiest(w) })
	}
	w.Faults["the busiest controller ended again and again"]++
}

// quickBootsWithSlowStore has machines get work at once while writes lag, and
// the busiest controller end meanwhile.
func quickBootsWithSlowStore(w *standin.World, _ *standin.Node, d core.Time) {
	w.QuickBoots(d)
	w.SlowStore(w.Between(sec/5, 4*sec/5), d)
	w.After(w.Between(sec, d), func() {
		if crashBusiest(w) {
			w.Faults["quick boots with a slow store as the busiest controller ends"]++
		}
	})
}

func slowStoreRefuses(w *standin.World, n *standin.Node, d core.Time) {
	n.Refused = w.Now + d
	w.SlowStore(w.Between(sec/5, 4*sec/5), d)
	w.Faults["a slow store that refuses one controller"]++
}

// refusedThenOut has the state service refuse one controller alone, and a few
// seconds later everybody, for longer than a cancellation may take, while users
// cancel all along. In most of these the outage waits for the next holder's
// claim, which takes some five seconds, and comes within a second of it; in
// some of those another controller ends as well, so that nobody may be left who knows
// what users were told. Once a day is enough.
func refusedThenOut(w *standin.World, n *standin.Node, cancelWithin core.Time) {
	if w.Faults["a controller refused alone, then everybody"] > 0 {
		return
	}
	w.Faults["a controller refused alone, then everybody"]++
	out := false
	begin := func() {
		if !out {
			out = true
			w.Down = w.Now + cancelWithin + w.Between(sec, 5*sec)
		}
	}
	n.Refused = w.Now + w.Between(3*sec, 8*sec)
	if w.Chance(0.33) {
		w.After(w.Between(2*sec, 6*sec), begin)
	} else {
		n.Refused = w.Now + 10*sec
		ends := w.Chance(0.8)
		w.OnClaim(10*sec, func(holder core.NodeID) {
			w.Faults["an outage within a second of a claim"]++
			w.After(w.Between(0, sec), begin)
			o := w.Nodes[w.Rand.IntN(len(w.Nodes))]
			if !ends || o.ID == holder {
				return
			}
			w.After(w.Between(0, sec), func() {
				w.Faults["a controller ended within a second of a claim"]++
				crash(w, o)
			})
		})
		w.After(10*sec, begin)
	}
	for i := range 10 {
		at := core.Time(i) * sec
		if i >= 7 { // the outage goes on
			at = core.Time(i-5) * 8 * sec
		}
		w.After(at+w.Between(0, sec), w.CancelSome)
	}
}

func crash(w *standin.World, n *standin.Node) {
	gap := 6 * sec
	if w.Chance(0.3) {
		gap = w.Between(sec/10, sec)
	}
	restart(w, n, gap)
}

func restart(w *standin.World, n *standin.Node, gap core.Time) {
	w.Kill(n)
	w.After(gap, func() { w.Boot(n) })
}
