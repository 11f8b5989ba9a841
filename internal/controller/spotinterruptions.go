package controller

import (
	"stairrelay/internal/cluster"
)

// spotInterruptions counts how spot machines have fared here.
type spotInterruptions struct {
	interruptionCount float64 // machines taken back or lost
	servedSeconds     float64 // what all of them have served
}

// addServed notes that a spot machine has served for a time.
func (s *spotInterruptions) addServed(d cluster.Time) { s.servedSeconds += d.Seconds() }

// rate is how often a spot machine goes in a second, as far as seen here;
// before anything was seen, once in an hour.
func (s *spotInterruptions) rate() float64 {
	return (s.interruptionCount + 1) / (s.servedSeconds + 3600)
}
