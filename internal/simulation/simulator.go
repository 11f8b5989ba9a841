package simulation

import (
	"math/rand/v2"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"

	"stairrelay/internal/controller"
)

const (
	second      = cluster.Time(time.Second)
	millisecond = cluster.Time(time.Millisecond)
)

// Simulator runs several cores against the models in simulated time, with a
// network that delays, loses and delivers late, and checks the rules.
type Simulator struct {
	Now                      cluster.Time
	Rand                     *rand.Rand
	StateService             *FakeStateService
	Cloud                    *FakeCloud
	Nodes                    []*Node
	Workers                  map[cluster.MachineID]*SimulatedWorker
	Jobs                     map[cluster.JobID]*Job
	Violations               []string
	LateDelivery             bool           // messages over a cut may arrive minutes late
	HeartbeatDuplicateChance float64        // the chance that a report is delivered again, up to several leases later
	SlowPeerChance           float64        // the chance that a message between controllers is slow
	FaultsOverAt             cluster.Time   // all troubles are over from then on; 0: not judged
	FaultCounts              map[string]int // troubles that were seen to happen, by kind
	NoRandomFaults           bool           // nothing is lost or slow but what a test asks for
	StoreDownUntil           cluster.Time   // the state service is out until then
	StoreDelay               cluster.Time   // added to every answer of the state service
	CloudDownUntil           cluster.Time
	faults                   faultState
	lastNodeKillAt           cluster.Time // of a controller
	config                   controller.Config
	// limitsBeforeUpgrade are the store's limits before the upgrade.
	limitsBeforeUpgrade StoreLimits
	doneTasks           map[cluster.TaskID]bool
	startedOn           map[cluster.TaskID][]cluster.MachineID // where a task has ever started
	eventQueue          eventHeap
	eventSequence       uint64
	bootCount           int
	sortedLiveIDs       []cluster.MachineID // sorted; nil: to be worked out anew
	Log                 func(string)
	ControllerTime      time.Duration // real time that the cores took
	StepCount           int           // events that they were given
	CountAllocations    bool          // count the cores' allocations, which takes time itself
	Allocations         uint64        // counted
	observe             EffectObserver
}

// EffectObserver is told of every effect that a controller asks for, in the
// order in which the controllers ask.
type EffectObserver func(now cluster.Time, node cluster.NodeID, effect messages.Effect)

// Option changes a cluster before its controllers start.
type Option func(*Simulator)

// ObserveEffects has every effect shown to an observer.
func ObserveEffects(observe EffectObserver) Option {
	return func(w *Simulator) { w.observe = observe }
}

// NewSimulator makes a cluster whose controllers all start at once.
func NewSimulator(seed uint64, cfg controller.Config, cloud *FakeCloud, options ...Option) *Simulator {
	w := newStoppedSimulator(seed, cfg, cloud, options)
	w.startNodes()
	return w
}

// newStoppedSimulator makes a cluster none of whose controllers has started.
func newStoppedSimulator(seed uint64, cfg controller.Config, cloud *FakeCloud, options []Option) *Simulator {
	w := &Simulator{
		Rand:         rand.New(rand.NewPCG(seed, 1)),
		StateService: NewFakeStateService(),
		Cloud:        cloud,
		Workers:      map[cluster.MachineID]*SimulatedWorker{},
		Jobs:         map[cluster.JobID]*Job{},
		doneTasks:    map[cluster.TaskID]bool{},

		startedOn:   map[cluster.TaskID][]cluster.MachineID{},
		FaultCounts: map[string]int{},
		config:      cfg,
		Log:         func(string) {},
		observe:     func(cluster.Time, cluster.NodeID, messages.Effect) {},
	}
	for _, option := range options {
		option(w)
	}
	for _, id := range cfg.Nodes {
		w.Nodes = append(w.Nodes, &Node{ID: id})
	}
	return w
}

// startNodes boots all controllers.
func (w *Simulator) startNodes() {
	for _, n := range w.Nodes {
		w.StartNode(n)
	}
	w.repeatEvery(500*millisecond, w.runPeriodicChecks)
}

// Chance is true with probability p.
func (w *Simulator) Chance(p float64) bool { return !w.NoRandomFaults && w.Rand.Float64() < p }

// RandomBetween draws a time.
func (w *Simulator) RandomBetween(a, b cluster.Time) cluster.Time {
	return a + cluster.Time(w.Rand.Int64N(int64(b-a)+1))
}

func (w *Simulator) networkDelay() cluster.Time {
	if w.Chance(0.02) {
		return w.RandomBetween(50*millisecond, 400*millisecond)
	}
	return w.RandomBetween(millisecond, 8*millisecond)
}

// lateArrival says when something sent over a cut arrives, if at all.
func (w *Simulator) lateArrival(until cluster.Time) (cluster.Time, bool) {
	if !w.LateDelivery || w.Chance(0.4) {
		return 0, false
	}
	return max(until-w.Now, 0) + w.RandomBetween(millisecond, 20*second), true
}
