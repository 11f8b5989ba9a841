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

// environment holds the state that all components of a simulation share.
type environment struct {
	clock
	randomSource
	// Log is called with each log line of the simulation.
	Log func(string)
	// Violations lists the violated invariants. The first violation ends the run.
	Violations []string
	// FaultCounts counts the faults that took effect, by kind.
	FaultCounts map[FaultKind]int
	// FaultsOverAt is the time at which the last fault ends. The liveness
	// invariants are checked from then on, or never if it is zero.
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

// reportViolation records a violated invariant and ends the run.
func (e *environment) reportViolation(format string, args ...any) {
	e.Violations = append(e.Violations, fmt.Sprintf("%v: ", time.Duration(e.Now))+fmt.Sprintf(format, args...))
	e.stop()
}

// faultsOver reports whether the liveness invariants have to hold.
func (e *environment) faultsOver() bool { return e.FaultsOverAt > 0 && e.Now >= e.FaultsOverAt }

// randomSource is the source of randomness of a simulation. A run is reproducible
// from its seed if all values are drawn in the same order.
type randomSource struct {
	Rand *rand.Rand
	// NoRandomFaults disables all faults that are injected with a probability.
	NoRandomFaults bool
}

// Chance returns true with the given probability, and always false if
// NoRandomFaults is set.
func (r *randomSource) Chance(probability float64) bool {
	return !r.NoRandomFaults && r.Rand.Float64() < probability
}

// RandomBetween returns a random time between from and to, both included.
func (r *randomSource) RandomBetween(from, to cluster.Time) cluster.Time {
	return from + cluster.Time(r.Rand.Int64N(int64(to-from)+1))
}
