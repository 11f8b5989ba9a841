package jobs

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// DependentStartDelayMillis is the approximate delay between the end of a job and the
// start of one that depends on it, in milliseconds.
const DependentStartDelayMillis = 2000

// urgencyPropagation passes the effective priorities and deadlines of jobs on to the jobs
// that they depend on.
//
// A pass at the end of a step serves all requests of the step, such as those of the records
// that were read to load a shard. It visits each job once and each dependency at most twice.
type urgencyPropagation struct {
	*shared

	requested []cluster.JobID
}

// request requests that the urgency of jobs is passed on.
func (u *urgencyPropagation) request(ids ...cluster.JobID) {
	u.requested = append(u.requested, ids...)
}

// run passes the urgency of the requested jobs on to their direct and indirect
// dependencies. A job whose urgency changes passes it on after all its dependents have, so
// that it does so only once.
func (u *urgencyPropagation) run() {
	requested := cluster.UniqueJobIDs(u.requested)
	u.requested = nil
	changed := map[cluster.JobID]bool{}
	for _, id := range requested {
		u.passOn(id, changed)
	}
	if len(changed) == 0 {
		return
	}
	dependenciesFirst := postorder(requested, u.unfinishedDependencies)
	for _, id := range slices.Backward(dependenciesFirst) {
		if changed[id] {
			u.passOn(id, changed)
		}
	}
}

// unfinishedDependencies returns the dependencies of an unfinished job whose record has
// been read.
func (u *urgencyPropagation) unfinishedDependencies(id cluster.JobID) []cluster.JobID {
	known := u.state.Jobs.Known[id]
	if known == nil || known.Spec == nil {
		return nil
	}
	return known.Dependencies
}

// passOn passes the urgency of a job on to its direct dependencies, and adds those whose
// urgency changes to changed.
func (u *urgencyPropagation) passOn(id cluster.JobID, changed map[cluster.JobID]bool) {
	dependencies := u.unfinishedDependencies(id)
	if len(dependencies) == 0 {
		return
	}
	known := u.state.Jobs.Known[id]
	deadline := u.dependencyDeadline(known)
	for _, dependencyID := range dependencies {
		dependency := u.state.Jobs.Known[dependencyID]
		if dependency == nil || dependency.FinalStatus != "" || !dependency.InheritUrgency(known.EffectivePriority, deadline) {
			continue
		}
		changed[dependencyID] = true
		if job := u.state.Jobs.Owned[dependencyID]; job != nil {
			job.EffectivePriority = max(job.EffectivePriority, dependency.EffectivePriority)
			u.state.Shards[job.ShardID].QueueOrder = nil
		}
	}
}

// dependencyDeadline returns the time by which the dependencies of a job have to be done
// so that the job meets its effective deadline, as a Unix time in milliseconds. It is 0 if
// the job has no deadline.
func (u *urgencyPropagation) dependencyDeadline(known *state.KnownJob) float64 {
	if known.EffectiveDeadline <= 0 {
		return 0
	}
	runMillis := u.Scheduler.RuntimeRatio(known.Spec.Class) * known.Spec.RuntimeSeconds * 1000
	return known.EffectiveDeadline - runMillis - DependentStartDelayMillis
}

// postorder returns the jobs that can be reached from the given ones, each after all of
// its successors unless these form a cycle. It visits each job and each of its successors
// once.
func postorder(roots []cluster.JobID, successors func(cluster.JobID) []cluster.JobID) []cluster.JobID {
	type frame struct {
		id   cluster.JobID
		left []cluster.JobID // successors that are not visited yet
	}
	var order []cluster.JobID
	visited := map[cluster.JobID]bool{}
	for _, root := range roots {
		if visited[root] {
			continue
		}
		visited[root] = true
		path := []frame{{id: root, left: successors(root)}}
		for len(path) > 0 {
			last := &path[len(path)-1]
			if len(last.left) == 0 {
				order = append(order, last.id)
				path = path[:len(path)-1]
				continue
			}
			next := last.left[0]
			last.left = last.left[1:]
			if !visited[next] {
				visited[next] = true
				path = append(path, frame{id: next, left: successors(next)})
			}
		}
	}
	return order
}
