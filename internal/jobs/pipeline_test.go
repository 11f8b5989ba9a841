package jobs

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// walkTimeout is far above the time of a walk that visits each job and each dependency once,
// and far below that of one that follows each path through a pipeline.
const walkTimeout = 20 * time.Second

// pipeline is a pipeline in which each job depends on all jobs of the step before. The even
// jobs of a step belong to team red, whose shard the controller under test owns, and the odd
// ones to team green.
type pipeline struct{ steps, width int }

func (p pipeline) jobID(step, index int) cluster.JobID {
	return cluster.JobID(fmt.Sprintf("j-%03d%03d", step, index))
}

// pipelineDeadlineMillis is the deadline of the last step. It is after the sum of all run
// times.
const pipelineDeadlineMillis = 1e15

// maxDoublings limits the growth of the run times, so that sums of them are exact.
const maxDoublings = 40

// runMillis returns the expected run time of a job. It doubles from step to step, so that a
// longer run time in a later step outweighs the differences in all steps before.
func (pipeline) runMillis(step, index int) float64 {
	return math.Ldexp(float64(index+1), min(step, maxDoublings))
}

// spec returns the specification of a job. The last step has a deadline.
func (p pipeline) spec(step, index int) cluster.JobSpec {
	spec := cluster.JobSpec{
		ID:             p.jobID(step, index),
		Team:           [...]string{"red", "green"}[index%2],
		Tasks:          1,
		RuntimeSeconds: p.runMillis(step, index) / 1000,
	}
	if step == p.steps-1 {
		spec.DeadlineSeconds, spec.Priority = pipelineDeadlineMillis/1000, cluster.Urgent
	}
	for i := range p.width {
		if step > 0 {
			spec.Dependencies = append(spec.Dependencies, p.jobID(step-1, i))
		}
	}
	return spec
}

// specs returns the specifications of all jobs, those of the first step first.
func (p pipeline) specs() []cluster.JobSpec {
	var specs []cluster.JobSpec
	for step := range p.steps {
		for index := range p.width {
			specs = append(specs, p.spec(step, index))
		}
	}
	return specs
}

// applyPipeline applies the records of jobs in one step of the controller.
func (j *testJobs) applyPipeline(specs []cluster.JobSpec) {
	j.tb.Helper()
	for i := range specs {
		j.apply(specs[i].ID, Record{Spec: &specs[i]})
	}
	j.Records.PropagateUrgency()
}

// storeCancellations cancels a job and stores its cancellation and those that follow from
// it.
func (j *testJobs) storeCancellations(id cluster.JobID) {
	j.tb.Helper()
	j.Records.handleFinalStatusStored(j.state.Jobs.Owned[id], cluster.JobCancelled)
	for _, job := range slices.Clone(j.state.Shards[0].Jobs) {
		if job.Cancelling {
			j.Records.handleFinalStatusStored(job, cluster.JobCancelled)
		}
	}
}

// runWithTimeout fails the test if run takes longer than walkTimeout.
func runWithTimeout(t *testing.T, run func()) {
	t.Helper()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		run()
	}()
	select {
	case <-finished:
	case <-time.After(walkTimeout):
		t.Fatalf("not finished within %v", walkTimeout)
	}
}

// TestCancellationOfPipelineVisitsEachJobOnce guards against the fault of review/4: a walk
// along each of the 4^39 paths of a pipeline stopped one controller after the other.
func TestCancellationOfPipelineVisitsEachJobOnce(t *testing.T) {
	jobs, p := newTestJobs(t), pipeline{steps: 40, width: 4}
	var notified []string
	runWithTimeout(t, func() {
		jobs.applyPipeline(p.specs())
		jobs.storeCancellations(p.jobID(0, 0))
		notified = noticesTo("n1", jobs.runFor(noticeDelay))
	})
	for step := 1; step < p.steps; step++ {
		for index := range p.width {
			if known := jobs.state.Jobs.Known[p.jobID(step, index)]; known.FinalStatus != cluster.JobCancelled {
				t.Fatalf("job %d of step %d is not cancelled", index, step)
			}
		}
	}
	if !slices.Contains(notified, state.JobKey(p.jobID(0, 0))) {
		t.Errorf("the owner of the indirect dependents was sent %v, want the cancellation of the first job", notified)
	}
}

// TestSuccessorStoresCancellationsOfPipeline guards against the fault of review/4 at the next
// owner, which stores the cancellations that follow from the first.
func TestSuccessorStoresCancellationsOfPipeline(t *testing.T) {
	jobs, p := newTestJobs(t), pipeline{steps: 40, width: 4}
	runWithTimeout(t, func() {
		jobs.apply(p.jobID(0, 0), Record{FinalStatus: cluster.JobCancelled, Team: "red", Tasks: 1})
		specs := p.specs()[1:]
		slices.Reverse(specs)
		jobs.applyPipeline(specs)
		for _, job := range slices.Clone(jobs.state.Shards[0].Jobs) {
			if job.Cancelling {
				jobs.Records.handleFinalStatusStored(job, cluster.JobCancelled)
			}
		}
	})
	if unfinished := len(jobs.state.Shards[0].Jobs); unfinished != 1 {
		t.Errorf("%d jobs are left, want only the one of the first step that was not cancelled", unfinished)
	}
}

