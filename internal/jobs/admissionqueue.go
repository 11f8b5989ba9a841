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
	// admissionTimeout is how long a submission may wait to be stored.
	admissionTimeout = 3500 * millisecond
	// proxyDelay is the time after which a submission is forwarded to another controller
	// if the store has stopped responding to this controller.
	proxyDelay = writequeue.SlowThreshold + 50*millisecond
	// duplicateCheckDelay is how long submissions are collected for a shared duplicate
	// check.
	duplicateCheckDelay = 5 * millisecond
	// admittedJobOverhead is the size of a job in an admission record without its ID
	// and specification, in bytes.
	admittedJobOverhead = 20
)

// admissionQueue writes submissions to the store. Submissions that arrive at about the
// same time are stored in one record by one put. With one put per submission, a burst of
// submissions would exceed the write rate.
//
// An unanswered submission is in waiting, belongs to one write, or is looked up in the
// store after a conflict. While any submission is in waiting, at least one write is
// queued.
type admissionQueue struct {
	*shared

	records          *Records
	admissionRecords *AdmissionRecords
	queries          *Queries
	proxy            *submissionProxy
	notices          *noticeSender

	waiting                []*pendingAdmission // not taken by a write yet
	awaitingDuplicateCheck []*pendingAdmission
	queuedWrites           int // writes that have not taken their submissions yet
	keysIssued             int // keys of admission records generated so far
}

// pendingAdmission is a submission that waits to be stored.
type pendingAdmission struct {
	spec     cluster.JobSpec
	respond  func(messages.Respond)
	deadline cluster.Time // no write takes the submission after this time
	answered bool

	duplicateChecked     bool                     // the duplicate check is complete
	duplicateCheckFailed bool                     // the admission records could not be read
	idempotentRetries    []func(messages.Respond) // responders of submissions with the same ID
	answerStored         func()                   // answers the submission; set when it is stored
}

// answerIfReady answers the submission if it is stored and its duplicate check is
// complete.
func (a *pendingAdmission) answerIfReady() {
	if a.duplicateChecked && a.answerStored != nil {
		a.answerStored()
	}
}

// answer answers the submission and its idempotent retries. Only the first call has an
// effect.
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

// add queues a job to be stored. The submission is answered when the job is stored and
// the duplicate check is complete, or rejected after admissionTimeout. If the store is
// unresponsive after proxyDelay, the submission is also forwarded to another controller.
func (q *admissionQueue) add(spec cluster.JobSpec, respond func(messages.Respond)) {
	admission := &pendingAdmission{spec: spec, respond: respond, deadline: q.loop.Now() + admissionTimeout}
	q.loop.After(admissionTimeout, func() {
		admission.answer(messages.Respond{Status: messages.StatusUnavailable, RetryAfter: shortRetryAfterSeconds, Error: "not stored in time"})
	})
	q.loop.After(proxyDelay, func() {
		if !admission.answered && q.writeQueue.Health.IsUnresponsive(q.loop.Now()) {
			q.proxy.forward(admission.spec, admission.answer)
		}
	})
	q.waiting = append(q.waiting, admission)
	if q.queuedWrites < len(q.waiting) {
		q.enqueueWrite()
	}
	q.checkDuplicate(admission)
}

// checkDuplicate checks, while the submission is being stored, whether another
// controller has admitted the job in an admission record. If so, the submission is
// answered as an idempotent retry. The read begins after the submission has arrived, so
// it shows every admission that was reported before. Submissions that arrive within
// duplicateCheckDelay share a read.
func (q *admissionQueue) checkDuplicate(admission *pendingAdmission) {
	q.awaitingDuplicateCheck = append(q.awaitingDuplicateCheck, admission)
	if len(q.awaitingDuplicateCheck) > 1 {
		return
	}
	q.loop.After(duplicateCheckDelay, func() {
		batch := q.awaitingDuplicateCheck
		q.awaitingDuplicateCheck = nil
		q.admissionRecords.readChanges(func(ok bool) {
			for _, admission := range batch {
				admission.duplicateChecked, admission.duplicateCheckFailed = true, !ok
				admission.answerIfReady()
			}
		})
	})
}

// takeBatch removes submissions from the queue and returns those to be stored together,
// as many as fit into one record. It drops submissions that are answered or expired, and
// joins those with the same ID.
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

// sizeInRecord returns the size of a job in an admission record, in bytes.
func (q *admissionQueue) sizeInRecord(spec *cluster.JobSpec) int {
	value, _ := json.Marshal(spec) // a struct of plain fields can always be marshaled
	return len(value) + len(spec.ID) + admittedJobOverhead
}

// maxSpecBytes returns the maximum total size of the specifications in a record. The rest
// of the record is left for completed tasks.
func (s *shared) maxSpecBytes() int { return s.config.MaxValueBytes * 4 / 5 }

// joinIdempotentRetry reports whether a submission need not be stored, because its job is
// known by now or the batch has a submission with the same ID. In the former case it
// answers the submission; in the latter case the two submissions will be answered
// together.
func (q *admissionQueue) joinIdempotentRetry(admission *pendingAdmission, batch []*pendingAdmission) bool {
	id := admission.spec.ID
	if q.state.Jobs.Known[id] != nil { // stored by another submission with the same ID
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

// putsNeeded returns how many puts the waiting submissions need if each put stores
// MaxTxnOps of them.
func (q *admissionQueue) putsNeeded() float64 {
	return float64(len(q.waiting)) / float64(q.config.MaxTxnOps)
}

// nextKey returns the key of the next admission record. No key is ever used twice,
// because it contains a counter and the instance ID, which is unique to this process.
func (q *admissionQueue) nextKey() string {
	q.keysIssued++
	return AdmissionKeyPrefix + q.config.InstanceID + "-" + strconv.Itoa(q.keysIssued)
}

// enqueueWrite enqueues a write. The write takes its submissions from the queue when its
// transaction is built.
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

// answerAdmitted answers a submission that was stored at a revision. It is answered as an
// idempotent retry if an earlier admission record lists the job or the duplicate check
// has failed, and otherwise as a new job. While the record of a dependency is unseen, a
// blocked job may follow from a cancellation that is unknown here, and is not answered as
// pending before the changes stored until now are read.
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
	if len(q.state.Jobs.Unseen) == 0 {
		admission.answer(messages.Respond{Status: messages.StatusCreated, View: &view})
		return
	}
	q.queries.answerUnfinished(id, view, func(status messages.ResponseStatus, view cluster.JobView) {
		if status != messages.StatusOK {
			admission.answer(messages.Respond{Status: messages.StatusUnavailable, RetryAfter: shortRetryAfterSeconds})
			return
		}
		admission.answer(messages.Respond{Status: messages.StatusCreated, View: &view})
	})
}

// requeueUnlessStored answers a submission whose job is stored already. Otherwise, or if
// the lookup fails, it queues the submission again.
func (q *admissionQueue) requeueUnlessStored(admission *pendingAdmission) {
	q.queries.lookUpInStore(admission.spec.ID, func(status messages.ResponseStatus, view cluster.JobView) {
		switch {
		case admission.answered:
		case status == messages.StatusOK:
			admission.answer(messages.Respond{Status: messages.StatusOK, View: &view})
		default:
			q.waiting = append(q.waiting, admission)
			q.enqueueWrite()
		}
	})
}
