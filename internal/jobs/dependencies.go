package jobs

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// DependencyFeatureLevel is the lowest feature level of a release that supports
// dependencies. Pings of earlier releases carry no feature level.
const DependencyFeatureLevel = 1

// DependentStartDelayMillis is the approximate delay between the end of a job and the
// start of one that depends on it, in milliseconds.
const DependentStartDelayMillis = 2000

// dependencyGraph tracks the dependencies between jobs. A job's record lists the jobs
// that it depends on. Whether the job is ready, or cancelled because of a dependency, is
// derived from the records of these jobs.
//
// A job is ready when all its dependencies are stored as done. The stored cancellation of
// a job implies the cancellation of all its direct and indirect dependents, because they
// can no longer become ready. A controller may report and act on an implied cancellation
// before the dependent's own record shows it. A blocked job may therefore be reported as
// unfinished only after all changes stored before the request were read.
type dependencyGraph struct {
	*shared

	records *Records
	notices *noticeSender
}

// add adds the dependencies of a job whose record is seen for the first time, and
// propagates the job's urgency to them. If a dependency is cancelled, the job is
// cancelled, too.
func (g *dependencyGraph) add(id cluster.JobID, known *state.KnownJob, spec *cluster.JobSpec) {
	if known.Spec != nil {
		return
	}
	known.Spec = spec
	known.InheritUrgency(spec.Priority, spec.Deadline())
	for _, dependent := range g.state.Jobs.Dependents[id] { // dependents whose records were seen first
		g.propagateUrgency(dependent)
	}
	if len(spec.Dependencies) == 0 {
		return
	}
	known.Dependencies = spec.Dependencies
	for _, dependency := range known.Dependencies {
		g.state.Jobs.AddDependent(dependency, id)
		g.notifyOfEarlierEnd(dependency, known)
	}
	g.propagateUrgency(id)
	for _, dependency := range known.Dependencies {
		if other := g.state.Jobs.Known[dependency]; other != nil && other.FinalStatus == cluster.JobCancelled {
			g.applyFinalStatus(id, known, cluster.JobCancelled)
			return
		}
	}
}

// notifyOfEarlierEnd sends the final status of a finished job to the owner of a dependent
// if this controller owns the job's shard. The dependent was not known when the status was
// stored, so its owner was not notified then.
func (g *dependencyGraph) notifyOfEarlierEnd(id cluster.JobID, dependent *state.KnownJob) {
	known := g.state.Jobs.FinalJob(id)
	if known != nil && g.state.Shards[known.ShardID].Owned && known.ShardID != dependent.ShardID {
		g.notices.send(dependent.ShardID, finalNotice(id, known))
	}
}

// finalNotice returns the notice of a job's final status for other controllers.
func finalNotice(id cluster.JobID, known *state.KnownJob) messages.KV {
	return messages.KV{Key: state.JobKey(id), Value: finalRecord(known).encode()}
}

// propagateUrgency passes a job's effective priority and deadline on to its direct and
// indirect dependencies. The deadline is reduced by the job's expected run time and
// DependentStartDelayMillis.
func (g *dependencyGraph) propagateUrgency(id cluster.JobID) {
	known := g.state.Jobs.Known[id]
	if known == nil || known.Spec == nil {
		return
	}
	deadline := 0.0
	if known.EffectiveDeadline > 0 {
		runMillis := g.Scheduler.RuntimeRatio(known.Spec.Class) * known.Spec.RuntimeSeconds * 1000
		deadline = known.EffectiveDeadline - runMillis - DependentStartDelayMillis
	}
	for _, id := range known.Dependencies {
		dependency := g.state.Jobs.Known[id]
		if dependency == nil || dependency.FinalStatus != "" || !dependency.InheritUrgency(known.EffectivePriority, deadline) {
			continue
		}
		if job := g.state.Jobs.Owned[id]; job != nil {
			job.EffectivePriority = max(job.EffectivePriority, dependency.EffectivePriority)
			g.state.Shards[job.ShardID].QueueOrder = nil
		}
		g.propagateUrgency(id)
	}
}

