package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// ownerQueries gathers the questions about jobs whose parts other controllers
// hold, so that those of some milliseconds share one message.
//
// A controller with questions waiting has a message scheduled.
type ownerQueries struct {
	waiting   map[cluster.NodeID][]ownerQuery
	scheduled map[cluster.NodeID]bool
}

// ownerQuery is a question that waits for the answer of a job's owner.
type ownerQuery struct {
	id     cluster.JobID
	answer func(status messages.ReplyStatus, v cluster.JobView)
}

func newOwnerQueries() ownerQueries {
	return ownerQueries{waiting: map[cluster.NodeID][]ownerQuery{}, scheduled: map[cluster.NodeID]bool{}}
}

// enqueue queues a question to a controller; true: a message has yet to be scheduled.
func (s *ownerQueries) enqueue(to cluster.NodeID, q ownerQuery) bool {
	s.waiting[to] = append(s.waiting[to], q)
	if s.scheduled[to] {
		return false
	}
	s.scheduled[to] = true
	return true
}

// maxQueriesPerMessage is how many jobs a message asks about.
const maxQueriesPerMessage = 1000

// takeBatch returns the questions for the message that is sent now; more: others
// wait for another, which has been scheduled.
func (s *ownerQueries) takeBatch(to cluster.NodeID) (batch []ownerQuery, more bool) {
	waiting := s.waiting[to]
	n := min(len(waiting), maxQueriesPerMessage)
	if n < len(waiting) {
		s.waiting[to] = waiting[n:]
		return waiting[:n], true
	}
	delete(s.waiting, to)
	s.scheduled[to] = false
	return waiting, false
}

// queryPause is how long questions to a controller are gathered, and
// queryTimeout how long its answer may take.
const (
	queryBatchDelay = 50 * millisecond
	queryTimeout    = 800 * millisecond
)

// queryOwner asks another controller, which holds a job's part, for its state.
func (c *Controller) queryOwner(owner cluster.NodeID, id cluster.JobID, answer func(messages.ReplyStatus, cluster.JobView)) {
	if c.ownerQueries.enqueue(owner, ownerQuery{id, answer}) {
		c.loop.After(queryBatchDelay, func() { c.sendOwnerQueries(owner) })
	}
}

func (c *Controller) sendOwnerQueries(owner cluster.NodeID) {
	batch, more := c.ownerQueries.takeBatch(owner)
	if more {
		c.loop.After(queryBatchDelay, func() { c.sendOwnerQueries(owner) })
	}
	ids := make([]cluster.JobID, len(batch))
	for i, q := range batch {
		ids[i] = q.id
	}
	c.members.Call(owner, queryTimeout, messages.PeerMessage{Query: &messages.JobQuery{IDs: ids}}, func(r messages.PeerReply) {
		c.answerOwnerQueries(batch, r)
	})
}

// answerOwnerQueries passes the owner's answers on. What it could not vouch for
// is looked up in the store.
func (c *Controller) answerOwnerQueries(batch []ownerQuery, r messages.PeerReply) {
	views := map[cluster.JobID]cluster.JobView{}
	if r.Outcome == messages.OK {
		for _, v := range r.Message.Views {
			views[v.ID] = v
		}
	}
	for _, q := range batch {
		v, ok := views[q.id]
		if !ok {
			c.lookUpJobInStore(q.id, q.answer)
			continue
		}
		if k := c.state.Jobs.Known[q.id]; k != nil && v.Status.IsFinal() {
			c.applyFinalStatus(q.id, k, v.Status)
		}
		q.answer(messages.ReplyOK, v)
	}
}
