package core

// spotLosses counts how spot machines have fared here.
type spotLosses struct {
	lost    float64 // machines taken back or lost
	seconds float64 // what all of them have served
}

// served notes that a spot machine has served for a time.
func (s *spotLosses) served(d Time) { s.seconds += d.Seconds() }

// rate is how often a spot machine goes in a second, as far as seen here;
// before anything was seen, once in an hour.
func (s *spotLosses) rate() float64 { return (s.lost + 1) / (s.seconds + 3600) }