// applyFinalStatus sets the final status of a job, which is either stored or implied by
// the cancellation of a dependency, and updates the job's dependents. It does nothing if
// the job already has a final status. An owned job that is cancelled because of a
// dependency is stopped, and a write of its cancellation is enqueued.
func (g *dependencyGraph) applyFinalStatus(id cluster.JobID, known *state.KnownJob, final cluster.JobStatus) {
	if known.FinalStatus != "" {
		return
	}
	known.FinalStatus, known.FinalSince, known.Spec = final, g.state.Jobs.KnownSince(g.loop.Now()), nil
	if job := g.state.Jobs.Owned[id]; job != nil && job.IsActive() && final == cluster.JobCancelled && len(known.Dependencies) > 0 {
		g.cancel(job)
	}
	for _, dependentID := range g.state.Jobs.Dependents[id] {
		dependent := g.state.Jobs.Known[dependentID]
		if dependent == nil || dependent.FinalStatus != "" {
			continue
		}
		if final == cluster.JobCancelled {
			g.applyFinalStatus(dependentID, dependent, cluster.JobCancelled)
		} else if job := g.state.Jobs.Owned[dependentID]; job != nil {
			g.updateReadiness(job)
		}
	}
}

// cancel stops the tasks of a job that is cancelled because of a dependency, and enqueues
// a write of the cancellation.
func (g *dependencyGraph) cancel(job *state.Job) {
	job.Cancelling = true
	g.Tasks.WithdrawUnsentStarts(job)
	g.Tasks.StopAll(job)
	g.records.WriteJob(job, writequeue.PriorityOutcome)
}

// updateReadiness updates whether an owned job is blocked. When the last of its
// dependencies is done, it requests scheduling and scale-out.
func (g *dependencyGraph) updateReadiness(job *state.Job) {
	known := g.state.Jobs.Known[job.Spec.ID]
	blocked := known != nil && len(g.state.Jobs.UnmetDependencies(known)) > 0
	if blocked == job.Blocked {
		return
	}
	job.Blocked = blocked
	if blocked {
		return
	}
	job.ReadySince = g.loop.WallTime()
	g.loop.Log(messages.LogDebug, "job ready", "job", string(job.Spec.ID), "dependencies", len(known.Dependencies))
	g.state.Shards[job.ShardID].QueueOrder = nil
	g.Scheduler.RequestScheduling()
	g.Scheduler.RequestScaleOut()
}

// notifyDependentOwners sends a job's stored final status to the owners of its
// dependents, and for a cancelled job also to the owners of its indirect dependents. If a
// notice is lost, the owner's watch delivers the change.
func (g *dependencyGraph) notifyDependentOwners(id cluster.JobID, known *state.KnownJob) {
	notified := map[cluster.ShardID]bool{}
	var visit func(cluster.JobID)
	visit = func(at cluster.JobID) {
		for _, dependentID := range g.state.Jobs.Dependents[at] {
			dependent := g.state.Jobs.Known[dependentID]
			if dependent == nil {
				continue
			}
			if !g.state.Shards[dependent.ShardID].Owned && !notified[dependent.ShardID] {
				notified[dependent.ShardID] = true
				g.notices.send(dependent.ShardID, finalNotice(id, known))
			}
			if known.FinalStatus == cluster.JobCancelled {
				visit(dependentID)
			}
		}
	}
	visit(id)
}

// pruneDependencies removes the dependencies that a record need not list: duplicates and
// jobs that are done. If one of the dependencies is cancelled, only that one is kept.
func pruneDependencies(jobs *state.JobRegistry, spec *cluster.JobSpec) {
	var unfinished []cluster.JobID
	for _, id := range spec.Dependencies {
		known := jobs.FinalJob(id)
		if known != nil && known.FinalStatus == cluster.JobCancelled {
			spec.Dependencies = []cluster.JobID{id}
			return
		}
		if known == nil && !slices.Contains(unfinished, id) {
			unfinished = append(unfinished, id)
		}
	}
	spec.Dependencies = unfinished
}
