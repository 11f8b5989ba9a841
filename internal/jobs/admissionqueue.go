package jobs

import (
	"encoding/json"
	"slices"
	"strconv"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

const (
	// admissionTimeout is how long a submission may wait for its record.
	admissionTimeout = 3500 * millisecond
	// proxyDelay is after which time another controller is asked to store a
	// submission, if the state service has not answered this one until then.
	proxyDelay = writequeue.SlowThreshold + 50*millisecond
	// duplicateCheckDelay is how long submissions are gathered whose earlier
	// admission by another controller is looked for with one read.
	duplicateCheckDelay = 5 * millisecond
	// admittedJobOverhead is what a job takes of a record besides its id and
	// specification, in bytes.
	admittedJobOverhead = 20
)

// admissionQueue stores submissions. A submission is accepted by a record in the
// state service; those that come in together share one: a record each would cost a
// put each, and when many come at once their users would wait for the write rate.
//
// A submission that has no answer yet is in waiting or belongs to one write. While
// any is waiting, at least one write is queued that will take it.
type admissionQueue struct {
	*shared

	records          *Records
	admissionRecords *AdmissionRecords
	queries          *Queries
	proxy            *submissionProxy
	notices          *notices

	waiting      []*pendingAdmission // not taken into a write yet
	unchecked    []*pendingAdmission // to be looked for in other controllers' records
	queuedWrites int                 // that have not taken their submissions yet
	keysIssued   int                 // record names given so far
}

// pendingAdmission is a submission that waits for its record.
type pendingAdmission struct {
	spec     cluster.JobSpec
	respond  func(messages.Respond)
	deadline cluster.Time // too late after that
	answered bool

	duplicateChecked     bool                     // whether another controller admitted the job
	duplicateCheckFailed bool                     // that could not be read
	idempotentRetries    []func(messages.Respond) // the same id once more, in the same record
	answerStored         func()                   // answers, once it is stored
}

// answerIfReady answers when the job is stored and was looked for.
func (a *pendingAdmission) answerIfReady() {
	if a.duplicateChecked && a.answerStored != nil {
		a.answerStored()
	}
}

// answer answers the user, once.
func (a *pendingAdmission) answer(response messages.Respond) {
	if a.answered {
		return
	}
	a.answered = true
	a.respond(response)
	for _, respond := range a.idempotentRetries {
		respond(response)
	}
}

// add has a job stored and answers its submission then, or says that it took too long.
func (q *admissionQueue) add(spec cluster.JobSpec, answer func(messages.Respond)) {
	admission := &pendingAdmission{spec: spec, respond: answer, deadline: q.loop.Now() + admissionTimeout}
	q.loop.After(admissionTimeout, func() {
		admission.answer(messages.Respond{Status: messages.ReplyUnavailable, RetryAfter: shortRetryAfterSeconds, Error: "not stored in time"})
	})
	q.loop.After(proxyDelay, func() {
		if !admission.answered && q.writeQueue.Health.IsUnresponsive(q.loop.Now()) {
			q.proxy.pass(admission.spec, admission.answer)
		}
	})
	q.waiting = append(q.waiting, admission)
	if q.queuedWrites < len(q.waiting) {
		q.enqueueWrite()
	}
	q.checkDuplicate(admission)
}

// checkDuplicate finds out whether another controller has admitted the job in a record
// of several, while its record here is being written: then this is a retry, and is
// answered as one. A read begun now shows all that its user can have been told. One
// serves the submissions of some milliseconds.
func (q *admissionQueue) checkDuplicate(admission *pendingAdmission) {
	q.unchecked = append(q.unchecked, admission)
	if len(q.unchecked) > 1 {
		return
	}
	q.loop.After(duplicateCheckDelay, func() {
		batch := q.unchecked
		q.unchecked = nil
		q.admissionRecords.readChanges(func(ok bool) {
			for _, admission := range batch {
				admission.duplicateChecked, admission.duplicateCheckFailed = true, !ok
				admission.answerIfReady()
			}
		})
	})
}

// takeBatch takes the submissions that still wait for an answer, as many as go into
// one record.
func (q *admissionQueue) takeBatch() []*pendingAdmission {
	var batch []*pendingAdmission
	size := 0
	for len(q.waiting) > 0 {
		admission := q.waiting[0]
		if !admission.answered && q.loop.Now() <= admission.deadline && !q.joinIdempotentRetry(admission, batch) {
			size += q.sizeInRecord(&admission.spec)
			if len(batch) > 0 && size > q.maxSpecBytes() || len(batch) == q.config.MaxTxnOps {
				break
			}
			batch = append(batch, admission)
		}
		q.waiting = q.waiting[1:]
	}
	return batch
}

// sizeInRecord is how many bytes of an admission record a job takes.
func (q *admissionQueue) sizeInRecord(spec *cluster.JobSpec) int {
	value, _ := json.Marshal(spec) // a struct of plain fields can always be marshaled
	return len(value) + len(spec.ID) + admittedJobOverhead
}

// maxSpecBytes is how much of a record jobs' specifications may take: outcomes need
// room beside them.
func (s *shared) maxSpecBytes() int { return s.config.MaxValueBytes * 4 / 5 }

// joinIdempotentRetry answers a submission whose job is known meanwhile, or has it
// answered with the same id's submission of a batch; false: it is neither.
func (q *admissionQueue) joinIdempotentRetry(admission *pendingAdmission, batch []*pendingAdmission) bool {
	id := admission.spec.ID
	if q.state.Jobs.Known[id] != nil { // the same id came in twice at once
		q.queries.answerIdempotentRetry(id, admission.answer)
		return true
	}
	i := slices.IndexFunc(batch, func(other *pendingAdmission) bool { return other.spec.ID == id })
	if i < 0 {
		return false
	}
	batch[i].idempotentRetries = append(batch[i].idempotentRetries, func(response messages.Respond) {
		if response.View != nil {
			q.queries.answerIdempotentRetry(id, admission.answer)
		} else {
			admission.answer(response)
		}
	})
	return true
}

// putsNeeded is how many puts the waiting submissions need when each takes as many
// as a transaction may have.
func (q *admissionQueue) putsNeeded() float64 {
	return float64(len(q.waiting)) / float64(q.config.MaxTxnOps)
}

// nextKey names the next record. The name is used once, as no other process has the
// same instance id.
func (q *admissionQueue) nextKey() string {
	q.keysIssued++
	return AdmissionKeyPrefix + q.config.InstanceID + "-" + strconv.Itoa(q.keysIssued)
}

// enqueueWrite queues a write of the next waiting submissions.
func (q *admissionQueue) enqueueWrite() {
	q.queuedWrites++
	key := q.nextKey()
	write := &admissionWrite{queue: q, batchKey: key}
	write.write = &writequeue.Write{
		ShardID:          cluster.NoShard,
		Keys:             []string{key},
		MaxExtraCompares: q.config.MaxTxnOps,
		Build:            write.build,
		OnApplied:        write.handleStored,
		OnConflict:       write.handleConflict,
	}
	q.writeQueue.Enqueue(writequeue.PriorityAdmission, write.write)
}

// answerAdmitted answers a submission that was stored with a revision: as new, unless
// an earlier record admitted it or that could not be read.
func (q *admissionQueue) answerAdmitted(admission *pendingAdmission, revision cluster.ModRevision) {
	id := admission.spec.ID
	if admission.duplicateCheckFailed || q.admissionRecords.wasAdmittedBefore(id, revision) {
		q.queries.answerIdempotentRetry(id, admission.answer)
		return
	}
	view := cluster.JobView{ID: id, Status: cluster.JobPending}
	if known := q.state.Jobs.FinalJob(id); known != nil {
		view = finalView(id, known)
	}
	admission.answer(messages.Respond{Status: messages.ReplyCreated, View: &view})
}

// retryUnlessKnown answers a submission whose job has a record; otherwise it is
// stored with a later write.
func (q *admissionQueue) retryUnlessKnown(admission *pendingAdmission) {
	q.queries.lookUpInStore(admission.spec.ID, func(status messages.ReplyStatus, view cluster.JobView) {
		switch {
		case admission.answered:
		case status == messages.ReplyOK:
			admission.answer(messages.Respond{Status: messages.ReplyOK, View: &view})
		default:
			q.waiting = append(q.waiting, admission)
			q.enqueueWrite()
		}
	})
}
