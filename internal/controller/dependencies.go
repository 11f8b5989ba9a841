package controller

import (
	"encoding/json"
	"slices"

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
func (c *Controller) applyDependencies(id cluster.JobID, k *knownJob, spec *cluster.JobSpec) {
	if k.spec != nil {
		return
	}
	k.spec = spec
	k.inheritUrgency(spec.Priority, jobDeadline(spec))
	for _, d := range c.jobs.dependents[id] { // learned before it
		c.propagateUrgency(d)
	}
	if len(spec.Dependencies) == 0 {
		return
	}
	k.dependencies = spec.Dependencies
	for _, a := range k.dependencies {
		c.jobs.addDependent(a, id)
		// Its owner may have learned of the end before it knew that this one waits.
		if o := c.jobs.known[a]; o != nil && o.finalStatus != "" && c.shards[o.shard].owned && o.shard != k.shard {
			c.notifyOwner(k.shard, finalStatusRecord(a, o))
		}
	}
	c.propagateUrgency(id)
	for _, a := range k.dependencies {
		if o := c.jobs.known[a]; o != nil && o.finalStatus == cluster.JobCancelled {
			c.applyFinalStatus(id, k, cluster.JobCancelled)
			return
		}
	}
}

// jobDeadline is when a job's user wants it done, as time of day; 0: no deadline.
func jobDeadline(s *cluster.JobSpec) float64 {
	if s.DeadlineSeconds <= 0 {
		return 0
	}
	return float64(s.SubmittedAt) + s.DeadlineSeconds*1000
}

// stageDelayMillis is what passes between the end of a job and the start of one
// that awaits it, roughly, in milliseconds.
const stageDelayMillis = 2000

// propagateUrgency gives a job's priority and deadline, less its estimated run time, to
// those that it awaits, and on to those that they await.
func (c *Controller) propagateUrgency(id cluster.JobID) {
	k := c.jobs.known[id]
	if k == nil || k.spec == nil {
		return
	}
	by := 0.0
	if k.effectiveDeadline > 0 {
		by = k.effectiveDeadline - c.statsOfClass(k.spec.Class).runtimeRatio*k.spec.RuntimeSeconds*1000 - stageDelayMillis
	}
	for _, a := range k.dependencies {
		o := c.jobs.known[a]
		if o == nil || o.finalStatus != "" || !o.inheritUrgency(k.effectivePriority, by) {
			continue
		}
		if j := c.jobs.owned[a]; j != nil {
			j.effectivePriority = max(j.effectivePriority, o.effectivePriority)
			c.shards[j.shard].queueOrder = nil
		}
		c.propagateUrgency(a)
	}
}

// applyFinalStatus notes a job's stored end, or the one that follows from the stored end
// of a job that it needs, and what follows from it.
func (c *Controller) applyFinalStatus(id cluster.JobID, k *knownJob, end cluster.JobStatus) {
	if k.finalStatus != "" {
		return
	}
	k.finalStatus, k.finalSince, k.spec = end, c.jobs.observedAt(c.loop.Now()), nil
	j := c.jobs.owned[id]
	if j != nil && j.finalStatus == "" && end == cluster.JobCancelled && !j.cancelling && len(k.dependencies) > 0 {
		c.cancelWithDependency(j)
	}
	for _, d := range c.jobs.dependents[id] {
		o := c.jobs.known[d]
		if o == nil || o.finalStatus != "" {
			continue
		}
		if end == cluster.JobCancelled {
			c.applyFinalStatus(d, o, cluster.JobCancelled)
		} else if j := c.jobs.owned[d]; j != nil {
			c.updateReadiness(j)
		}
	}
}

// cancelWithDependency stores that a job is cancelled with one that it needs.
func (c *Controller) cancelWithDependency(j *job) {
	j.cancelling = true
	c.withdrawUnsentStarts(j)
	c.stopAllTasks(j)
	c.writeJob(j, writequeue.Outcome)
}

// updateReadiness lets a job's tasks start when nothing is left that it awaits.
func (c *Controller) updateReadiness(j *job) {
	k := c.jobs.known[j.spec.ID]
	waiting := k != nil && len(c.jobs.unmetDependencies(k)) > 0
	if waiting == j.blocked {
		return
	}
	j.blocked = waiting
	if waiting {
		return
	}
	j.readySince = c.loop.WallTime()
	c.loop.Log(messages.LogDebug, "job released", "job", string(j.spec.ID), "awaited", len(k.dependencies))
	c.shards[j.shard].queueOrder = nil
	c.schedulingTrigger.request()
	c.scheduleScaleOut()
}

// finalStatusRecord is a job's final state as another controller learns it.
func finalStatusRecord(id cluster.JobID, k *knownJob) messages.KV {
	rec := jobRecord{FinalStatus: k.finalStatus, Team: k.team, Tasks: k.tasks}
	if k.finalStatus == cluster.JobCancelled {
		rec.ResourceRequest = &k.resourceRequest
	}
	v, _ := json.Marshal(rec)
	return messages.KV{Key: jobKey(id), Value: v}
}

// notifyDependentOwners passes a job's stored end on to the owners of all that needs
// it; their watches are the safety net.
func (c *Controller) notifyDependentOwners(id cluster.JobID, k *knownJob) {
	told := map[cluster.ShardID]bool{}
	var visit func(cluster.JobID)
	visit = func(at cluster.JobID) {
		for _, d := range c.jobs.dependents[at] {
			o := c.jobs.known[d]
			if o == nil {
				continue
			}
			if p := c.shards[o.shard]; !p.owned && !told[o.shard] {
				told[o.shard] = true
				c.notifyOwner(o.shard, finalStatusRecord(id, k))
			}
			if k.finalStatus == cluster.JobCancelled {
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
	if k := c.jobs.finalJob(id); k != nil {
		fn(messages.ReplyOK, finalView(id, k))
		return
	}
	if !c.jobs.isBlocked(id) {
		fn(messages.ReplyOK, v)
		return
	}
	c.linearizableJobRead(func(ok bool) {
		if k := c.jobs.known[id]; k.finalStatus != "" {
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
		if c.jobs.known[id] != nil {
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
		k := c.jobs.known[id]
		if k != nil && k.finalStatus == cluster.JobCancelled {
			spec.Dependencies = []cluster.JobID{id}
			return
		}
		if (k == nil || k.finalStatus != cluster.JobDone) && !slices.Contains(open, id) {
			open = append(open, id)
		}
	}
	spec.Dependencies = open
}

// notifyDependencyOwners lets the owners of the jobs that a job awaits know of it, so that
// they tell its owner of their end.
func (c *Controller) notifyDependencyOwners(spec *cluster.JobSpec, kv messages.KV) {
	told := map[cluster.ShardID]bool{c.teams[spec.Team].shard: true}
	for _, id := range spec.Dependencies {
		if k := c.jobs.known[id]; k != nil && !told[k.shard] {
			told[k.shard] = true
			c.notifyOwner(k.shard, kv)
		}
	}
}
