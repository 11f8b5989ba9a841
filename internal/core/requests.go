package core

import (
	"encoding/json"
	"slices"
)

// What users ask of accepted jobs: questions and cancellations.

func (c *Controller) respondView(req RequestID, status ReplyStatus, v JobView) {
	c.emit(Respond{Request: req, Status: status, View: &v})
}

func finalView(id JobID, k *knownJob) JobView {
	v := JobView{ID: id, Status: k.finalStatus}
	if k.finalStatus == JobDone {
		v.Done = k.tasks
	}
	return v
}

func viewFromRecord(kv KV, id JobID) (JobView, bool) {
	var rec jobRecord
	if json.Unmarshal(kv.Value, &rec) != nil {
		return JobView{}, false
	}
	v := JobView{ID: id, Status: JobPending}
	if rec.FinalStatus.IsFinal() {
		v.Status = rec.FinalStatus
		if rec.FinalStatus == JobDone {
			v.Done = rec.Tasks
		}
		return v, true
	}
	if rec.Spec == nil {
		return v, false
	}
	decodeCompleted(rec.CompletedIndexes, min(rec.Spec.Tasks, tasksPerChunk), func(int) { v.Done++ })
	if v.Done > 0 {
		v.Status = JobRunning
	}
	return v, true
}

// retrySoon is how many seconds a user waits who is to come again at once.
const shortRetryAfterSeconds = 1

func (c *Controller) handleQuery(e Query) {
	c.lookUpJob(e.ID, func(status ReplyStatus, v JobView) {
		if status == ReplyOK {
			c.respondView(e.Request, ReplyOK, v)
			return
		}
		after := 0
		if status == ReplyUnavailable {
			after = shortRetryAfterSeconds
		}
		c.respondError(e.Request, status, after, "")
	})
}

// lookUp finds a job's state: a final one from memory, else from its owner,
// else from the store, which alone can say that there is no such job.
func (c *Controller) lookUpJob(id JobID, fn func(ReplyStatus, JobView)) {
	k := c.jobs.known[id]
	if k != nil && k.finalStatus != "" {
		fn(ReplyOK, finalView(id, k))
		return
	}
	if j := c.jobs.owned[id]; j != nil {
		c.confirmOwnership(c.shards[j.shard], func(good bool) {
			if k := c.jobs.finalJob(id); k != nil {
				fn(ReplyOK, finalView(id, k))
			} else if j := c.jobs.owned[id]; good && j != nil && !j.endInFlight {
				c.answerUnfinished(id, j.view(), fn)
			} else { // another may have read and told an end that is on its way here
				c.lookUpJobInStore(id, fn)
			}
		})
		return
	}
	if k != nil {
		if p := c.peers[c.shards[k.shard].owner]; p != nil && !p.failed && !p.suspected {
			c.queryOwner(p, id, fn)
			return
		}
	}
	c.lookUpJobInStore(id, fn)
}

func (c *Controller) lookUpJobInStore(id JobID, fn func(ReplyStatus, JobView)) {
	if c.isStoreUnavailableFor(second) || c.writeQueue.requestBudget.Level() < -c.writeQueue.requestBudget.Capacity() {
		fn(ReplyUnavailable, JobView{})
		return
	}
	c.readKey(jobKey(id), func(r GetReply) {
		switch r.Outcome {
		case OK:
			c.applyJobRecord(r.KV, nil)
			v, ok := viewFromRecord(r.KV, id)
			switch {
			case !ok:
				fn(ReplyUnavailable, JobView{})
			case v.Status.IsFinal():
				fn(ReplyOK, v)
			default:
				c.answerUnfinished(id, v, fn)
			}
		case NotFound:
			c.lookUpAdmission(id, func(known, ok bool) {
				switch {
				case !ok:
					fn(ReplyUnavailable, JobView{})
				case known:
					c.answerUnfinished(id, JobView{ID: id, Status: JobPending}, fn)
				default:
					fn(ReplyJobNotFound, JobView{})
				}
			})
		default:
			fn(ReplyUnavailable, JobView{})
		}
	})
}

