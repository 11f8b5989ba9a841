package core

import (
	"encoding/json"
	"slices"
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

// pipelineLevel is what a controller's calls say of its release: from this
// level on it knows what awaiting means. Absent in releases before.
const pipelineLevel = 1

// learnAwaits takes in what a job awaits, when its record is first seen.
func (c *Core) learnAwaits(id JobID, k *knownJob, spec *JobSpec) {
	if k.spec != nil {
		return
	}
	k.spec = spec
	k.inherit(spec.Priority, due(spec))
	for _, d := range c.jobs.dependents[id] { // learned before it
		c.propagateUrgency(d)
	}
	if len(spec.Awaits) == 0 {
		return
	}
	k.awaits = spec.Awaits
	for _, a := range k.awaits {
		c.jobs.addDependent(a, id)
		// Its owner may have learned of the end before it knew that this one waits.
		if o := c.jobs.known[a]; o != nil && o.final != "" && c.parts[o.part].held && o.part != k.part {
			c.tell(k.part, finalRecord(a, o))
		}
	}
	c.propagateUrgency(id)
	for _, a := range k.awaits {
		if o := c.jobs.known[a]; o != nil && o.final == StCancelled {
			c.settle(id, k, StCancelled)
			return
		}
	}
}

// due is when a job's user wants it done, as time of day; 0: no deadline.
func due(s *JobSpec) float64 {
	if s.DeadlineS <= 0 {
		return 0
	}
	return float64(s.Submitted) + s.DeadlineS*1000
}

// betweenStages is what passes between the end of a job and the start of one
// that awaits it, roughly, in milliseconds.
const betweenStages = 2000

// propagateUrgency gives a job's priority and deadline, less its estimated run time, to
// those that it awaits, and on to those that they await.
func (c *Core) propagateUrgency(id JobID) {
	k := c.jobs.known[id]
	if k == nil || k.spec == nil {
		return
	}
	by := 0.0
	if k.dueBy > 0 {
		by = k.dueBy - c.class(k.spec.Class).ratio*k.spec.RuntimeS*1000 - betweenStages
	}
	for _, a := range k.awaits {
		o := c.jobs.known[a]
		if o == nil || o.final != "" || !o.inherit(k.prio, by) {
			continue
		}
		if j := c.jobs.held[a]; j != nil {
			j.prio = max(j.prio, o.prio)
			c.parts[j.part].order = nil
		}
		c.propagateUrgency(a)
	}
}

// settle notes a job's stored end, or the one that follows from the stored end
// of a job that it needs, and what follows from it.
func (c *Core) settle(id JobID, k *knownJob, end Status) {
	if k.final != "" {
		return
	}
	k.final, k.finalAt, k.spec = end, c.jobs.learntAt(c.now), nil
	j := c.jobs.held[id]
	if j != nil && j.final == "" && end == StCancelled && !j.cancelling && len(k.awaits) > 0 {
		c.cancelImplied(j)
	}
	for _, d := range c.jobs.dependents[id] {
		o := c.jobs.known[d]
		if o == nil || o.final != "" {
			continue
		}
		if end == StCancelled {
			c.settle(d, o, StCancelled)
		} else if j := c.jobs.held[d]; j != nil {
			c.release(j)
		}
	}
}

// cancelImplied stores that a job is cancelled with one that it needs.
func (c *Core) cancelImplied(j *job) {
	j.cancelling = true
	c.unplan(j)
	c.stopAll(j)
	c.writeJob(j, prioDone)
}

// release lets a job's tasks start when nothing is left that it awaits.
func (c *Core) release(j *job) {
	k := c.jobs.known[j.spec.ID]
	waiting := k != nil && len(c.jobs.openAwaits(k)) > 0
	if waiting == j.waiting {
		return
	}
	j.waiting = waiting
	if waiting {
		return
	}
	j.since = c.wall
	c.logf(LogDebug, "job released", "job", string(j.spec.ID), "awaited", len(k.awaits))
	c.parts[j.part].order = nil
	c.placement.request()
	c.rentSoon()
}

// finalRecord is a job's final state as another controller learns it.
func finalRecord(id JobID, k *knownJob) KV {
	rec := jobRecord{State: k.final, Team: k.team, Tasks: k.tasks}
	if k.final == StCancelled {
		rec.Need = &k.need
	}
	v, _ := json.Marshal(rec)
	return KV{Key: jobKey(id), Value: v}
}

// tellDependents passes a job's stored end on to the owners of all that needs
// it; their watches are the safety net.
func (c *Core) tellDependents(id JobID, k *knownJob) {
	told := map[Part]bool{}
	var visit func(JobID)
	visit = func(at JobID) {
		for _, d := range c.jobs.dependents[at] {
			o := c.jobs.known[d]
			if o == nil {
				continue
			}
			if p := c.parts[o.part]; !p.held && !told[o.part] {
				told[o.part] = true
				c.tell(o.part, finalRecord(id, k))
			}
			if k.final == StCancelled {
				visit(d)
			}
		}
	}
	visit(id)
}

// unfinished answers with a job's unfinished state. That of an unreleased one
// is told only after what was stored until now has been read: a job that it
// needs may have been cancelled, and others may have told what follows.
func (c *Core) unfinished(id JobID, v JobView, fn func(ReplyStatus, JobView)) {
	if k := c.jobs.finished(id); k != nil {
		fn(ReplyOK, finalView(id, k))
		return
	}
	if !c.jobs.unreleased(id) {
		fn(ReplyOK, v)
		return
	}
	c.freshen(func(ok bool) {
		if k := c.jobs.known[id]; k.final != "" {
			fn(ReplyOK, finalView(id, k))
		} else if ok {
			fn(ReplyOK, v)
		} else {
			fn(ReplyUnavailable, JobView{})
		}
	})
}

// checkAwaits finds out whether all jobs that a submission names were accepted:
// 0, or the status that it gets instead. Only the store can show that one never
// was. While a controller may be of an earlier release, which would start the job
// at once, it can't be taken.
func (c *Core) checkAwaits(spec *JobSpec, fn func(ReplyStatus)) {
	if !c.everybodyUnderstandsAwaits() {
		fn(ReplyUnavailable)
		return
	}
	left, worst := 1, ReplyNone
	done := func(status ReplyStatus) {
		worst = max(worst, status)
		if left--; left == 0 {
			fn(worst)
		}
	}
	for _, id := range spec.Awaits {
		if c.jobs.known[id] != nil {
			continue
		}
		left++
		c.lookInStore(id, func(status ReplyStatus, _ JobView) {
			switch status {
			case ReplyOK:
				done(0)
			case ReplyNoSuchJob:
				done(ReplyNeverRuns)
			default:
				done(ReplyUnavailable)
			}
		})
	}
	done(0)
}

// shorten drops what needs no record: repeats, and jobs that are done. Of a list
// with a cancelled job that one is enough.
func (c *Core) shorten(spec *JobSpec) {
	var open []JobID
	for _, id := range spec.Awaits {
		k := c.jobs.known[id]
		if k != nil && k.final == StCancelled {
			spec.Awaits = []JobID{id}
			return
		}
		if (k == nil || k.final != StDone) && !slices.Contains(open, id) {
			open = append(open, id)
		}
	}
	spec.Awaits = open
}

// tellAwaited lets the owners of the jobs that a job awaits know of it, so that
// they tell its owner of their end.
func (c *Core) tellAwaited(spec *JobSpec, kv KV) {
	told := map[Part]bool{c.teams[spec.Team].part: true}
	for _, id := range spec.Awaits {
		if k := c.jobs.known[id]; k != nil && !told[k.part] {
			told[k.part] = true
			c.tell(k.part, kv)
		}
	}
}
