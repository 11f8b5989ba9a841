package settings

import (
	"math"

	"stairrelay/internal/cluster"
	"stairrelay/internal/ownership"
)

// nanosPerSecond converts the files' seconds to cluster.Time.
const nanosPerSecond = 1e9

func seconds(count float64) cluster.Time { return cluster.Time(count * nanosPerSecond) }

func inSeconds(t cluster.Time) float64 { return float64(t) / nanosPerSecond }

// setWorkerTimes sets the workers' intervals and warns when they leave an owner too
// little time to notice that another controller has acquired its shard.
func (s *Settings) setWorkerTimes(workers *workersTable) {
	s.Controller.HeartbeatInterval = seconds(workers.HeartbeatSeconds)
	s.Controller.WorkerLease = seconds(workers.LeaseSeconds)
	s.Controller.CancelDeadline = seconds(workers.CancelSeconds)
	window := ownership.AnswerWindow(s.Controller.CancelDeadline, s.Controller.WorkerLease)
	if window >= ownership.MinAnswerWindow {
		return
	}
	// The window grows by a little less than a second for each second of cancel_s,
	// so somewhat more than what is missing is needed.
	const margin = 1.01
	missing := inSeconds(ownership.MinAnswerWindow - window)
	enough := math.Ceil(workers.CancelSeconds + missing*margin)
	s.warnf("cluster.workers: with lease_s %g a cancel_s of %g leaves a cut-off controller %.2f s "+
		"to notice that it was succeeded, of %g that it needs; "+
		"in an outage of the state service a cancelled task may run on past cancel_s. A cancel_s of %g would do",
		workers.LeaseSeconds, workers.CancelSeconds, inSeconds(window), inSeconds(ownership.MinAnswerWindow), enough)
}
