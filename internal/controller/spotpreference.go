package controller

import (
	"stairrelay/internal/state"
)

// Which jobs should have ordinary machines rather than spot ones.

// expectedSpotLoss is what a job's tasks must expect to lose on spot machines, in seconds:
// those that can't save lose half a run in the mean when theirs is taken. That
// counts four times, as a job of many tasks waits for its unluckiest.
func (c *Controller) expectedSpotLoss(j *state.Job) float64 {
	if !j.Spec.Spot || j.Spec.CheckpointSeconds > 0 {
		return 0
	}
	run := c.expectedRunSeconds(j)
	return 4 * c.provisioner.Spot.Rate() * run * run / 2
}

// spotLossLimit is the expected loss, in seconds, from which a job should rather have
// ordinary machines, however much time its aims give it.
const spotLossLimit = 2

// taskLossThreshold is how many of its tasks a job must expect to lose on spot
// machines for its deadline to be at risk: a few small tasks are hardly ever hit.
const taskLossThreshold = 0.1

// prefersOnDemand tells whether a job should rather have ordinary machines: much loss
// is to be expected, or it is likely to lose a task and its first aim gives it so
// little time that a task begun anew would miss it. For others the choice would
// only scatter their tasks over machines with little room, each of which has to
// fetch the image.
func (c *Controller) prefersOnDemand(j *state.Job) bool {
	loss := c.expectedSpotLoss(j)
	if loss == 0 || loss > spotLossLimit {
		return loss > 0
	}
	if c.provisioner.Spot.Rate()*c.expectedRunSeconds(j)*float64(j.Spec.Tasks) < taskLossThreshold {
		return false
	}
	aim := 0.0
	for _, o := range c.config.SLOs {
		within := o.WithinSeconds
		if o.Kind == "deadline" {
			within = j.Spec.DeadlineSeconds * max(o.DeadlineFactor, 0.1)
		}
		if o.Class == j.Spec.Class && o.Kind != "wait" && within > 0 && (aim == 0 || within < aim) {
			aim = within
		}
	}
	return aim > 0 && aim < 3*c.expectedRunSeconds(j)
}

// isOnDemandWorthFetching tells whether so much loss is to be expected that an ordinary
// machine is worth fetching the image anew.
func (c *Controller) isOnDemandWorthFetching(j *state.Job) bool {
	fetch := 0.0
	for _, t := range c.state.MachineTypes {
		if t.FetchGBPerSecond > 0 {
			fetch = max(fetch, j.Spec.ImageGB/t.FetchGBPerSecond)
		}
	}
	return c.expectedSpotLoss(j) > max(fetch, spotLossLimit)
}

// canUseMachine tells whether a job may go to a machine that is to run empty because
// it is dear: only one to which the cheaper ones are a risk.
func (c *Controller) canUseMachine(j *state.Job, m *state.Machine) bool {
	return !m.ScaleInCandidate || !m.Spot && c.isOnDemandWorthFetching(j)
}

// isMarketSuited tells whether a job should have a spot machine, or an ordinary one,
// rather than another that is equal otherwise: a job that spares its time should
// have an ordinary one; where there are such, what saves makes room for them and
// goes to spot machines. Else neither matters.
func (c *Controller) isMarketSuited(p *state.Shard, j *state.Job, spot bool) bool {
	if j.Spec.CheckpointSeconds > 0 {
		return spot || !p.AvoidSpot
	}
	return !spot || !c.prefersOnDemand(j)
}
