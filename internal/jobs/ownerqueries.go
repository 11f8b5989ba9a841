package jobs

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// ownerQueryDelay is how long the queries to a controller are collected.
	ownerQueryDelay = 50 * millisecond
	// ownerQueryTimeout is the timeout of a message with queries.
	ownerQueryTimeout = 800 * millisecond
	// maxQueriesPerMessage is the maximum number of jobs in a message.
	maxQueriesPerMessage = 1000
)

// ownerQueries collects the queries for jobs of shards that other controllers own, so
// that several share a message.
//
// While queries to a controller are waiting, a message to it is scheduled.
type ownerQueries struct {
	*shared

	queries   *Queries
	waiting   map[cluster.NodeID][]ownerQuery
	scheduled map[cluster.NodeID]bool
}

// ownerQuery is a query that waits for the reply of the owner of the job's shard.
type ownerQuery struct {
	id     cluster.JobID
	handle viewHandler
}

func newOwnerQueries(queries *Queries) *ownerQueries {
	return &ownerQueries{
		shared:    queries.shared,
		queries:   queries,
		waiting:   map[cluster.NodeID][]ownerQuery{},
		scheduled: map[cluster.NodeID]bool{},
	}
}

// add queues a query for a job's status to the owner of its shard.
func (o *ownerQueries) add(owner cluster.NodeID, id cluster.JobID, handle viewHandler) {
	o.waiting[owner] = append(o.waiting[owner], ownerQuery{id: id, handle: handle})
	if !o.scheduled[owner] {
		o.scheduled[owner] = true
		o.loop.After(ownerQueryDelay, func() { o.send(owner) })
	}
}

// takeBatch removes and returns the queries of the next message. more reports whether
// other queries are left.
func (o *ownerQueries) takeBatch(owner cluster.NodeID) (batch []ownerQuery, more bool) {
	waiting := o.waiting[owner]
	if len(waiting) > maxQueriesPerMessage {
		o.waiting[owner] = waiting[maxQueriesPerMessage:]
		return waiting[:maxQueriesPerMessage], true
	}
	delete(o.waiting, owner)
	o.scheduled[owner] = false
	return waiting, false
}

func (o *ownerQueries) send(owner cluster.NodeID) {
	batch, more := o.takeBatch(owner)
	if more {
		o.loop.After(ownerQueryDelay, func() { o.send(owner) })
	}
	ids := make([]cluster.JobID, len(batch))
	for i, query := range batch {
		ids[i] = query.id
	}
	message := messages.PeerMessage{Query: &messages.JobQuery{IDs: ids}}
	o.Members.Call(owner, ownerQueryTimeout, message, func(reply messages.PeerReply) { o.handleReply(batch, reply) })
}

// handleReply passes the job views in the owner's reply to the handlers. It also applies
// the final statuses in the reply. Jobs that the reply omits, or all jobs if the call
// failed, are looked up in the store.
func (o *ownerQueries) handleReply(batch []ownerQuery, reply messages.PeerReply) {
	views := map[cluster.JobID]cluster.JobView{}
	if reply.Outcome == messages.OK {
		for _, view := range reply.Message.Views {
			views[view.ID] = view
		}
	}
	for _, query := range batch {
		view, answered := views[query.id]
		if !answered {
			o.queries.lookUpInStore(query.id, query.handle)
			continue
		}
		if view.Status.IsFinal() {
			o.queries.records.dependencies.applyFinalStatus(query.id, view.Status)
		}
		query.handle(messages.StatusOK, view)
	}
}
