package controller

import (
	"stairrelay/internal/cluster"
)

// spotInterruptions counts how spot machines have fared here.
type spotInterruptions struct {
	interruptionCount float64 // machines taken back or lost
	servedSeconds     float64 // what all of them have served
}

// RecordInterruption counts a spot machine that was taken back or lost.
func (s *spotInterruptions) RecordInterruption() { s.interruptionCount++ }

// AddServed counts for how long a spot machine has served.
func (s *spotInterruptions) AddServed(duration cluster.Time) {
	s.servedSeconds += duration.Seconds()
}

// rate is how often a spot machine goes in a second, as far as seen here;
// before anything was seen, once in an hour.
func (s *spotInterruptions) rate() float64 {
	return (s.interruptionCount + 1) / (s.servedSeconds + 3600)
}
