package provisioning

import "stairrelay/internal/cluster"

// The rate is estimated as if one interruption in one hour of service had been observed
// beforehand.
const (
	assumedInterruptions = 1
	assumedServedSeconds = 3600
)

// SpotInterruptions estimates how often spot machines are interrupted. The zero value
// has no observations.
type SpotInterruptions struct {
	count         float64 // spot machines that were preempted or lost
	servedSeconds float64 // time that all spot machines have served together
}

// RecordInterruption counts a spot machine that was preempted or lost.
func (s *SpotInterruptions) RecordInterruption() { s.count++ }

// AddServed adds the time that a spot machine has served.
func (s *SpotInterruptions) AddServed(duration cluster.Time) { s.servedSeconds += duration.Seconds() }

// Rate returns the expected number of interruptions of a spot machine per second.
func (s *SpotInterruptions) Rate() float64 {
	return (s.count + assumedInterruptions) / (s.servedSeconds + assumedServedSeconds)
}
