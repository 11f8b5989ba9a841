package controller_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
	"stairrelay/internal/simulation"
)

const (
	// additionalStream selects the random stream of the additional faults. The simulation
	// itself uses stream 1.
	additionalStream = 2
	// unknownFieldShare is the share of messages and records with unknown fields.
	unknownFieldShare = 0.3
	// quickReturnsPerRun is the number of returns within a second, for each seed.
	quickReturnsPerRun = 10
	// maxCopyDelay is the maximum time from a return to the delivery of copies.
	maxCopyDelay = 2 * second
	// deepPipelinesPerRun is the number of deep pipelines for each seed.
	deepPipelinesPerRun = 2
	// minPipelineSteps and maxPipelineSteps limit the number of steps of a deep pipeline. The
	// number of its paths is pipelineWidth to the power of the number of steps.
	minPipelineSteps = 14
	maxPipelineSteps = 18
	pipelineWidth    = 4
)

// additionalFaults plans faults that the other random faults lack. It draws them from a
// random source of its own, so that the faults and jobs of a known seed stay as they are.
type additionalFaults struct {
	sim    *simulation.Simulator
	random *rand.Rand
}

// simulateAdditionalFaults is like simulateRandomFaults with additional faults.
func simulateAdditionalFaults(t *testing.T, seed uint64, cfg controller.Config) map[simulation.FaultKind]int {
	t.Helper()
	return simulateFaults(t, seed, cfg, func(sim *simulation.Simulator, teams []string, until cluster.Time) {
		faults := &additionalFaults{sim: sim, random: rand.New(rand.NewPCG(seed, additionalStream))}
		faults.plan(teams, until)
	})
}

func (f *additionalFaults) plan(teams []string, until cluster.Time) {
	f.sim.UnknownFields.Random, f.sim.UnknownFields.Share = f.random, unknownFieldShare
	f.sim.StartCopies.Keep = true
	for range quickReturnsPerRun {
		f.sim.After(f.between(5*second, until-maxFaultDuration), f.returnQuickly)
	}
	for number := range deepPipelinesPerRun {
		f.planDeepPipeline(number, teams, until)
	}
}

func (f *additionalFaults) between(from, to cluster.Time) cluster.Time {
	return from + cluster.Time(f.random.Int64N(int64(to-from)+1))
}

// returnQuickly makes a controller, all controllers or a machine fail, and come back within a
// second. Copies of all executed starts are delivered then.
func (f *additionalFaults) returnQuickly() {
	absence := f.between(second/20, second)
	switch f.random.IntN(5) {
	case 0:
		for _, node := range f.sim.Nodes {
			restart(f.sim, node, absence)
		}
	case 1, 2:
		restart(f.sim, f.sim.Nodes[f.random.IntN(len(f.sim.Nodes))], absence)
	case 3:
		f.sim.Machines.Hang(f.sim.Machines.RandomFrom(f.random), absence)
	case 4:
		f.sim.Machines.Reboot(f.sim.Machines.RandomFrom(f.random))
	}
	f.sim.FaultCounts[faultQuickReturn]++
	f.sim.After(absence+f.between(0, maxCopyDelay), f.sim.StartCopies.DeliverAll)
}

// planDeepPipeline schedules a pipeline whose run times grow, with a deadline at its end. In
// half of the pipelines, a job is cancelled.
func (f *additionalFaults) planDeepPipeline(number int, teams []string, until cluster.Time) {
	at := f.between(0, until-60*second)
	var jobs []*simulation.Job
	var stepBefore []cluster.JobID
	steps := minPipelineSteps + f.random.IntN(maxPipelineSteps-minPipelineSteps+1)
	for step := range steps {
		var ids []cluster.JobID
		for range pipelineWidth {
			job := f.pipelineJob(number, len(jobs), teams, stepBefore)
			if step == steps-1 {
				job.Spec.DeadlineSeconds = 200
			}
			job.Spec.RuntimeSeconds *= 1 + float64(step)
			jobs = append(jobs, job)
			ids = append(ids, job.Spec.ID)
		}
		stepBefore = ids
	}
	for _, job := range jobs {
		f.sim.After(at, func() { f.sim.Users.SubmitAfterDependencies(job, false) })
	}
	if f.random.IntN(2) == 0 {
		f.planCancellation(jobs, at)
	}
}

// planCancellation schedules the cancellation of a job of the first half of a pipeline.
func (f *additionalFaults) planCancellation(jobs []*simulation.Job, at cluster.Time) {
	index := f.random.IntN(len(jobs) / 2)
	cancelled := jobs[index]
	cancelled.CancelPlanned = true
	f.sim.After(at+f.between(5*second, 60*second), func() {
		if f.sim.Jobs[cancelled.Spec.ID] != nil {
			f.sim.FaultCounts[faultDeepPipelineCancelled]++
			f.sim.Users.Cancel(cancelled)
		}
	})
}

func (f *additionalFaults) pipelineJob(pipeline, number int, teams []string, dependencies []cluster.JobID) *simulation.Job {
	run := f.between(second/2, 3*second/2)
	return newJob(cluster.JobSpec{
		ID:              cluster.JobID(fmt.Sprintf("j-3%02d%03d", pipeline, number)),
		Class:           "deep" + strconv.Itoa(pipeline),
		Team:            teams[f.random.IntN(len(teams))],
		Priority:        cluster.Priority(f.random.IntN(4)),
		Tasks:           1,
		ResourceRequest: cluster.Resources{CPU: cpu / 2, Memory: cpu},
		Dependencies:    dependencies,
		Image:           "img-0",
		ImageGB:         1,
		RuntimeSeconds:  float64(run) / float64(second),
		Spot:            true,
	}, run)
}
