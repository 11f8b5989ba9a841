package core

// ownerQueries gathers the questions about jobs whose parts other controllers
// hold, so that those of some milliseconds share one message.
//
// A controller with questions waiting has a message scheduled.
type ownerQueries struct {
	waiting   map[NodeID][]ownerQuery
	scheduled map[NodeID]bool
}

// ownerQuery is a question that waits for the answer of a job's owner.
type ownerQuery struct {
	id     JobID
	answer func(status ReplyStatus, v JobView)
}

func newOwnerQueries() ownerQueries {
	return ownerQueries{waiting: map[NodeID][]ownerQuery{}, scheduled: map[NodeID]bool{}}
}

// add queues a question to a controller; true: a message has yet to be scheduled.
func (s *ownerQueries) add(to NodeID, q ownerQuery) bool {
	s.waiting[to] = append(s.waiting[to], q)
	if s.scheduled[to] {
		return false
	}
	s.scheduled[to] = true
	return true
}

// maxQueries is how many jobs a message asks about.
const maxQueries = 1000

// take returns the questions for the message that is sent now; more: others
// wait for another, which has been scheduled.
func (s *ownerQueries) take(to NodeID) (batch []ownerQuery, more bool) {
	waiting := s.waiting[to]
	n := min(len(waiting), maxQueries)
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
	queryPause   = 50 * milli
	queryTimeout = 800 * milli
)

// askOwner asks another controller, which holds a job's part, for its state.
func (c *Core) askOwner(p *peer, id JobID, answer func(ReplyStatus, JobView)) {
	if c.ownerQueries.add(p.id, ownerQuery{id, answer}) {
		c.after(queryPause, func() { c.sendOwnerQueries(p) })
	}
}

func (c *Core) sendOwnerQueries(p *peer) {
	batch, more := c.ownerQueries.take(p.id)
	if more {
		c.after(queryPause, func() { c.sendOwnerQueries(p) })
	}
	ids := make([]JobID, len(batch))
	for i, q := range batch {
		ids[i] = q.id
	}
	c.ask(p.id, queryTimeout, PeerMsg{Ask: &Ask{IDs: ids}}, func(r PeerReply) {
		c.answerOwnerQueries(batch, r)
	})
}

// answerOwnerQueries passes the owner's answers on. What it could not vouch for
// is looked up in the store.
func (c *Core) answerOwnerQueries(batch []ownerQuery, r PeerReply) {
	views := map[JobID]JobView{}
	if r.Out == OK {
		for _, v := range r.Msg.Views {
			views[v.ID] = v
		}
	}
	for _, q := range batch {
		v, ok := views[q.id]
		if !ok {
			c.lookInStore(q.id, q.answer)
			continue
		}
		if k := c.jobs.known[q.id]; k != nil && v.Status.Final() {
			c.settle(q.id, k, v.Status)
		}
		q.answer(ReplyOK, v)
	}
}