// TestDeadlineOfPipelineVisitsEachJobOnce guards against a controller that stops because run
// times that double from step to step let a deadline follow every path.
func TestDeadlineOfPipelineVisitsEachJobOnce(t *testing.T) {
	p := pipeline{steps: 40, width: 4}
	shuffled := p.specs()
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(shuffled), func(i, k int) { shuffled[i], shuffled[k] = shuffled[k], shuffled[i] })
	reversed := p.specs()
	slices.Reverse(reversed)
	want := pipelineDeadlineMillis
	for step := 1; step < p.steps; step++ {
		want -= p.runMillis(step, p.width-1) + DependentStartDelayMillis
	}
	for name, specs := range map[string][]cluster.JobSpec{"as submitted": p.specs(), "reversed": reversed, "shuffled": shuffled} {
		t.Run(name, func(t *testing.T) {
			jobs := newTestJobs(t)
			runWithTimeout(t, func() { jobs.applyPipeline(specs) })
			first := jobs.state.Jobs.Known[p.jobID(0, 0)]
			if math.Abs(first.EffectiveDeadline-want) > 1 || first.EffectivePriority != cluster.Urgent {
				t.Errorf("the first job has deadline %v and priority %d, want %v and %d", first.EffectiveDeadline, first.EffectivePriority, want, cluster.Urgent)
			}
		})
	}
}

// TestUrgencyPassedOnOncePerStep guards against a cost that grows with the square of a job's
// dependencies: their records arrive after its own, and each requests that it passes on.
func TestUrgencyPassedOnOncePerStep(t *testing.T) {
	const width = 50
	jobs, p := newTestJobs(t), pipeline{steps: 2, width: width}
	last := p.spec(1, 0)
	jobs.applyPipeline(append([]cluster.JobSpec{last}, p.specs()[:width]...))
	if requests := jobs.scheduler.ratioRequests; requests != 1 {
		t.Errorf("the deadline was passed on %d times, want once", requests)
	}
}

// TestUrgencyInCycle checks that a pass ends if records name each other as dependencies,
// which no admission creates.
func TestUrgencyInCycle(t *testing.T) {
	jobs := newTestJobs(t)
	const now = 1_700_000_000_000
	runWithTimeout(t, func() {
		jobs.applyPipeline([]cluster.JobSpec{
			{ID: "a", Team: "red", Tasks: 1, SubmittedAt: now, DeadlineSeconds: 100, Dependencies: []cluster.JobID{"b"}},
			{ID: "b", Team: "red", Tasks: 1, SubmittedAt: now, DeadlineSeconds: 100, Dependencies: []cluster.JobID{"a"}},
		})
	})
}

// TestDuplicateDependencies checks that a dependency that a record lists twice counts once.
func TestDuplicateDependencies(t *testing.T) {
	jobs := newTestJobs(t)
	jobs.applySpec("a", "red")
	jobs.applySpec("b", "red", "a", "a")
	if dependents := jobs.state.Jobs.Dependents["a"]; !slices.Equal(dependents, []cluster.JobID{"b"}) {
		t.Errorf("the dependents of a are %v, want b once", dependents)
	}
}

// pipelineSizes are the sizes of the benchmarks. The time for each dependency should be the
// same for all of them.
var pipelineSizes = []pipeline{{steps: 14, width: 8}, {steps: 50, width: 20}, {steps: 250, width: 20}, {steps: 999, width: 4}, {steps: 999, width: 20}}

// benchmarkPipelines runs a benchmark for each size. It reports the time for each dependency.
func benchmarkPipelines(b *testing.B, prepare func(jobs *testJobs, p pipeline), run func(jobs *testJobs, p pipeline)) {
	b.Helper()
	for _, p := range pipelineSizes {
		b.Run(fmt.Sprintf("%dx%d", p.steps, p.width), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				jobs := newTestJobs(b)
				prepare(jobs, p)
				b.StartTimer()
				run(jobs, p)
			}
			dependencies := float64((p.steps - 1) * p.width * p.width)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/dependencies, "ns/dependency")
		})
	}
}

// BenchmarkPipelineCancellation measures a cancellation in the first step and the writes of
// all cancellations that follow from it.
func BenchmarkPipelineCancellation(b *testing.B) {
	benchmarkPipelines(b,
		func(jobs *testJobs, p pipeline) { jobs.applyPipeline(p.specs()) },
		func(jobs *testJobs, p pipeline) { jobs.storeCancellations(p.jobID(0, 0)) },
	)
}

// BenchmarkPipelineTakeover measures the application of the records of a pipeline in any
// order, as after the acquisition of a shard.
func BenchmarkPipelineTakeover(b *testing.B) {
	var records []messages.KV
	benchmarkPipelines(b,
		func(_ *testJobs, p pipeline) {
			records = nil
			for _, spec := range p.specs() {
				record := Record{Spec: &spec}
				records = append(records, messages.KV{Key: state.JobKey(spec.ID), Value: record.encode(), ModRevision: 20})
			}
			rand.New(rand.NewPCG(1, 2)).Shuffle(len(records), func(i, k int) { records[i], records[k] = records[k], records[i] })
		},
		func(jobs *testJobs, _ pipeline) {
			for _, kv := range records {
				jobs.Records.Apply(kv, nil)
			}
			jobs.Records.PropagateUrgency()
		},
	)
}

// BenchmarkPipelineCompletion measures how the jobs of a pipeline become ready one after
// the other.
func BenchmarkPipelineCompletion(b *testing.B) {
	benchmarkPipelines(b,
		func(jobs *testJobs, p pipeline) { jobs.applyPipeline(p.specs()) },
		func(jobs *testJobs, p pipeline) {
			for _, spec := range p.specs() {
				jobs.Records.dependencies.applyFinalStatus(spec.ID, cluster.JobDone)
			}
		},
	)
}
