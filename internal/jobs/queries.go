package jobs

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/exactjson"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// viewHandler is called with StatusOK and a job's status, or with another response status
// if the job's status is not known.
type viewHandler func(status messages.ResponseStatus, view cluster.JobView)

// Queries looks up the status of jobs for users and other controllers.
type Queries struct {
	*shared

	records          *Records
	admissionRecords *AdmissionRecords
	reads            *linearizableReads
	ownerQueries     *ownerQueries
}

func newQueries(common *shared, records *Records, admissionRecords *AdmissionRecords, reads *linearizableReads) *Queries {
	queries := &Queries{shared: common, records: records, admissionRecords: admissionRecords, reads: reads}
	queries.ownerQueries = newOwnerQueries(queries)
	return queries
}

// HandleQuery answers a user's query for a job's status.
func (q *Queries) HandleQuery(query messages.Query) {
	q.lookUp(query.ID, func(status messages.ResponseStatus, view cluster.JobView) {
		response := messages.Respond{Request: query.Request, Status: status}
		switch status { //nolint:exhaustive // other statuses need no further fields
		case messages.StatusOK:
			response.View = &view
		case messages.StatusUnavailable:
			response.RetryAfter = shortRetryAfterSeconds
		}
		q.loop.Emit(response)
	})
}

// lookUp looks up a job's status. A known final status is returned from memory, and the
// status of an unfinished job is obtained from the owner of the job's shard. If the job
// is unknown or the owner cannot be asked, the store is read, because only the store can
// show that a job does not exist.
func (q *Queries) lookUp(id cluster.JobID, handle viewHandler) {
	known := q.state.Jobs.Known[id]
	if known != nil && known.FinalStatus != "" {
		handle(messages.StatusOK, finalView(id, known))
		return
	}
	if job := q.state.Jobs.Owned[id]; job != nil {
		q.lookUpOwned(job, handle)
		return
	}
	if known != nil {
		owner := q.Members.Peer(q.state.Shards[known.ShardID].Owner)
		if owner != nil && !owner.IsUnreachable() && !owner.IsSuspected() {
			q.ownerQueries.add(owner.ID(), id, handle)
			return
		}
	}
	q.lookUpInStore(id, handle)
}

// lookUpOwned looks up the status of a job of an owned shard. It first confirms that the
// shard is still owned. If that fails, or if the final status is being stored, it reads
// the job's status from the store.
func (q *Queries) lookUpOwned(job *state.Job, handle viewHandler) {
	id := job.Spec.ID
	q.Ownership.ConfirmOwnership(q.state.Shards[job.ShardID], func(owned bool) {
		if known := q.state.Jobs.FinalJob(id); known != nil {
			handle(messages.StatusOK, finalView(id, known))
			return
		}
		job := q.state.Jobs.Owned[id]
		if !owned || job == nil || job.FinalWriteInFlight {
			// The final status may be stored already, and another controller may have
			// reported it.
			q.lookUpInStore(id, handle)
			return
		}
		q.answerUnfinished(id, job.View(), handle)
	})
}

// lookUpInStore looks up a job's status in the job's own record in the store, or in the
// admission records if the job has no record of its own. It also applies the records that
// it reads. It calls handle with StatusUnavailable if the store is unavailable, the
// request budget is overdrawn or a read fails.
func (q *Queries) lookUpInStore(id cluster.JobID, handle viewHandler) {
	if q.writeQueue.IsUnavailableFor(maxStoreOutage) || q.writeQueue.IsRequestBudgetOverdrawn() {
		handle(messages.StatusUnavailable, cluster.JobView{})
		return
	}
	q.writeQueue.ReadKey(state.JobKey(id), func(reply messages.GetReply) {
		switch reply.Outcome { //nolint:exhaustive // any other outcome is a failure
		case messages.OK:
			q.records.Apply(reply.KV, nil)
			q.answerFromRecord(id, reply.KV, handle)
		case messages.NotFound:
			q.lookUpAdmission(id, handle)
		default:
			handle(messages.StatusUnavailable, cluster.JobView{})
		}
	})
}

// answerFromRecord answers with the status in a job's own record.
func (q *Queries) answerFromRecord(id cluster.JobID, kv messages.KV, handle viewHandler) {
	var record Record
	if exactjson.Unmarshal(kv.Value, &record) != nil {
		handle(messages.StatusUnavailable, cluster.JobView{})
		return
	}
	view, ok := record.view(id)
	switch {
	case !ok:
		handle(messages.StatusUnavailable, cluster.JobView{})
	case view.Status.IsFinal():
		handle(messages.StatusOK, view)
	default:
		q.answerUnfinished(id, view, handle)
	}
}

