package scheduling

import "stairrelay/internal/state"

const (
	// spotLossLimit is the expected loss, in seconds, from which a job should rather
	// have on-demand machines, however much time its objectives give it.
	maxSpotLossSeconds = 2
	// taskLossThreshold is how many of its tasks a job must expect to lose on spot
	// machines for its deadline to be at risk: a few small tasks are hardly ever hit.
	minExpectedLostTasks = 0.1
	// lossWeight is how much a loss counts: a job of many tasks waits for its
	// unluckiest.
	lossWeight = 4
	// minDeadlineFactor is the least part of a job's own deadline that an objective
	// may ask for.
	minDeadlineFactor = 0.1
	// tightObjectiveRuns is how many run times an objective must leave so that a
	// restarted task can still meet it.
	tightObjectiveRunTimes = 3
)

// SpotPreference tells which jobs should have on-demand machines rather than spot
// ones.
type SpotPreference struct {
	*shared
	runTimes *RunTimes
}

// expectedLoss is what a job's tasks must expect to lose on spot machines, in
// seconds: those that can't save a checkpoint lose half a run in the mean when their
// machine is preempted.
func (s *SpotPreference) expectedLossSeconds(job *state.Job) float64 {
	if !job.Spec.Spot || job.Spec.CheckpointSeconds > 0 {
		return 0
	}
	runSeconds := s.runTimes.ExpectedSeconds(job)
	return lossWeight * s.deps.SpotInterruptionRate() * runSeconds * runSeconds / 2
}

// prefersOnDemand tells whether a job should rather have on-demand machines: much
// loss is to be expected, or it is likely to lose a task and its first objective
// gives it so little time that a restarted task would miss it. For others the choice
// would only scatter their tasks over machines with little room, each of which has
// to fetch the image.
func (s *SpotPreference) prefersOnDemand(job *state.Job) bool {
	loss := s.expectedLossSeconds(job)
	if loss == 0 || loss > maxSpotLossSeconds {
		return loss > 0
	}
	runSeconds := s.runTimes.ExpectedSeconds(job)
	if s.deps.SpotInterruptionRate()*runSeconds*float64(job.Spec.Tasks) < minExpectedLostTasks {
		return false
	}
	tightest := s.tightestObjectiveSeconds(job)
	return tightest > 0 && tightest < tightObjectiveRunTimes*runSeconds
}

// tightestObjective is the shortest time, in seconds, in which an objective wants the
// job done; 0: there is none.
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

// IsOnDemandWorthFetching tells whether so much loss is to be expected that an
// on-demand machine is worth fetching the image anew.
func (s *SpotPreference) IsOnDemandWorthImageFetch(job *state.Job) bool {
	fetchSeconds := 0.0
	for _, machineType := range s.state.MachineTypes {
		if machineType.FetchGBPerSecond > 0 {
			fetchSeconds = max(fetchSeconds, job.Spec.ImageGB/machineType.FetchGBPerSecond)
		}
	}
	return s.expectedLossSeconds(job) > max(fetchSeconds, maxSpotLossSeconds)
}

// IsMarketSuited tells whether a job should have a spot machine, or an on-demand one,
// rather than another that is equal otherwise. A job that can't afford a loss should
// have an on-demand one; where the shard has such jobs, those that can save a
// checkpoint leave these machines to them and use spot ones. Else neither matters.
func (s *SpotPreference) IsPreferredMarket(shard *state.Shard, job *state.Job, spot bool) bool {
	if job.Spec.CheckpointSeconds > 0 {
		return spot || !shard.AvoidSpot
	}
	return !spot || !s.prefersOnDemand(job)
}
