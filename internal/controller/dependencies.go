package controller

import (
	"encoding/json"
	"slices"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// Pipelines: jobs that await others. What a job awaits is part of its record;
// everything else follows from the records of the jobs that it names and is
// kept nowhere as a second truth.
//
// A job is released once all that it awaits is stored as done. The stored
// cancellation of a job implies that of everything that needs it, directly or
// through others, as none of those can be done before it: every controller may
// tell and act on it from that fact alone, and the dependents' own records
// follow. So whoever calls an unreleased job unfinished must first have read
// what was stored until then.

// dependencyFeatureLevel is what a controller's calls say of its release: from this
// level on it knows what awaiting means. Absent in releases before.
const dependencyFeatureLevel = 1

// applyDependencies takes in what a job awaits, when its record is first seen.
func (c *Controller) applyDependencies(id cluster.JobID, k *state.KnownJob, spec *cluster.JobSpec) {
	if k.Spec != nil {
		return
	}
	k.Spec = spec
	k.InheritUrgency(spec.Priority, spec.Deadline())
	for _, d := range c.state.Jobs.Dependents[id] { // learned before it
		c.propagateUrgency(d)
	}
	if len(spec.Dependencies) == 0 {
		return
	}
	k.Dependencies = spec.Dependencies
	for _, a := range k.Dependencies {
		c.state.Jobs.AddDependent(a, id)
		// Its owner may have learned of the end before it knew that this one waits.
		if o := c.state.Jobs.Known[a]; o != nil && o.FinalStatus != "" && c.state.Shards[o.ShardID].Owned && o.ShardID != k.ShardID {
			c.notifyOwner(k.ShardID, finalStatusRecord(a, o))
		}
	}
	c.propagateUrgency(id)
	for _, a := range k.Dependencies {
		if o := c.state.Jobs.Known[a]; o != nil && o.FinalStatus == cluster.JobCancelled {
			c.applyFinalStatus(id, k, cluster.JobCancelled)
			return
		}
	}
}

// stageDelayMillis is what passes between the end of a job and the start of one
// that awaits it, roughly, in milliseconds.
const stageDelayMillis = 2000

// propagateUrgency gives a job's priority and deadline, less its estimated run time, to
// those that it awaits, and on to those that they await.
func (c *Controller) propagateUrgency(id cluster.JobID) {
	k := c.state.Jobs.Known[id]
	if k == nil || k.Spec == nil {
		return
	}
	by := 0.0
	if k.EffectiveDeadline > 0 {
		by = k.EffectiveDeadline - c.scheduler.RunTimes.Ratio(k.Spec.Class)*k.Spec.RuntimeSeconds*1000 - stageDelayMillis
	}
	for _, a := range k.Dependencies {
		o := c.state.Jobs.Known[a]
		if o == nil || o.FinalStatus != "" || !o.InheritUrgency(k.EffectivePriority, by) {
			continue
		}
		if j := c.state.Jobs.Owned[a]; j != nil {
			j.EffectivePriority = max(j.EffectivePriority, o.EffectivePriority)
			c.state.Shards[j.ShardID].QueueOrder = nil
		}
		c.propagateUrgency(a)
	}
}

// applyFinalStatus notes a job's stored end, or the one that follows from the stored end
// of a job that it needs, and what follows from it.
func (c *Controller) applyFinalStatus(id cluster.JobID, k *state.KnownJob, end cluster.JobStatus) {
	if k.FinalStatus != "" {
		return
	}
	k.FinalStatus, k.FinalSince, k.Spec = end, c.state.Jobs.ObservedAt(c.loop.Now()), nil
	j := c.state.Jobs.Owned[id]
	if j != nil && j.FinalStatus == "" && end == cluster.JobCancelled && !j.Cancelling && len(k.Dependencies) > 0 {
		c.cancelWithDependency(j)
	}
	for _, d := range c.state.Jobs.Dependents[id] {
		o := c.state.Jobs.Known[d]
		if o == nil || o.FinalStatus != "" {
			continue
		}
		if end == cluster.JobCancelled {
			c.applyFinalStatus(d, o, cluster.JobCancelled)
		} else if j := c.state.Jobs.Owned[d]; j != nil {
			c.updateReadiness(j)
		}
	}
}

// cancelWithDependency stores that a job is cancelled with one that it needs.
func (c *Controller) cancelWithDependency(j *state.Job) {
	j.Cancelling = true
	c.reconciler.Stops.WithdrawUnsent(j)
	c.reconciler.Stops.StopJob(j)
	c.writeJob(j, writequeue.Outcome)
}

// updateReadiness lets a job's tasks start when nothing is left that it awaits.
func (c *Controller) updateReadiness(j *state.Job) {
	k := c.state.Jobs.Known[j.Spec.ID]
	waiting := k != nil && len(c.state.Jobs.UnmetDependencies(k)) > 0
	if waiting == j.Blocked {
		return
	}
	j.Blocked = waiting
	if waiting {
		return
	}
	j.ReadySince = c.loop.WallTime()
	c.loop.Log(messages.LogDebug, "job released", "job", string(j.Spec.ID), "awaited", len(k.Dependencies))
	c.state.Shards[j.ShardID].QueueOrder = nil
	c.scheduler.Trigger.Request()
	c.scheduleScaleOut()
}

// finalStatusRecord is a job's final state as another controller learns it.
func finalStatusRecord(id cluster.JobID, k *state.KnownJob) messages.KV {
	rec := jobRecord{FinalStatus: k.FinalStatus, Team: k.Team, Tasks: k.Tasks}
	if k.FinalStatus == cluster.JobCancelled {
		rec.ResourceRequest = &k.ResourceRequest
	}
	v, _ := json.Marshal(rec)
	return messages.KV{Key: state.JobKey(id), Value: v}
}

// notifyDependentOwners passes a job's stored end on to the owners of all that needs
// it; their watches are the safety net.
func (c *Controller) notifyDependentOwners(id cluster.JobID, k *state.KnownJob) {
	told := map[cluster.ShardID]bool{}
	var visit func(cluster.JobID)
	visit = func(at cluster.JobID) {
		for _, d := range c.state.Jobs.Dependents[at] {
			o := c.state.Jobs.Known[d]
			if o == nil {
				continue
			}
			if p := c.state.Shards[o.ShardID]; !p.Owned && !told[o.ShardID] {
				told[o.ShardID] = true
				c.notifyOwner(o.ShardID, finalStatusRecord(id, k))
			}
			if k.FinalStatus == cluster.JobCancelled {
				visit(d)
			}
		}
	}
	visit(id)
}

// answerUnfinished answers with a job's unfinished state. That of an unreleased one
// is told only after what was stored until now has been read: a job that it
// needs may have been cancelled, and others may have told what follows.
func (c *Controller) answerUnfinished(id cluster.JobID, v cluster.JobView, fn func(messages.ReplyStatus, cluster.JobView)) {
	if k := c.state.Jobs.FinalJob(id); k != nil {
		fn(messages.ReplyOK, finalView(id, k))
		return
	}
	if !c.state.Jobs.IsBlocked(id) {
		fn(messages.ReplyOK, v)
		return
	}
	c.linearizableJobRead(func(ok bool) {
		if k := c.state.Jobs.Known[id]; k.FinalStatus != "" {
			fn(messages.ReplyOK, finalView(id, k))
		} else if ok {
			fn(messages.ReplyOK, v)
		} else {
			fn(messages.ReplyUnavailable, cluster.JobView{})
		}
	})
}

// checkDependencies finds out whether all jobs that a submission names were accepted:
// 0, or the status that it gets instead. Only the store can show that one never
// was. While a controller may be of an earlier release, which would start the job
// at once, it can't be taken.
func (c *Controller) checkDependencies(spec *cluster.JobSpec, fn func(messages.ReplyStatus)) {
	if !c.members.AllUpgraded() {
		fn(messages.ReplyUnavailable)
		return
	}
	left, worst := 1, messages.ReplyNone
	done := func(status messages.ReplyStatus) {
		worst = max(worst, status)
		if left--; left == 0 {
			fn(worst)
		}
	}
	for _, id := range spec.Dependencies {
		if c.state.Jobs.Known[id] != nil {
			continue
		}
		left++
		c.lookUpJobInStore(id, func(status messages.ReplyStatus, _ cluster.JobView) {
			switch status {
			case messages.ReplyOK:
				done(0)
			case messages.ReplyJobNotFound:
				done(messages.ReplyUnschedulable)
			default:
				done(messages.ReplyUnavailable)
			}
		})
	}
	done(0)
}

// pruneDependencies drops what needs no record: repeats, and jobs that are done. Of a list
// with a cancelled job that one is enough.
func (c *Controller) pruneDependencies(spec *cluster.JobSpec) {
	var open []cluster.JobID
	for _, id := range spec.Dependencies {
		k := c.state.Jobs.Known[id]
		if k != nil && k.FinalStatus == cluster.JobCancelled {
			spec.Dependencies = []cluster.JobID{id}
			return
		}
		if (k == nil || k.FinalStatus != cluster.JobDone) && !slices.Contains(open, id) {
			open = append(open, id)
		}
	}
	spec.Dependencies = open
}

// notifyDependencyOwners lets the owners of the jobs that a job awaits know of it, so that
// they tell its owner of their end.
func (c *Controller) notifyDependencyOwners(spec *cluster.JobSpec, kv messages.KV) {
	told := map[cluster.ShardID]bool{c.state.Teams[spec.Team].ShardID: true}
	for _, id := range spec.Dependencies {
		if k := c.state.Jobs.Known[id]; k != nil && !told[k.ShardID] {
			told[k.ShardID] = true
			c.notifyOwner(k.ShardID, kv)
		}
	}
}
