package scheduling

import "stairrelay/internal/state"

const (
	// maxSpotLossSeconds is the weighted expected loss per task above which a job should
	// use on-demand machines, regardless of its objectives.
	maxSpotLossSeconds = 2
	// minExpectedLostTasks is the expected number of interrupted tasks at or above which
	// a job's objectives are at risk on spot machines. A few small tasks are hardly ever
	// interrupted.
	minExpectedLostTasks = 0.1
	// lossWeight is the weight of the expected loss per task. It is greater than 1 because
	// a job finishes only when the last of its tasks does.
	lossWeight = 4
	// minDeadlineFactor is the minimum DeadlineFactor of an objective. Smaller factors are
	// treated as this one.
	minDeadlineFactor = 0.1
	// tightObjectiveRuntimes is the number of run times that an objective must allow so
	// that a restarted task can still meet it.
	tightObjectiveRuntimes = 3
)

// SpotPreference decides which jobs should use on-demand machines rather than spot ones.
type SpotPreference struct {
	*shared
	runtimes *Runtimes
}

// expectedLossSeconds returns the weighted run time that a task of a job is expected to
// lose on a spot machine. A task without checkpoints loses half its run time on average
// when it is interrupted. The result is 0 for jobs that save checkpoints and for jobs
// that may not use spot machines.
func (s *SpotPreference) expectedLossSeconds(job *state.Job) float64 {
	if !job.Spec.Spot || job.Spec.CheckpointIntervalSeconds > 0 {
		return 0
	}
	runSeconds := s.runtimes.ExpectedSeconds(job)
	return lossWeight * s.deps.SpotInterruptionRate() * runSeconds * runSeconds / 2
}

// prefersOnDemand reports whether a job should use on-demand machines: its expected loss
// is too high, or at least minExpectedLostTasks interruptions are expected and it has an
// objective that a restarted task may miss. For other jobs a preference would only spread
// the tasks over more machines, each of which has to fetch the image.
func (s *SpotPreference) prefersOnDemand(job *state.Job) bool {
	loss := s.expectedLossSeconds(job)
	if loss == 0 || loss > maxSpotLossSeconds {
		return loss > 0
	}
	runSeconds := s.runtimes.ExpectedSeconds(job)
	if s.deps.SpotInterruptionRate()*runSeconds*float64(job.Spec.Tasks) < minExpectedLostTasks {
		return false
	}
	tightest := s.tightestObjectiveSeconds(job)
	return tightest > 0 && tightest < tightObjectiveRuntimes*runSeconds
}

// tightestObjectiveSeconds returns the shortest time within which an objective requires
// a job to finish. The result is 0 if there is no such objective.
func (s *SpotPreference) tightestObjectiveSeconds(job *state.Job) float64 {
	tightest := 0.0
	for _, objective := range s.config.SLOs {
		within := objective.WithinSeconds
		if objective.Kind == sloDeadline {
			within = job.Spec.DeadlineSeconds * max(objective.DeadlineFactor, minDeadlineFactor)
		}
		if objective.Class == job.Spec.Class && objective.Kind != sloWait && within > 0 && (tightest == 0 || within < tightest) {
			tightest = within
		}
	}
	return tightest
}

// IsOnDemandWorthImageFetch reports whether a job's expected loss on spot machines exceeds
// both maxSpotLossSeconds and the longest time that any machine type needs to fetch its
// image. An on-demand machine without the image is then better than a spot machine with
// it.
func (s *SpotPreference) IsOnDemandWorthImageFetch(job *state.Job) bool {
	fetchSeconds := 0.0
	for _, machineType := range s.state.MachineTypes {
		if machineType.FetchGBPerSecond > 0 {
			fetchSeconds = max(fetchSeconds, job.Spec.ImageGB/machineType.FetchGBPerSecond)
		}
	}
	return s.expectedLossSeconds(job) > max(fetchSeconds, maxSpotLossSeconds)
}

// IsPreferredMarket reports whether a job prefers machines of a market, spot or on-demand,
// among candidates with the same image state. Jobs for which prefersOnDemand is true prefer
// on-demand machines. If the shard has such jobs, jobs that save checkpoints prefer spot
// machines. For all other jobs the result is true for both markets.
func (s *SpotPreference) IsPreferredMarket(shard *state.Shard, job *state.Job, spot bool) bool {
	if job.Spec.CheckpointIntervalSeconds > 0 {
		return spot || !shard.HasOnDemandPreference
	}
	return !spot || !s.prefersOnDemand(job)
}
