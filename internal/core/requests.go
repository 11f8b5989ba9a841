package core

import (
	"encoding/json"
	"slices"
)

// What users ask of accepted jobs: questions and cancellations.

func (c *Core) answerView(req ReqID, status ReplyStatus, v JobView) {
	c.emit(Respond{Req: req, Status: status, View: &v})
}

func finalView(id JobID, k *knownJob) JobView {
	v := JobView{ID: id, Status: k.final}
	if k.final == StDone {
		v.Done = k.tasks
	}
	return v
}

func viewOfRecord(kv KV, id JobID) (JobView, bool) {
	var rec jobRecord
	if json.Unmarshal(kv.Value, &rec) != nil {
		return JobView{}, false
	}
	v := JobView{ID: id, Status: StPending}
	if rec.State.Final() {
		v.Status = rec.State
		if rec.State == StDone {
			v.Done = rec.Tasks
		}
		return v, true
	}
	if rec.Spec == nil {
		return v, false
	}
	decodeDone(rec.Done, min(rec.Spec.Tasks, chunkTasks), func(int) { v.Done++ })
	if v.Done > 0 {
		v.Status = StRunning
	}
	return v, true
}

// retrySoon is how many seconds a user waits who is to come again at once.
const retrySoon = 1

func (c *Core) onQuery(e Query) {
	c.lookUp(e.ID, func(status ReplyStatus, v JobView) {
		if status == ReplyOK {
			c.answerView(e.Req, ReplyOK, v)
			return
		}
		after := 0
		if status == ReplyUnavailable {
			after = retrySoon
		}
		c.refuse(e.Req, status, after, "")
	})
}

// lookUp finds a job's state: a final one from memory, else from its owner,
// else from the store, which alone can say that there is no such job.
func (c *Core) lookUp(id JobID, fn func(ReplyStatus, JobView)) {
	k := c.jobs.known[id]
	if k != nil && k.final != "" {
		fn(ReplyOK, finalView(id, k))
		return
	}
	if j := c.jobs.held[id]; j != nil {
		c.confirm(c.parts[j.part], func(good bool) {
			if k := c.jobs.finished(id); k != nil {
				fn(ReplyOK, finalView(id, k))
			} else if j := c.jobs.held[id]; good && j != nil && !j.ending {
				c.unfinished(id, j.view(), fn)
			} else { // another may have read and told an end that is on its way here
				c.lookInStore(id, fn)
			}
		})
		return
	}
	if k != nil {
		if p := c.peers[c.parts[k.part].holder]; p != nil && !p.failed && !p.prone {
			c.askOwner(p, id, fn)
			return
		}
	}
	c.lookInStore(id, fn)
}

func (c *Core) lookInStore(id JobID, fn func(ReplyStatus, JobView)) {
	if c.storeLost(second) || c.writer.reqs.Level() < -c.writer.reqs.Capacity() {
		fn(ReplyUnavailable, JobView{})
		return
	}
	c.get(jobKey(id), func(r GetReply) {
		switch r.Out {
		case OK:
			c.learnJob(r.KV, nil)
			v, ok := viewOfRecord(r.KV, id)
			switch {
			case !ok:
				fn(ReplyUnavailable, JobView{})
			case v.Status.Final():
				fn(ReplyOK, v)
			default:
				c.unfinished(id, v, fn)
			}
		case Missing:
			c.catchUp(id, func(known, ok bool) {
				switch {
				case !ok:
					fn(ReplyUnavailable, JobView{})
				case known:
					c.unfinished(id, JobView{ID: id, Status: StPending}, fn)
				default:
					fn(ReplyNoSuchJob, JobView{})
				}
			})
		default:
			fn(ReplyUnavailable, JobView{})
		}
	})
}

// answerAsk answers what this node can vouch for and leaves out the rest.
func (c *Core) answerAsk(ids []JobID, fn func([]JobView)) {
	byPart := map[Part]bool{}
	for _, id := range ids {
		if j := c.jobs.held[id]; j != nil {
			byPart[j.part] = true
		}
	}
	left := 1
	good := map[Part]bool{}
	fresh := false
	finish := func() {
		if left--; left > 0 {
			return
		}
		var out []JobView
		for _, id := range ids {
			if k := c.jobs.finished(id); k != nil {
				out = append(out, finalView(id, k))
			} else if j := c.jobs.held[id]; j != nil && good[j.part] && !j.ending && (fresh || !c.jobs.unreleased(id)) {
				out = append(out, j.view())
			}
		}
		fn(out)
	}
	if slices.ContainsFunc(ids, func(id JobID) bool { return c.jobs.held[id] != nil && c.jobs.unreleased(id) }) {
		left++
		c.freshen(func(ok bool) {
			fresh = ok
			finish()
		})
	}
	for _, p := range c.parts {
		if byPart[p.id] {
			left++
			c.confirm(p, func(ok bool) {
				good[p.id] = ok
				finish()
			})
		}
	}
	finish()
}

func (c *Core) onCancel(req ReqID, id JobID, first bool) {
	answer := func(s Status) {
		if s == "" {
			c.refuse(req, ReplyUnavailable, retrySoon, "")
			return
		}
		v := JobView{ID: id, Status: s}
		c.answerView(req, ReplyOK, v)
	}
	k := c.jobs.known[id]
	switch {
	case k != nil && k.final != "":
		answer(k.final)
	case k != nil && c.parts[k.part].held:
		c.cancelHere(id, func(status ReplyStatus, v *JobView) {
			if v == nil {
				answer("")
				return
			}
			answer(v.Status)
		})
	case k != nil:
		p := c.peers[c.parts[k.part].holder]
		if p == nil || p.failed {
			answer("")
			return
		}
		c.ask(p.id, 3*second, PeerMsg{Cancel: id}, func(r PeerReply) {
			if r.Out == OK && len(r.Msg.Views) == 1 {
				if s := r.Msg.Views[0].Status; s.Final() {
					c.settle(id, k, s)
					answer(s)
					return
				}
			}
			answer("")
		})
	default:
		c.lookInStore(id, func(status ReplyStatus, v JobView) {
			switch {
			case status == ReplyOK && v.Status.Final():
				answer(v.Status)
			case status == ReplyOK && first:
				c.onCancel(req, id, false)
			case status == ReplyNoSuchJob:
				c.refuse(req, ReplyNoSuchJob, 0, "")
			default:
				answer("")
			}
		})
	}
}

// cancelHere cancels a job of a part held here; told only after it is stored.
func (c *Core) cancelHere(id JobID, fn func(ReplyStatus, *JobView)) {
	if k := c.jobs.finished(id); k != nil {
		fn(ReplyOK, &JobView{ID: id, Status: k.final})
		return
	}
	j := c.jobs.held[id]
	if j == nil || !c.parts[j.part].ready {
		fn(ReplyUnavailable, nil)
		return
	}
	over := false
	done := func(s Status) {
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
	c.after(2800*milli, func() { done("") })
	j.waiters = append(j.waiters, done)
	if !j.cancelling {
		// Its tasks are of no use from now on, and the store's answer may be lost
		// though others read, and tell, that it is cancelled.
		j.cancelling = true
		c.unplan(j)
		c.stopAll(j)
	}
	c.writeJob(j, prioAccept)
}
