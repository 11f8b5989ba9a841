package provisioning

import "stairrelay/internal/cluster"

// Before anything was observed, one interruption in an hour is assumed.
const (
	assumedInterruptions = 1
	assumedServedSeconds = 3600
)

// SpotInterruptions measures how often spot machines are lost. The zero value has
// observed nothing.
type SpotInterruptions struct {
	count         float64 // machines that the cloud preempted or that were lost
	servedSeconds float64 // of all machines together
}

// RecordInterruption counts a spot machine that was preempted or lost.
func (s *SpotInterruptions) RecordInterruption() { s.count++ }

// AddServed counts for how long a spot machine has served.
func (s *SpotInterruptions) AddServed(duration cluster.Time) { s.servedSeconds += duration.Seconds() }

// Rate is how often a spot machine is lost, per second.
func (s *SpotInterruptions) Rate() float64 {
	return (s.count + assumedInterruptions) / (s.servedSeconds + assumedServedSeconds)
}