// lookUpAdmission looks up whether a job without a record of its own was admitted. An
// admitted job is pending.
func (q *Queries) lookUpAdmission(id cluster.JobID, handle viewHandler) {
	q.admissionRecords.lookUp(id, func(admitted, ok bool) {
		switch {
		case !ok:
			handle(messages.StatusUnavailable, cluster.JobView{})
		case admitted:
			q.answerUnfinished(id, cluster.JobView{ID: id, Status: cluster.JobPending}, handle)
		default:
			handle(messages.StatusJobNotFound, cluster.JobView{})
		}
	})
}

// answerUnfinished answers with view, the status of an unfinished job, or with the final
// status if the job is known to have one. For a blocked job, it answers with view only
// after a linearizable read, because a dependency may have been cancelled and another
// controller may have reported the job as cancelled.
func (q *Queries) answerUnfinished(id cluster.JobID, view cluster.JobView, handle viewHandler) {
	if known := q.state.Jobs.FinalJob(id); known != nil {
		handle(messages.StatusOK, finalView(id, known))
		return
	}
	if !q.state.Jobs.IsBlocked(id) {
		handle(messages.StatusOK, view)
		return
	}
	q.reads.read(func(ok bool) {
		if known := q.state.Jobs.FinalJob(id); known != nil {
			handle(messages.StatusOK, finalView(id, known))
		} else if ok {
			handle(messages.StatusOK, view)
		} else {
			handle(messages.StatusUnavailable, cluster.JobView{})
		}
	})
}

// answerIdempotentRetry answers a submission whose job may already exist with the job's
// current status, or with StatusUnavailable if the status cannot be determined.
func (q *Queries) answerIdempotentRetry(id cluster.JobID, respond func(messages.Respond)) {
	q.lookUp(id, func(status messages.ResponseStatus, view cluster.JobView) {
		if status == messages.StatusOK {
			respond(messages.Respond{Status: messages.StatusOK, View: &view})
			return
		}
		respond(messages.Respond{Status: messages.StatusUnavailable, RetryAfter: shortRetryAfterSeconds})
	})
}

// HandlePeerQuery answers another controller's query with the status of the jobs that are
// known to be finished or for which this controller is authoritative, and omits the
// others. It also omits the jobs beyond maxQueriesPerMessage, which a controller of another
// release may exceed, because the response has a size limit.
func (q *Queries) HandlePeerQuery(ids []cluster.JobID, handle func([]cluster.JobView)) {
	ids = ids[:min(len(ids), maxQueriesPerMessage)]
	response := &peerQueryResponse{queries: q, ids: ids, handle: handle, confirmed: map[cluster.ShardID]bool{}, outstanding: 1}
	if slices.ContainsFunc(ids, response.isBlockedOwned) {
		response.outstanding++
		q.reads.read(func(ok bool) {
			response.linearizableReadOK = ok
			response.finishOne()
		})
	}
	shardsToConfirm := map[cluster.ShardID]bool{}
	for _, id := range ids {
		if job := q.state.Jobs.Owned[id]; job != nil {
			shardsToConfirm[job.ShardID] = true
		}
	}
	for _, shard := range q.state.Shards {
		if !shardsToConfirm[shard.ID] {
			continue
		}
		response.outstanding++
		q.Ownership.ConfirmOwnership(shard, func(owned bool) {
			response.confirmed[shard.ID] = owned
			response.finishOne()
		})
	}
	response.finishOne()
}

// peerQueryResponse is the response to another controller's query, which waits for ownership
// confirmations and, if there are blocked jobs, for a linearizable read.
type peerQueryResponse struct {
	queries *Queries
	ids     []cluster.JobID
	handle  func([]cluster.JobView)

	outstanding        int                      // confirmations and reads in progress, plus one while they are started
	confirmed          map[cluster.ShardID]bool // whether the shard is still owned
	linearizableReadOK bool                     // the read for the blocked jobs succeeded
}

func (r *peerQueryResponse) isBlockedOwned(id cluster.JobID) bool {
	jobs := &r.queries.state.Jobs
	return jobs.Owned[id] != nil && jobs.IsBlocked(id)
}

// finishOne records that a confirmation or read has finished. After the last one it calls
// handle with the views.
func (r *peerQueryResponse) finishOne() {
	r.outstanding--
	if r.outstanding > 0 {
		return
	}
	jobs := &r.queries.state.Jobs
	var views []cluster.JobView
	for _, id := range r.ids {
		if known := jobs.FinalJob(id); known != nil {
			views = append(views, finalView(id, known))
		} else if job := jobs.Owned[id]; job != nil && r.isAuthoritative(job) {
			views = append(views, job.View())
		}
	}
	r.handle(views)
}

// isAuthoritative reports whether the status of a job known here is current, so that
// no other controller can have reported a later one.
func (r *peerQueryResponse) isAuthoritative(job *state.Job) bool {
	return r.confirmed[job.ShardID] && !job.FinalWriteInFlight && (r.linearizableReadOK || !r.queries.state.Jobs.IsBlocked(job.Spec.ID))
}
