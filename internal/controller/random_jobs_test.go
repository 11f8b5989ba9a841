package controller_test

import (
	"fmt"
	"strconv"

	"stairrelay/internal/cluster"
	"stairrelay/internal/simulation"
)

const (
	// plannedJobCount is the number of jobs in a run, in addition to its pipelines.
	plannedJobCount = 45
	// initialJobCount is the number of planned jobs that are submitted within the first
	// three seconds.
	initialJobCount = 10
	// longJobInterval is the number of planned jobs per long job. The tasks of a long job
	// run for longer than the cancel deadline, so that a cancelled task that is not
	// stopped is detected.
	longJobInterval = 9
	// plannedPipelineCount is the number of pipelines in a run.
	plannedPipelineCount = 6
)

// planJobs schedules the submission of random jobs, the cancellation of some of them, and
// queries of unknown jobs.
func planJobs(sim *simulation.Simulator, teams []string, until cluster.Time) {
	for i := range plannedJobCount {
		at := sim.RandomBetween(0, until)
		if i < initialJobCount {
			at = sim.RandomBetween(0, 3*second)
		}
		job := randomJob(sim, teams, i)
		sim.After(at, func() { sim.Users.Submit(job) })
		if sim.Chance(0.2) {
			job.CancelPlanned = true
			sim.After(at+sim.RandomBetween(0, 30*second), func() { sim.Users.Cancel(job) })
		}
		sim.After(sim.RandomBetween(0, until), func() {
			sim.Users.QueryUnknownJob(cluster.JobID(fmt.Sprintf("j-9%05d", sim.Rand.IntN(1000))))
		})
	}
}

// randomJob returns a random job with the given number.
func randomJob(sim *simulation.Simulator, teams []string, number int) *simulation.Job {
	run := sim.RandomBetween(3*second, 30*second)
	tasks := 1 + sim.Rand.IntN(9)
	if number%longJobInterval == 4 {
		run = sim.RandomBetween(50*second, 90*second)
		tasks = 1 + sim.Rand.IntN(3)
	}
	spec := cluster.JobSpec{
		ID:              cluster.JobID(fmt.Sprintf("j-%06d", number)),
		Class:           "c" + strconv.Itoa(number%3),
		Team:            teams[sim.Rand.IntN(len(teams))],
		Priority:        cluster.Priority(sim.Rand.IntN(4)),
		Tasks:           tasks,
		ResourceRequest: cluster.Resources{CPU: cpu + cluster.Amount(sim.Rand.IntN(2_000_000)), Memory: 2 * cpu},
		Image:           "img-" + strconv.Itoa(sim.Rand.IntN(3)),
		ImageGB:         1,
		RuntimeSeconds:  float64(run) / 1e9 * 0.8,
		Spot:            sim.Chance(0.6),
	}
	job := newJob(spec, run)
	if sim.Chance(0.3) {
		job.Spec.CheckpointIntervalSeconds = 10
		job.Spec.CheckpointWriteSeconds = 2
		job.Info.CanCheckpoint = true
		job.Info.SaveDuration = 2 * second
	}
	setRandomPlacement(sim, &job.Spec)
	return job
}

// setRandomPlacement sets a random placement constraint in a spec with a probability of
// one half.
func setRandomPlacement(sim *simulation.Simulator, spec *cluster.JobSpec) {
	switch sim.Rand.IntN(8) {
	case 0:
		spec.Colocate = true
	case 1:
		spec.Spread = true
	case 2:
		spec.Zone = "b"
	case 3:
		spec.MachineTypes = []string{"small"}
	}
}

// planPipelines schedules the submission of pipelines. In some pipelines a job is
// cancelled, and in some the last job is submitted only after its dependencies have ended.
func planPipelines(sim *simulation.Simulator, teams []string, until cluster.Time) {
	planner := &pipelinePlanner{sim: sim, teams: teams}
	for range plannedPipelineCount {
		planner.plan(sim.RandomBetween(0, until-60*second))
	}
}

// pipelinePlanner schedules pipelines and numbers their jobs.
type pipelinePlanner struct {
	sim      *simulation.Simulator
	teams    []string
	jobCount int
}

// plan schedules a pipeline that starts at the given time.
func (p *pipelinePlanner) plan(at cluster.Time) {
	sim := p.sim
	jobs := p.randomPipeline()
	first, last := jobs[0], jobs[len(jobs)-1]
	submitLastLate := sim.Chance(0.25)
	sim.After(at, func() { sim.Users.Submit(first) })
	for _, job := range jobs[1:] {
		sim.After(at, func() { sim.Users.SubmitAfterDependencies(job, submitLastLate && job == last) })
	}
	if !sim.Chance(0.5) {
		return
	}
	cancelled := jobs[sim.Rand.IntN(len(jobs))]
	cancelled.CancelPlanned = true
	sim.After(at+sim.RandomBetween(0, 40*second), func() {
		if sim.Jobs[cancelled.Spec.ID] != nil {
			sim.Users.Cancel(cancelled)
		}
	})
}

// randomPipeline returns the jobs of a random pipeline: a first job, parallel jobs that
// depend on it, a middle job that depends on all parallel jobs, and a last job that
// depends on the middle job and on the first.
func (p *pipelinePlanner) randomPipeline() []*simulation.Job {
	first := p.randomJob()
	jobs := []*simulation.Job{first}
	var parallel []cluster.JobID
	for range 1 + p.sim.Rand.IntN(3) {
		job := p.randomJob(first.Spec.ID)
		jobs = append(jobs, job)
		parallel = append(parallel, job.Spec.ID)
	}
	middle := p.randomJob(parallel...)
	last := p.randomJob(middle.Spec.ID, first.Spec.ID)
	return append(jobs, middle, last)
}

func (p *pipelinePlanner) randomJob(dependencies ...cluster.JobID) *simulation.Job {
	sim := p.sim
	p.jobCount++
	run := sim.RandomBetween(2*second, 12*second)
	return newJob(cluster.JobSpec{
		ID:              cluster.JobID(fmt.Sprintf("j-5%05d", p.jobCount)),
		Class:           "p" + strconv.Itoa(p.jobCount%2),
		Team:            p.teams[sim.Rand.IntN(len(p.teams))],
		Priority:        cluster.Priority(sim.Rand.IntN(4)),
		Tasks:           1 + sim.Rand.IntN(4),
		ResourceRequest: cluster.Resources{CPU: cpu, Memory: 2 * cpu},
		Dependencies:    dependencies,
		Image:           "img-" + strconv.Itoa(sim.Rand.IntN(3)),
		ImageGB:         1,
		RuntimeSeconds:  float64(run) / 1e9,
		DeadlineSeconds: 120,
		Spot:            sim.Chance(0.6),
	}, run)
}
