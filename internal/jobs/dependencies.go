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
	urgency *urgencyPropagation
}

// add adds the dependencies of a job whose record is seen for the first time, and
// requests that the job's urgency is passed on to them. If a dependency is cancelled, the
// job is cancelled, too.
func (g *dependencyGraph) add(id cluster.JobID, known *state.KnownJob, spec *cluster.JobSpec) {
	if known.Spec != nil {
		return
	}
	known.Spec = spec
	known.InheritUrgency(spec.Priority, spec.Deadline())
	g.urgency.request(g.state.Jobs.Dependents[id]...) // dependents whose records were seen first
	if len(spec.Dependencies) == 0 {
		return
	}
	known.Dependencies = cluster.UniqueJobIDs(spec.Dependencies)
	for _, dependency := range known.Dependencies {
		g.state.Jobs.AddDependent(dependency, id)
		g.notifyOfEarlierEnd(dependency, known)
	}
	g.urgency.request(id)
	for _, dependency := range known.Dependencies {
		if other := g.state.Jobs.Known[dependency]; other != nil && other.FinalStatus == cluster.JobCancelled {
			g.applyFinalStatus(id, cluster.JobCancelled)
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

// applyFinalStatus sets the final status of a job, which is either stored or implied by
// the cancellation of a dependency, and updates the job's dependents. A cancellation
// reaches the indirect dependents as well. Jobs that already have a final status are
// skipped together with their dependents, so that each job and each dependency is visited
// once, whatever the number of paths between the jobs.
func (g *dependencyGraph) applyFinalStatus(id cluster.JobID, final cluster.JobStatus) {
	pending := []cluster.JobID{id} // the next job is the last element
	for len(pending) > 0 {
		id := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		known := g.state.Jobs.Known[id]
		if known == nil || known.FinalStatus != "" {
			continue
		}
		g.setFinalStatus(id, known, final)
		dependents := g.state.Jobs.Dependents[id]
		if final != cluster.JobCancelled {
			g.updateReadinessOf(dependents)
			continue
		}
		for _, dependent := range slices.Backward(dependents) {
			pending = append(pending, dependent)
		}
	}
}

// setFinalStatus sets the final status of a job. An owned job that is cancelled because of
// a dependency is stopped, and a write of its cancellation is enqueued.
func (g *dependencyGraph) setFinalStatus(id cluster.JobID, known *state.KnownJob, final cluster.JobStatus) {
	known.FinalStatus, known.FinalSince, known.Spec = final, g.state.Jobs.KnownSince(g.loop.Now()), nil
	if job := g.state.Jobs.Owned[id]; job != nil && job.IsActive() && final == cluster.JobCancelled && len(known.Dependencies) > 0 {
		g.cancel(job)
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

// updateReadinessOf updates whether the owned and unfinished ones of the given jobs are
// blocked.
func (g *dependencyGraph) updateReadinessOf(ids []cluster.JobID) {
	for _, id := range ids {
		known, job := g.state.Jobs.Known[id], g.state.Jobs.Owned[id]
		if known != nil && known.FinalStatus == "" && job != nil {
			g.updateReadiness(job)
		}
	}
}

// updateReadiness updates whether an owned job is blocked. When the last of its
// dependencies is done, it requests scheduling and scale-out.
func (g *dependencyGraph) updateReadiness(job *state.Job) {
	known := g.state.Jobs.Known[job.Spec.ID]
	blocked := known != nil && g.state.Jobs.HasUnmetDependency(known)
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
// dependents, and for a cancelled job also to the owners of its indirect dependents. It
// passes each job once for all cancellations together: the owners of the dependents of a
// job that was passed before were notified of the earlier cancellation. If a notice is
// lost, the owner's watch delivers the change.
func (g *dependencyGraph) notifyDependentOwners(id cluster.JobID, known *state.KnownJob) {
	notified := map[cluster.ShardID]bool{}
	cancelled := known.FinalStatus == cluster.JobCancelled
	known.CancellationAnnounced = cancelled
	pending := []cluster.JobID{id} // the next job is the last element
	for len(pending) > 0 {
		at := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for _, dependentID := range g.state.Jobs.Dependents[at] {
			dependent := g.state.Jobs.Known[dependentID]
			if dependent == nil {
				continue
			}
			if !g.state.Shards[dependent.ShardID].Owned && !notified[dependent.ShardID] {
				notified[dependent.ShardID] = true
				g.notices.send(dependent.ShardID, finalNotice(id, known))
			}
			if cancelled && !dependent.CancellationAnnounced {
				dependent.CancellationAnnounced = true
				pending = append(pending, dependentID)
			}
		}
	}
}

// pruneDependencies removes the dependencies that a record need not list: duplicates and
// jobs that are done. If one of the dependencies is cancelled, only that one is kept.
func pruneDependencies(jobs *state.JobRegistry, spec *cluster.JobSpec) {
	var unfinished []cluster.JobID
	for _, id := range cluster.UniqueJobIDs(spec.Dependencies) {
		known := jobs.FinalJob(id)
		if known != nil && known.FinalStatus == cluster.JobCancelled {
			spec.Dependencies = []cluster.JobID{id}
			return
		}
		if known == nil {
			unfinished = append(unfinished, id)
		}
	}
	spec.Dependencies = unfinished
}
