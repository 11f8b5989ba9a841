package standin

import (
	"math/rand/v2"
	"time"

	"stairrelay/internal/core"
)

const (
	second = core.Time(time.Second)
	milli  = core.Time(time.Millisecond)
)

// World runs several cores against the models in simulated time, with a
// network that delays, loses and delivers late, and checks the rules.
type World struct {
	Now       core.Time
	Rand      *rand.Rand
	State     *State
	Cloud     *Cloud
	Nodes     []*Node
	Workers   map[core.MachineID]*Live
	Jobs      map[core.JobID]*Job
	Broken    []string
	Late      bool           // messages over a cut may arrive minutes late
	Copies    float64        // the chance that a report is delivered again, up to several leases later
	SlowPeers float64        // the chance that a message between controllers is slow
	Calmed    core.Time      // all troubles are over from then on; 0: not judged
	Faults    map[string]int // troubles that were seen to happen, by kind
	Calm      bool           // nothing is lost or slow but what a test asks for
	Down      core.Time      // the state service is out until then
	Slow      core.Time      // added to every answer of the state service
	CloudDn   core.Time
	more      trouble
	lastKill  core.Time // of a controller
	cfg       core.Config
	// limitsBefore are the store's limits before the upgrade.
	limitsBefore Limits
	done         map[core.TaskID]bool
	startedOn    map[core.TaskID][]core.MachineID // where a task has ever started
	events       events
	seq          uint64
	boots        int
	live         []core.MachineID // sorted; nil: to be worked out anew
	Log          func(string)
	Spent        time.Duration // real time that the cores took
	Steps        int           // events that they were given
	Count        bool          // count the cores' allocations, which takes time itself
	Allocs       uint64        // counted
	observe      EffectObserver
}

// EffectObserver is told of every effect that a controller asks for, in the
// order in which the controllers ask.
type EffectObserver func(now core.Time, node core.NodeID, effect core.Effect)

// Option changes a cluster before its controllers start.
type Option func(*World)

// ObserveEffects has every effect shown to an observer.
func ObserveEffects(observe EffectObserver) Option {
	return func(w *World) { w.observe = observe }
}

// NewWorld makes a cluster whose controllers all start at once.
func NewWorld(seed uint64, cfg core.Config, cloud *Cloud, options ...Option) *World {
	w := emptyWorld(seed, cfg, cloud, options)
	w.start()
	return w
}

// emptyWorld makes a cluster none of whose controllers has started.
func emptyWorld(seed uint64, cfg core.Config, cloud *Cloud, options []Option) *World {
	w := &World{
		Rand:    rand.New(rand.NewPCG(seed, 1)),
		State:   NewState(),
		Cloud:   cloud,
		Workers: map[core.MachineID]*Live{},
		Jobs:    map[core.JobID]*Job{},
		done:    map[core.TaskID]bool{},

		startedOn: map[core.TaskID][]core.MachineID{},
		Faults:    map[string]int{},
		cfg:       cfg,
		Log:       func(string) {},
		observe:   func(core.Time, core.NodeID, core.Effect) {},
	}
	for _, option := range options {
		option(w)
	}
	for _, id := range cfg.Nodes {
		w.Nodes = append(w.Nodes, &Node{ID: id})
	}
	return w
}

// start boots all controllers.
func (w *World) start() {
	for _, n := range w.Nodes {
		w.Boot(n)
	}
	w.every(500*milli, w.sweep)
}

// Chance is true with probability p.
func (w *World) Chance(p float64) bool { return !w.Calm && w.Rand.Float64() < p }

// Between draws a time.
func (w *World) Between(a, b core.Time) core.Time { return a + core.Time(w.Rand.Int64N(int64(b-a)+1)) }

func (w *World) delay() core.Time {
	if w.Chance(0.02) {
		return w.Between(50*milli, 400*milli)
	}
	return w.Between(milli, 8*milli)
}

// lateBy says when something sent over a cut arrives, if at all.
func (w *World) lateBy(until core.Time) (core.Time, bool) {
	if !w.Late || w.Chance(0.4) {
		return 0, false
	}
	return max(until-w.Now, 0) + w.Between(milli, 20*second), true
}