// answerAsk answers what this node can vouch for and leaves out the rest.
func (c *Controller) answerJobQuery(ids []JobID, fn func([]JobView)) {
	byPart := map[ShardID]bool{}
	for _, id := range ids {
		if j := c.jobs.owned[id]; j != nil {
			byPart[j.shard] = true
		}
	}
	left := 1
	good := map[ShardID]bool{}
	fresh := false
	finish := func() {
		if left--; left > 0 {
			return
		}
		var out []JobView
		for _, id := range ids {
			if k := c.jobs.finalJob(id); k != nil {
				out = append(out, finalView(id, k))
			} else if j := c.jobs.owned[id]; j != nil && good[j.shard] && !j.endInFlight && (fresh || !c.jobs.isBlocked(id)) {
				out = append(out, j.view())
			}
		}
		fn(out)
	}
	if slices.ContainsFunc(ids, func(id JobID) bool { return c.jobs.owned[id] != nil && c.jobs.isBlocked(id) }) {
		left++
		c.linearizableJobRead(func(ok bool) {
			fresh = ok
			finish()
		})
	}
	for _, p := range c.shards {
		if byPart[p.id] {
			left++
			c.confirmOwnership(p, func(ok bool) {
				good[p.id] = ok
				finish()
			})
		}
	}
	finish()
}

func (c *Controller) handleCancel(req RequestID, id JobID, first bool) {
	answer := func(s JobStatus) {
		if s == "" {
			c.respondError(req, ReplyUnavailable, shortRetryAfterSeconds, "")
			return
		}
		v := JobView{ID: id, Status: s}
		c.respondView(req, ReplyOK, v)
	}
	k := c.jobs.known[id]
	switch {
	case k != nil && k.finalStatus != "":
		answer(k.finalStatus)
	case k != nil && c.shards[k.shard].owned:
		c.cancelOwnedJob(id, func(status ReplyStatus, v *JobView) {
			if v == nil {
				answer("")
				return
			}
			answer(v.Status)
		})
	case k != nil:
		p := c.peers[c.shards[k.shard].owner]
		if p == nil || p.failed {
			answer("")
			return
		}
		c.callPeer(p.id, 3*second, PeerMessage{Cancel: id}, func(r PeerReply) {
			if r.Outcome == OK && len(r.Message.Views) == 1 {
				if s := r.Message.Views[0].Status; s.IsFinal() {
					c.applyFinalStatus(id, k, s)
					answer(s)
					return
				}
			}
			answer("")
		})
	default:
		c.lookUpJobInStore(id, func(status ReplyStatus, v JobView) {
			switch {
			case status == ReplyOK && v.Status.IsFinal():
				answer(v.Status)
			case status == ReplyOK && first:
				c.handleCancel(req, id, false)
			case status == ReplyJobNotFound:
				c.respondError(req, ReplyJobNotFound, 0, "")
			default:
				answer("")
			}
		})
	}
}

// cancelHere cancels a job of a part held here; told only after it is stored.
func (c *Controller) cancelOwnedJob(id JobID, fn func(ReplyStatus, *JobView)) {
	if k := c.jobs.finalJob(id); k != nil {
		fn(ReplyOK, &JobView{ID: id, Status: k.finalStatus})
		return
	}
	j := c.jobs.owned[id]
	if j == nil || !c.shards[j.shard].ready {
		fn(ReplyUnavailable, nil)
		return
	}
	over := false
	done := func(s JobStatus) {
		if over {
			return
		}
		over = true
		if s == "" {
			fn(ReplyUnavailable, nil)
			return
		}
		fn(ReplyOK, &JobView{ID: id, Status: s})
	}
	c.after(2800*millisecond, func() { done("") })
	j.waiters = append(j.waiters, done)
	if !j.cancelling {
		// Its tasks are of no use from now on, and the store's answer may be lost
		// though others read, and tell, that it is cancelled.
		j.cancelling = true
		c.withdrawUnsentStarts(j)
		c.stopAllTasks(j)
	}
	c.writeJob(j, priorityAdmit)
}
