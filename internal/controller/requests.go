package controller

import (
	"encoding/json"
	"slices"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// What users ask of accepted jobs: questions and cancellations.

func (c *Controller) respondView(req messages.RequestID, status messages.ReplyStatus, v cluster.JobView) {
	c.loop.Emit(messages.Respond{Request: req, Status: status, View: &v})
}

func finalView(id cluster.JobID, k *state.KnownJob) cluster.JobView {
	v := cluster.JobView{ID: id, Status: k.FinalStatus}
	if k.FinalStatus == cluster.JobDone {
		v.Done = k.Tasks
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
	state.DecodeCompleted(rec.CompletedIndexes, min(rec.Spec.Tasks, state.TasksPerChunk), func(int) { v.Done++ })
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
	k := c.state.Jobs.Known[id]
	if k != nil && k.FinalStatus != "" {
		fn(messages.ReplyOK, finalView(id, k))
		return
	}
	if j := c.state.Jobs.Owned[id]; j != nil {
		c.ownership.Confirm(c.state.Shards[j.ShardID], func(good bool) {
			if k := c.state.Jobs.FinalJob(id); k != nil {
				fn(messages.ReplyOK, finalView(id, k))
			} else if j := c.state.Jobs.Owned[id]; good && j != nil && !j.EndInFlight {
				c.answerUnfinished(id, j.View(), fn)
			} else { // another may have read and told an end that is on its way here
				c.lookUpJobInStore(id, fn)
			}
		})
		return
	}
	if k != nil {
		if p := c.members.Peer(c.state.Shards[k.ShardID].Owner); p != nil && !p.IsUnreachable() && !p.IsSuspected() {
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
	c.writeQueue.ReadKey(state.JobKey(id), func(r messages.GetReply) {
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
		if j := c.state.Jobs.Owned[id]; j != nil {
			byPart[j.ShardID] = true
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
			if k := c.state.Jobs.FinalJob(id); k != nil {
				out = append(out, finalView(id, k))
			} else if j := c.state.Jobs.Owned[id]; j != nil && good[j.ShardID] && !j.EndInFlight && (fresh || !c.state.Jobs.IsBlocked(id)) {
				out = append(out, j.View())
			}
		}
		fn(out)
	}
	if slices.ContainsFunc(ids, func(id cluster.JobID) bool { return c.state.Jobs.Owned[id] != nil && c.state.Jobs.IsBlocked(id) }) {
		left++
		c.linearizableJobRead(func(ok bool) {
			fresh = ok
			finish()
		})
	}
	for _, p := range c.state.Shards {
		if byPart[p.ID] {
			left++
			c.ownership.Confirm(p, func(ok bool) {
				good[p.ID] = ok
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
	k := c.state.Jobs.Known[id]
	switch {
	case k != nil && k.FinalStatus != "":
		answer(k.FinalStatus)
	case k != nil && c.state.Shards[k.ShardID].Owned:
		c.cancelOwnedJob(id, func(status messages.ReplyStatus, v *cluster.JobView) {
			if v == nil {
				answer("")
				return
			}
			answer(v.Status)
		})
	case k != nil:
		p := c.members.Peer(c.state.Shards[k.ShardID].Owner)
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
	if k := c.state.Jobs.FinalJob(id); k != nil {
		fn(messages.ReplyOK, &cluster.JobView{ID: id, Status: k.FinalStatus})
		return
	}
	j := c.state.Jobs.Owned[id]
	if j == nil || !c.state.Shards[j.ShardID].Ready {
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
	j.Waiters = append(j.Waiters, done)
	if !j.Cancelling {
		// Its tasks are of no use from now on, and the store's answer may be lost
		// though others read, and tell, that it is cancelled.
		j.Cancelling = true
		c.reconciler.Stops.WithdrawUnsent(j)
		c.reconciler.Stops.StopJob(j)
	}
	c.writeJob(j, writequeue.Admit)
}
