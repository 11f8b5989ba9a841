package settings

import (
	"math"

	"stairrelay/internal/cluster"
	"stairrelay/internal/ownership"
)

// nanosPerSecond converts seconds in the settings files to cluster.Time.
const nanosPerSecond = 1e9

func seconds(count float64) cluster.Time { return cluster.Time(count * nanosPerSecond) }

func toSeconds(t cluster.Time) float64 { return float64(t) / nanosPerSecond }

// setWorkerTimes sets the heartbeat interval, the worker lease and the cancellation
// deadline. It adds a warning if they leave the owner of a shard too little time to
// detect that another controller has acquired the shard.
func (s *Settings) setWorkerTimes(workers *workersTable) {
	s.Controller.HeartbeatInterval = seconds(workers.HeartbeatSeconds)
	s.Controller.WorkerLease = seconds(workers.LeaseSeconds)
	s.Controller.CancelDeadline = seconds(workers.CancelSeconds)
	window := ownership.ResponseWindow(s.Controller.CancelDeadline, s.Controller.WorkerLease)
	if window >= ownership.MinResponseWindow {
		return
	}
	// Each second of cancel_s extends the window by slightly less than a second, because
	// part of that second is an allowance for clock drift.
	const margin = 1.01
	missing := toSeconds(ownership.MinResponseWindow - window)
	sufficient := math.Ceil(workers.CancelSeconds + missing*margin)
	s.warnf("cluster.workers: with lease_s %g, a cancel_s of %g leaves a partitioned controller %.2f s "+
		"to detect that another controller has acquired its shard, but it needs %g s; "+
		"during a store outage a cancelled task may run past cancel_s. Increase cancel_s to at least %g",
		workers.LeaseSeconds, workers.CancelSeconds, toSeconds(window), toSeconds(ownership.MinResponseWindow), sufficient)
}
