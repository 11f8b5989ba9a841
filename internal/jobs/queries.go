package jobs

import (
	"encoding/json"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// viewHandler gets a job's status with ReplyOK, or why it is not known.
type viewHandler func(status messages.ReplyStatus, view cluster.JobView)

// Queries finds out the status of jobs, for users and other controllers.
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

// HandleQuery answers a user's query.
func (q *Queries) HandleQuery(query messages.Query) {
	q.lookUp(query.ID, func(status messages.ReplyStatus, view cluster.JobView) {
		response := messages.Respond{Request: query.Request, Status: status}
		switch status { //nolint:exhaustive // any other status says all by itself
		case messages.ReplyOK:
			response.View = &view
		case messages.ReplyUnavailable:
			response.RetryAfter = shortRetryAfterSeconds
		}
		q.loop.Emit(response)
	})
}

// lookUp finds out a job's status: a final one from memory, else from its owner, else
// from the state service, which alone can say that there is no such job.
func (q *Queries) lookUp(id cluster.JobID, handle viewHandler) {
	known := q.state.Jobs.Known[id]
	if known != nil && known.FinalStatus != "" {
		handle(messages.ReplyOK, finalView(id, known))
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

// lookUpOwned finds out the status of a job of an owned shard.
func (q *Queries) lookUpOwned(job *state.Job, handle viewHandler) {
	id := job.Spec.ID
	q.Ownership.Confirm(q.state.Shards[job.ShardID], func(owned bool) {
		if known := q.state.Jobs.FinalJob(id); known != nil {
			handle(messages.ReplyOK, finalView(id, known))
			return
		}
		job := q.state.Jobs.Owned[id]
		if !owned || job == nil || job.EndInFlight {
			// Another may have read and told an end that is on its way here.
			q.lookUpInStore(id, handle)
			return
		}
		q.answerUnfinished(id, job.View(), handle)
	})
}

// lookUpInStore finds out a job's status from its own record, else from the admission
// records.
func (q *Queries) lookUpInStore(id cluster.JobID, handle viewHandler) {
	if q.writeQueue.IsUnavailableFor(storeTimeout) || q.writeQueue.IsRequestBudgetOverdrawn() {
		handle(messages.ReplyUnavailable, cluster.JobView{})
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
			handle(messages.ReplyUnavailable, cluster.JobView{})
		}
	})
}

// answerFromRecord answers with what a job's own record says.
func (q *Queries) answerFromRecord(id cluster.JobID, kv messages.KV, handle viewHandler) {
	var record Record
	if json.Unmarshal(kv.Value, &record) != nil {
		handle(messages.ReplyUnavailable, cluster.JobView{})
		return
	}
	view, ok := record.view(id)
	switch {
	case !ok:
		handle(messages.ReplyUnavailable, cluster.JobView{})
	case view.Status.IsFinal():
		handle(messages.ReplyOK, view)
	default:
		q.answerUnfinished(id, view, handle)
	}
}

// lookUpAdmission finds out whether a job without a record of its own was admitted.
func (q *Queries) lookUpAdmission(id cluster.JobID, handle viewHandler) {
	q.admissionRecords.lookUp(id, func(admitted, ok bool) {
		switch {
		case !ok:
			handle(messages.ReplyUnavailable, cluster.JobView{})
		case admitted:
			q.answerUnfinished(id, cluster.JobView{ID: id, Status: cluster.JobPending}, handle)
		default:
			handle(messages.ReplyJobNotFound, cluster.JobView{})
		}
	})
}

// answerUnfinished answers with a job's unfinished status. That of a blocked job is
// told only after all that was stored until now was read: a job that it depends on
// may have been cancelled, and others may have told what follows.
func (q *Queries) answerUnfinished(id cluster.JobID, view cluster.JobView, handle viewHandler) {
	if known := q.state.Jobs.FinalJob(id); known != nil {
		handle(messages.ReplyOK, finalView(id, known))
		return
	}
	if !q.state.Jobs.IsBlocked(id) {
		handle(messages.ReplyOK, view)
		return
	}
	q.reads.read(func(ok bool) {
		if known := q.state.Jobs.FinalJob(id); known != nil {
			handle(messages.ReplyOK, finalView(id, known))
		} else if ok {
			handle(messages.ReplyOK, view)
		} else {
			handle(messages.ReplyUnavailable, cluster.JobView{})
		}
	})
}

// answerIdempotentRetry answers a submission of a job that is known already.
func (q *Queries) answerIdempotentRetry(id cluster.JobID, answer func(messages.Respond)) {
	q.lookUp(id, func(status messages.ReplyStatus, view cluster.JobView) {
		if status == messages.ReplyOK {
			answer(messages.Respond{Status: messages.ReplyOK, View: &view})
			return
		}
		answer(messages.Respond{Status: messages.ReplyUnavailable, RetryAfter: shortRetryAfterSeconds})
	})
}

// AnswerPeer answers another controller's query with the jobs that this controller
// can vouch for, and leaves out the others.
func (q *Queries) AnswerPeer(ids []cluster.JobID, handle func([]cluster.JobView)) {
	answer := &peerAnswer{queries: q, ids: ids, handle: handle, confirmed: map[cluster.ShardID]bool{}, unanswered: 1}
	if slices.ContainsFunc(ids, answer.isBlockedOwned) {
		answer.unanswered++
		q.reads.read(func(ok bool) {
			answer.changesRead = ok
			answer.finish()
		})
	}
	asked := map[cluster.ShardID]bool{}
	for _, id := range ids {
		if job := q.state.Jobs.Owned[id]; job != nil {
			asked[job.ShardID] = true
		}
	}
	for _, shard := range q.state.Shards {
		if !asked[shard.ID] {
			continue
		}
		answer.unanswered++
		q.Ownership.Confirm(shard, func(owned bool) {
			answer.confirmed[shard.ID] = owned
			answer.finish()
		})
	}
	answer.finish()
}

// peerAnswer is the answer to another controller's query while the confirmations that
// it needs are outstanding.
type peerAnswer struct {
	queries *Queries
	ids     []cluster.JobID
	handle  func([]cluster.JobView)

	unanswered  int                      // confirmations, and one until all were asked for
	confirmed   map[cluster.ShardID]bool // shards that are still owned
	changesRead bool                     // for the blocked jobs
}

func (a *peerAnswer) isBlockedOwned(id cluster.JobID) bool {
	jobs := &a.queries.state.Jobs
	return jobs.Owned[id] != nil && jobs.IsBlocked(id)
}

// finish answers after the last confirmation.
func (a *peerAnswer) finish() {
	a.unanswered--
	if a.unanswered > 0 {
		return
	}
	jobs := &a.queries.state.Jobs
	var views []cluster.JobView
	for _, id := range a.ids {
		if known := jobs.FinalJob(id); known != nil {
			views = append(views, finalView(id, known))
		} else if job := jobs.Owned[id]; job != nil && a.canVouchFor(job) {
			views = append(views, job.View())
		}
	}
	a.handle(views)
}

// canVouchFor tells whether nobody can have been told another status of a job than
// the one known here.
func (a *peerAnswer) canVouchFor(job *state.Job) bool {
	return a.confirmed[job.ShardID] && !job.EndInFlight && (a.changesRead || !a.queries.state.Jobs.IsBlocked(job.Spec.ID))
}
