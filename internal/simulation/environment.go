package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
)

const (
	second      = cluster.Time(time.Second)
	millisecond = cluster.Time(time.Millisecond)
)

// environment is what all components of a simulation share.
type environment struct {
	clock
	randomSource
	// Log takes the simulation's log lines.
	Log func(string)
	// Violations lists the rules that were broken; the first one ends the run.
	Violations []string
	// FaultCounts counts the faults that actually took effect, by kind.
	FaultCounts map[FaultKind]int
	// FaultsOverAt is when the last fault is over; the rules about progress hold
	// from then on. Zero: those rules are not checked.
	FaultsOverAt cluster.Time
	config       controller.Config
}

func newEnvironment(seed uint64, cfg controller.Config) *environment {
	return &environment{
		randomSource: randomSource{Rand: rand.New(rand.NewPCG(seed, 1))},
		Log:          func(string) {},
		FaultCounts:  map[FaultKind]int{},
		config:       cfg,
	}
}

// reportViolation records a broken rule and ends the run.
func (e *environment) reportViolation(format string, args ...any) {
	e.Violations = append(e.Violations, fmt.Sprintf("%v: ", time.Duration(e.Now))+fmt.Sprintf(format, args...))
	e.stop()
}

// faultsOver tells whether the rules about progress hold.
func (e *environment) faultsOver() bool { return e.FaultsOverAt > 0 && e.Now >= e.FaultsOverAt }

// randomSource makes the random draws of a simulation. A run is reproducible
// from its seed as long as the draws are made in the same order.
type randomSource struct {
	Rand *rand.Rand
	// NoRandomFaults turns all faults off that a test does not ask for.
	NoRandomFaults bool
}

// Chance is true with a probability.
func (r *randomSource) Chance(probability float64) bool {
	return !r.NoRandomFaults && r.Rand.Float64() < probability
}

// RandomBetween draws a time from an interval.
func (r *randomSource) RandomBetween(from, to cluster.Time) cluster.Time {
	return from + cluster.Time(r.Rand.Int64N(int64(to-from)+1))
}
