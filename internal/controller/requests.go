package controller

import (
	"encoding/json"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// What users ask of accepted jobs: questions and cancellations.

func (c *Controller) respondView(req messages.RequestID, status messages.ReplyStatus, v cluster.JobView) {
	c.loop.Emit(messages.Respond{Request: req, Status: status, View: &v})
}

func finalView(id cluster.JobID, k *knownJob) cluster.JobView {
	v := cluster.JobView{ID: id, Status: k.finalStatus}
	if k.finalStatus == cluster.JobDone {
		v.Done = k.tasks
	}
	return v
}

func viewFromRecord(kv messages.KV, id cluster.JobID) (cluster.JobView, bool) {
	var rec jobRecord
	if json.Unmarshal(kv.Value, &rec) != nil {
		return cluster.JobView{}, false
	}
	v := cluster.JobView{ID: id, Status: cluster.JobPending}
	if rec.FinalStatus.IsFinal() {
		v.Status = rec.FinalStatus
		if rec.FinalStatus == cluster.JobDone {
			v.Done = rec.Tasks
		}
		return v, true
	}
	if rec.Spec == nil {
		return v, false
	}
	decodeCompleted(rec.CompletedIndexes, min(rec.Spec.Tasks, tasksPerChunk), func(int) { v.Done++ })
	if v.Done > 0 {
		v.Status = cluster.JobRunning
	}
	return v, true
}

// shortRetryAfterSeconds is how many seconds a user waits who is to come again at once.
const shortRetryAfterSeconds = 1

func (c *Controller) handleQuery(e messages.Query) {
	c.lookUpJob(e.ID, func(status messages.ReplyStatus, v cluster.JobView) {
		if status == messages.ReplyOK {
			c.respondView(e.Request, messages.ReplyOK, v)
			return
		}
		after := 0
		if status == messages.ReplyUnavailable {
			after = shortRetryAfterSeconds
		}
		c.respondError(e.Request, status, after, "")
	})
}

// lookUpJob finds a job's state: a final one from memory, else from its owner,
// else from the store, which alone can say that there is no such job.
func (c *Controller) lookUpJob(id cluster.JobID, fn func(messages.ReplyStatus, cluster.JobView)) {
	k := c.jobs.known[id]
	if k != nil && k.finalStatus != "" {
		fn(messages.ReplyOK, finalView(id, k))
		return
	}
	if j := c.jobs.owned[id]; j != nil {
		c.confirmOwnership(c.shards[j.shard], func(good bool) {
			if k := c.jobs.finalJob(id); k != nil {
				fn(messages.ReplyOK, finalView(id, k))
			} else if j := c.jobs.owned[id]; good && j != nil && !j.endInFlight {
				c.answerUnfinished(id, j.view(), fn)
			} else { // another may have read and told an end that is on its way here
				c.lookUpJobInStore(id, fn)
			}
		})
		return
	}
	if k != nil {
		if p := c.members.Peer(c.shards[k.shard].owner); p != nil && !p.IsUnreachable() && !p.IsSuspected() {
			c.queryOwner(p.ID(), id, fn)
			return
		}
	}
	c.lookUpJobInStore(id, fn)
}

func (c *Controller) lookUpJobInStore(id cluster.JobID, fn func(messages.ReplyStatus, cluster.JobView)) {
	if c.writeQueue.IsUnavailableFor(second) || c.writeQueue.IsOverdrawn() {
		fn(messages.ReplyUnavailable, cluster.JobView{})
		return
	}
	c.writeQueue.ReadKey(jobKey(id), func(r messages.GetReply) {
		switch r.Outcome {
		case messages.OK:
			c.applyJobRecord(r.KV, nil)
			v, ok := viewFromRecord(r.KV, id)
			switch {
			case !ok:
				fn(messages.ReplyUnavailable, cluster.JobView{})
			case v.Status.IsFinal():
				fn(messages.ReplyOK, v)
			default:
				c.answerUnfinished(id, v, fn)
			}
		case messages.NotFound:
			c.lookUpAdmission(id, func(known, ok bool) {
				switch {
				case !ok:
					fn(messages.ReplyUnavailable, cluster.JobView{})
				case known:
					c.answerUnfinished(id, cluster.JobView{ID: id, Status: cluster.JobPending}, fn)
				default:
					fn(messages.ReplyJobNotFound, cluster.JobView{})
				}
			})
		default:
			fn(messages.ReplyUnavailable, cluster.JobView{})
		}
	})
}

// answerJobQuery answers what this node can vouch for and leaves out the rest.
func (c *Controller) answerJobQuery(ids []cluster.JobID, fn func([]cluster.JobView)) {
	byPart := map[cluster.ShardID]bool{}
	for _, id := range ids {
		if j := c.jobs.owned[id]; j != nil {
			byPart[j.shard] = true
		}
	}
	left := 1
	good := map[cluster.ShardID]bool{}
	fresh := false
	finish := func() {
		if left--; left > 0 {
			return
		}
		var out []cluster.JobView
		for _, id := range ids {
			if k := c.jobs.finalJob(id); k != nil {
				out = append(out, finalView(id, k))
			} else if j := c.jobs.owned[id]; j != nil && good[j.shard] && !j.endInFlight && (fresh || !c.jobs.isBlocked(id)) {
				out = append(out, j.view())
			}
		}
		fn(out)
	}
	if slices.ContainsFunc(ids, func(id cluster.JobID) bool { return c.jobs.owned[id] != nil && c.jobs.isBlocked(id) }) {
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

func (c *Controller) handleCancel(req messages.RequestID, id cluster.JobID, first bool) {
	answer := func(s cluster.JobStatus) {
		if s == "" {
			c.respondError(req, messages.ReplyUnavailable, shortRetryAfterSeconds, "")
			return
		}
		v := cluster.JobView{ID: id, Status: s}
		c.respondView(req, messages.ReplyOK, v)
	}
	k := c.jobs.known[id]
	switch {
	case k != nil && k.finalStatus != "":
		answer(k.finalStatus)
	case k != nil && c.shards[k.shard].owned:
		c.cancelOwnedJob(id, func(status messages.ReplyStatus, v *cluster.JobView) {
			if v == nil {
				answer("")
				return
			}
			answer(v.Status)
		})
	case k != nil:
		p := c.members.Peer(c.shards[k.shard].owner)
		if p == nil || p.IsUnreachable() {
			answer("")
			return
		}
		c.members.Call(p.ID(), 3*second, messages.PeerMessage{Cancel: id}, func(r messages.PeerReply) {
			if r.Outcome == messages.OK && len(r.Message.Views) == 1 {
				if s := r.Message.Views[0].Status; s.IsFinal() {
					c.applyFinalStatus(id, k, s)
					answer(s)
					return
				}
			}
			answer("")
		})
	default:
		c.lookUpJobInStore(id, func(status messages.ReplyStatus, v cluster.JobView) {
			switch {
			case status == messages.ReplyOK && v.Status.IsFinal():
				answer(v.Status)
			case status == messages.ReplyOK && first:
				c.handleCancel(req, id, false)
			case status == messages.ReplyJobNotFound:
				c.respondError(req, messages.ReplyJobNotFound, 0, "")
			default:
				answer("")
			}
		})
	}
}

// cancelOwnedJob cancels a job of a part held here; told only after it is stored.
func (c *Controller) cancelOwnedJob(id cluster.JobID, fn func(messages.ReplyStatus, *cluster.JobView)) {
	if k := c.jobs.finalJob(id); k != nil {
		fn(messages.ReplyOK, &cluster.JobView{ID: id, Status: k.finalStatus})
		return
	}
	j := c.jobs.owned[id]
	if j == nil || !c.shards[j.shard].ready {
		fn(messages.ReplyUnavailable, nil)
		return
	}
	over := false
	done := func(s cluster.JobStatus) {
		if over {
			return
		}
		over = true
		if s == "" {
			fn(messages.ReplyUnavailable, nil)
			return
		}
		fn(messages.ReplyOK, &cluster.JobView{ID: id, Status: s})
	}
	c.loop.After(2800*millisecond, func() { done("") })
	j.waiters = append(j.waiters, done)
	if !j.cancelling {
		// Its tasks are of no use from now on, and the store's answer may be lost
		// though others read, and tell, that it is cancelled.
		j.cancelling = true
		c.withdrawUnsentStarts(j)
		c.stopAllTasks(j)
	}
	c.writeJob(j, writequeue.Admit)
}
