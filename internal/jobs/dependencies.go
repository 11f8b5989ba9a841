package jobs

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// DependencyFeatureLevel is the feature level from which on a controller's release
// knows dependencies. The pings of earlier releases have none.
const DependencyFeatureLevel = 1

// StageDelayMillis is roughly what passes between the end of a job and the start of
// one that depends on it, in milliseconds.
const StageDelayMillis = 2000

// dependencyGraph follows the dependencies between jobs. What a job depends on is
// part of its record; everything else follows from the records of the jobs that it
// names, and is stored nowhere a second time.
//
// A job is ready once all that it depends on is stored as done. The stored
// cancellation of a job implies that of all its dependents, direct or not, as none
// of those can be done before it: every controller may tell and act on it from that
// fact alone, and the dependents' own records follow. So whoever calls a blocked
// job unfinished must first have read what was stored until then.
type dependencyGraph struct {
	*shared

	records *Records
	notices *notices
}

// add takes in what a job depends on, when its record is first seen.
func (g *dependencyGraph) add(id cluster.JobID, known *state.KnownJob, spec *cluster.JobSpec) {
	if known.Spec != nil {
		return
	}
	known.Spec = spec
	known.InheritUrgency(spec.Priority, spec.Deadline())
	for _, dependent := range g.state.Jobs.Dependents[id] { // whose records were seen before
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

// notifyOfEarlierEnd tells the owner of a dependent that a job of ours has ended: when
// that was stored, it was not known here that the other depends on it.
func (g *dependencyGraph) notifyOfEarlierEnd(id cluster.JobID, dependent *state.KnownJob) {
	known := g.state.Jobs.FinalJob(id)
	if known != nil && g.state.Shards[known.ShardID].Owned && known.ShardID != dependent.ShardID {
		g.notices.send(dependent.ShardID, finalNotice(id, known))
	}
}

// finalNotice tells another controller of a job's final status.
func finalNotice(id cluster.JobID, known *state.KnownJob) messages.KV {
	return messages.KV{Key: state.JobKey(id), Value: finalRecord(known).encode()}
}

// propagateUrgency gives a job's priority and deadline, less its estimated run time,
// to those that it depends on, and on to those that they depend on.
func (g *dependencyGraph) propagateUrgency(id cluster.JobID) {
	known := g.state.Jobs.Known[id]
	if known == nil || known.Spec == nil {
		return
	}
	deadline := 0.0
	if known.EffectiveDeadline > 0 {
		runMillis := g.Scheduler.RuntimeRatio(known.Spec.Class) * known.Spec.RuntimeSeconds * 1000
		deadline = known.EffectiveDeadline - runMillis - StageDelayMillis
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

// applyFinalStatus takes in a job's stored final status, or the one implied by that of
// a job that it depends on, and what follows from it for its dependents.
func (g *dependencyGraph) applyFinalStatus(id cluster.JobID, known *state.KnownJob, final cluster.JobStatus) {
	if known.FinalStatus != "" {
		return
	}
	known.FinalStatus, known.FinalSince, known.Spec = final, g.state.Jobs.ObservedAt(g.loop.Now()), nil
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

// cancel stops a job that is cancelled with one that it depends on, and stores that.
func (g *dependencyGraph) cancel(job *state.Job) {
	job.Cancelling = true
	g.Tasks.WithdrawUnsentStarts(job)
	g.Tasks.StopAll(job)
	g.records.WriteJob(job, writequeue.PriorityOutcome)
}

// updateReadiness lets a job's tasks start once all its dependencies are met.
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

// notifyDependentOwners passes a job's stored end on to the owners of all its
// dependents. Their watches are the safety net.
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

// pruneDependencies drops the dependencies that a record need not name: repeated
// ones, and jobs that are done. Of a list with a cancelled job that one is enough.
func pruneDependencies(jobs *state.JobRegistry, spec *cluster.JobSpec) {
	var open []cluster.JobID
	for _, id := range spec.Dependencies {
		known := jobs.FinalJob(id)
		if known != nil && known.FinalStatus == cluster.JobCancelled {
			spec.Dependencies = []cluster.JobID{id}
			return
		}
		if known == nil && !slices.Contains(open, id) {
			open = append(open, id)
		}
	}
	spec.Dependencies = open
}
