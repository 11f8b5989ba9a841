package controller

import (
	"encoding/json"
	"slices"
	"strconv"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// A submission is accepted by a record in the store. Those that come in
// together share one: a record each would cost a put each, and when many come
// at once their users would wait for the write rate.

// admissionKeyPrefix is where the records of jobs accepted together are stored.
const admissionKeyPrefix = "accepts/"

// admissionTimeout is how long a submission may wait for its record.
const admissionTimeout = 3500 * millisecond

// admissionRecord is what accepts/<name> holds: jobs that came in together. A job
// has a record of its own, jobs/<id>, from its first outcome on; that one
// counts where both exist.
type admissionRecord struct {
	Jobs    []admittedJob `json:"j"`
	WriteID string        `json:"w"`
}

type admittedJob struct {
	ID   cluster.JobID   `json:"id"`
	Spec cluster.JobSpec `json:"s"`
}

// pendingAdmission is a submission that waits for its record.
type pendingAdmission struct {
	spec     cluster.JobSpec
	respond  func(messages.Respond)
	deadline cluster.Time // too late after that
	answered bool

	duplicateChecked     bool                     // whether another controller accepted the job
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

// answer tells the user, once.
func (a *pendingAdmission) answer(r messages.Respond) {
	if a.answered {
		return
	}
	a.answered = true
	a.respond(r)
	for _, respond := range a.idempotentRetries {
		respond(r)
	}
}

// admissionQueue holds the submissions that wait for their record, and what is
// known of the records that accepted several jobs at once.
//
// A submission that has no answer yet is in waiting or belongs to one write.
// While any is waiting, at least one write is queued that will take it. The
// revision kept of a job is that of the first record that accepted it.
type admissionQueue struct {
	waiting         []*pendingAdmission // not taken into a write yet
	unchecked       []*pendingAdmission // to be checked for an acceptance by another controller
	queuedWrites    int                 // writes that have not taken their submissions yet
	keysIssued      int                 // record names given so far
	firstRevisions  map[cluster.JobID]cluster.ModRevision
	appliedRevision cluster.Revision // what was stored until then is known
	loaded          bool             // all records were read at least once
}

// nextKey names the next record. The name is used once, as no other process
// has the same boot.
func (s *admissionQueue) nextKey(boot string) string {
	s.keysIssued++
	return admissionKeyPrefix + boot + "-" + strconv.Itoa(s.keysIssued)
}

// enqueue queues a submission; true: it needs a write of its own.
func (s *admissionQueue) enqueue(a *pendingAdmission) bool {
	s.waiting = append(s.waiting, a)
	return s.queuedWrites < len(s.waiting)
}

// isAdmitted tells whether a record of several is known to have accepted a job.
func (s *admissionQueue) isAdmitted(id cluster.JobID) bool { return s.firstRevisions[id] > 0 }

// recordAdmission takes in that a record of several with a revision accepted a job.
func (s *admissionQueue) recordAdmission(id cluster.JobID, revision cluster.ModRevision) {
	if first := s.firstRevisions[id]; first == 0 || revision < first {
		s.firstRevisions[id] = revision
	}
}

// wasAdmittedBefore tells whether an earlier record than that with a revision
// accepted a job.
func (s *admissionQueue) wasAdmittedBefore(id cluster.JobID, revision cluster.ModRevision) bool {
	return s.isAdmitted(id) && s.firstRevisions[id] < revision
}

// putsNeeded is how many puts the waiting submissions need when each takes
// as many as a transaction may have.
func (s *admissionQueue) putsNeeded(perPut int) float64 {
	return float64(len(s.waiting)) / float64(perPut)
}

// enqueueAdmission has a job stored and answers its submission then, or says that this
// took too long.
func (c *Controller) enqueueAdmission(spec cluster.JobSpec, answer func(messages.Respond)) {
	a := &pendingAdmission{spec: spec, respond: answer, deadline: c.loop.Now() + admissionTimeout}
	c.loop.After(admissionTimeout, func() {
		a.answer(messages.Respond{Status: messages.ReplyUnavailable, RetryAfter: shortRetryAfterSeconds, Error: "not stored in time"})
	})
	c.loop.After(writequeue.SlowThreshold+50*millisecond, func() {
		if !a.answered && c.writeQueue.Health.IsUnresponsive(c.loop.Now()) {
			c.proxySubmission(a.spec, a.answer)
		}
	})
	if c.admissions.enqueue(a) {
		c.queueAdmissionWrite()
	}
	c.checkDuplicateAdmission(a)
}

// checkDuplicateAdmission finds out whether another controller has accepted the
// job in a record of several, while its record here is being written: then this
// is a repeat, and is answered as one. A reading begun now shows all that its
// user can have been told. One serves the submissions of some milliseconds.
func (c *Controller) checkDuplicateAdmission(a *pendingAdmission) {
	s := &c.admissions
	s.unchecked = append(s.unchecked, a)
	if len(s.unchecked) > 1 {
		return
	}
	c.loop.After(5*millisecond, func() {
		batch := s.unchecked
		s.unchecked = nil
		c.readAdmissionChanges(func(ok bool) {
			for _, a := range batch {
				a.duplicateChecked, a.duplicateCheckFailed = true, !ok
				a.answerIfReady()
			}
		})
	})
}

// takeAdmissionBatch takes the submissions that still wait for an answer, as many as
// go into one record.
func (c *Controller) takeAdmissionBatch() []*pendingAdmission {
	s := &c.admissions
	var batch []*pendingAdmission
	size := 0
	for len(s.waiting) > 0 {
		a := s.waiting[0]
		if !a.answered && c.loop.Now() <= a.deadline && !c.joinIdempotentRetry(a, batch) {
			v, _ := json.Marshal(a.spec)
			size += len(v) + len(a.spec.ID) + 20
			if len(batch) > 0 && size > c.config.MaxValueBytes*4/5 || len(batch) == c.config.MaxTxnOps {
				break
			}
			batch = append(batch, a)
		}
		s.waiting = s.waiting[1:]
	}
	return batch
}

// joinIdempotentRetry answers a submission whose job is known meanwhile, or has it
// answered with the same id's submission of a batch; false: it is neither.
func (c *Controller) joinIdempotentRetry(a *pendingAdmission, batch []*pendingAdmission) bool {
	id := a.spec.ID
	if c.state.Jobs.Known[id] != nil { // the same id came in twice at once
		c.answerIdempotentRetry(a.answer, id)
		return true
	}
	i := slices.IndexFunc(batch, func(o *pendingAdmission) bool { return o.spec.ID == id })
	if i < 0 {
		return false
	}
	batch[i].idempotentRetries = append(batch[i].idempotentRetries, func(r messages.Respond) {
		if r.View != nil {
			c.answerIdempotentRetry(a.answer, id)
		} else {
			a.answer(r)
		}
	})
	return true
}

// admissionWrite is a write that accepts the submissions it takes when its
// turn comes: one alone as the job's own record, several as one record, on
// condition that none of them is known.
type admissionWrite struct {
	controller *Controller
	write      *writequeue.Write
	batchKey   string // of the record of several
	built      bool   // it has been built at least once
	batch      []*pendingAdmission
	jobRecords [][]byte // a record of its own for each of the batch
}

// queueAdmissionWrite queues the write that takes the next waiting submissions.
func (c *Controller) queueAdmissionWrite() {
	c.admissions.queuedWrites++
	key := c.admissions.nextKey(c.config.InstanceID)
	w := &admissionWrite{controller: c, batchKey: key}
	w.write = &writequeue.Write{
		ShardID:          cluster.NoShard,
		Keys:             []string{key},
		MaxExtraCompares: c.config.MaxTxnOps,
		Build:            w.build,
		OnApplied:        w.handleStored,
		OnConflict:       w.handleConflict,
	}
	c.writeQueue.Enqueue(writequeue.Admit, w.write)
}

// build makes the record. It is called again where another write of its
// transaction was refused.
func (w *admissionWrite) build(nonce string) ([]messages.TxnOp, []cluster.ModRevision) {
	s := &w.controller.admissions
	if !w.built {
		w.built = true
		s.queuedWrites--
	}
	s.waiting = append(w.batch, s.waiting...)
	w.batch, w.jobRecords = w.controller.takeAdmissionBatch(), nil
	w.write.ExtraCompares, w.write.Keys[0] = nil, w.batchKey
	if len(s.waiting) > s.queuedWrites {
		w.controller.queueAdmissionWrite()
	}
	if len(w.batch) == 0 {
		return nil, nil
	}
	var rec admissionRecord
	for _, a := range w.batch {
		v, _ := json.Marshal(jobRecord{Spec: &a.spec, WriteID: nonce})
		w.jobRecords = append(w.jobRecords, v)
		rec.Jobs = append(rec.Jobs, admittedJob{a.spec.ID, a.spec})
	}
	if len(w.batch) == 1 {
		w.write.Keys[0] = state.JobKey(w.batch[0].spec.ID)
		return []messages.TxnOp{{Key: w.write.Keys[0], Value: w.jobRecords[0]}}, []cluster.ModRevision{0}
	}
	rec.WriteID = nonce
	for _, a := range w.batch {
		w.write.ExtraCompares = append(w.write.ExtraCompares, messages.Compare{Key: state.JobKey(a.spec.ID), ModRevision: 0})
	}
	v, _ := json.Marshal(rec)
	return []messages.TxnOp{{Key: w.batchKey, Value: v}}, []cluster.ModRevision{0}
}

// handleStored takes in the jobs accepted and answers their users.
func (w *admissionWrite) handleStored(e cluster.Revision) {
	revision := cluster.ModRevision(e)
	own := revision
	if len(w.batch) > 1 {
		own = 0 // of their own records, which don't exist yet
	}
	for i, a := range w.batch {
		if len(w.batch) > 1 {
			w.controller.admissions.recordAdmission(a.spec.ID, revision)
		}
		kv := messages.KV{Key: state.JobKey(a.spec.ID), Value: w.jobRecords[i], ModRevision: own}
		w.controller.applyJobRecord(kv, nil)
		w.controller.notifyOwner(w.controller.state.Teams[a.spec.Team].ShardID, kv)
		w.controller.notifyDependencyOwners(&a.spec, kv)
		if w.write.InDoubt {
			// It may have been carried out long before this answer, and others may
			// have told more of it since.
			w.controller.answerIdempotentRetry(a.answer, a.spec.ID)
		}
	}
	if w.write.InDoubt {
		return
	}
	for _, a := range w.batch {
		a.answerStored = func() { w.controller.answerAdmitted(a, revision) }
		a.answerIfReady()
	}
}

// answerAdmitted answers a submission that was stored with a revision: as new,
// unless an earlier record accepted it or that could not be read.
func (c *Controller) answerAdmitted(a *pendingAdmission, revision cluster.ModRevision) {
	id := a.spec.ID
	if a.duplicateCheckFailed || c.admissions.wasAdmittedBefore(id, revision) {
		c.answerIdempotentRetry(a.answer, id)
		return
	}
	v := cluster.JobView{ID: id, Status: cluster.JobPending}
	if k := c.state.Jobs.FinalJob(id); k != nil {
		v = finalView(id, k)
	}
	a.answer(messages.Respond{Status: messages.ReplyCreated, View: &v})
}

// handleConflict follows a conflict: some of the batch are known. Each learns which by
// itself.
func (w *admissionWrite) handleConflict() {
	for _, a := range w.batch {
		if a.answered {
			continue
		}
		if len(w.batch) == 1 {
			w.controller.answerIdempotentRetry(a.answer, a.spec.ID)
			continue
		}
		w.controller.lookUpJobInStore(a.spec.ID, func(status messages.ReplyStatus, v cluster.JobView) {
			switch {
			case a.answered:
			case status == messages.ReplyOK:
				a.answer(messages.Respond{Status: messages.ReplyOK, View: &v})
			default: // not this one: it is tried again
				w.controller.admissions.enqueue(a)
				w.controller.queueAdmissionWrite()
			}
		})
	}
}

// applyAdmissionRecord takes in a record of jobs that were accepted together.
func (c *Controller) applyAdmissionRecord(kv messages.KV, loading *state.Shard) {
	if kv.Value == nil {
		return
	}
	c.recordPeerWrite(kv)
	var rec admissionRecord
	if err := json.Unmarshal(kv.Value, &rec); err != nil {
		c.loop.Log(messages.LogError, "unreadable record", "key", kv.Key)
		return
	}
	for i := range rec.Jobs {
		j := &rec.Jobs[i]
		c.admissions.recordAdmission(j.ID, kv.ModRevision)
		v, _ := json.Marshal(jobRecord{Spec: &j.Spec})
		c.applyJobRecord(messages.KV{Key: state.JobKey(j.ID), Value: v}, loading)
	}
}

// loadAdmissions learns of the jobs that were accepted together, then follows.
func (c *Controller) loadAdmissions() {
	s := &c.admissions
	c.writeQueue.ListPrefix(admissionKeyPrefix, func(r messages.ListReply) {
		if r.Outcome != messages.OK {
			c.loop.After(second, c.loadAdmissions)
			return
		}
		for _, kv := range r.Items {
			c.applyAdmissionRecord(kv, nil)
		}
		s.appliedRevision, s.loaded = r.Revision, true
		c.writeQueue.Watch(writequeue.PrefixWatch{
			Prefix:      admissionKeyPrefix,
			Position:    &s.appliedRevision,
			Pause:       recordWatchPause,
			OnChange:    func(kv messages.KV) { c.applyAdmissionRecord(kv, nil) },
			OnCompacted: c.loadAdmissions,
		})
	})
}

// lookUpAdmission calls fn with whether a job was accepted in a record of several, as
// the store shows it now: what changed since the last reading is read.
func (c *Controller) lookUpAdmission(id cluster.JobID, fn func(known, ok bool)) {
	s := &c.admissions
	if s.isAdmitted(id) {
		fn(true, true)
		return
	}
	if !s.loaded {
		fn(false, false)
		return
	}
	c.readAdmissionChanges(func(ok bool) { fn(s.isAdmitted(id), ok) })
}

// readAdmissionChanges reads the records of several that were stored since the last
// reading; fn gets whether that worked.
func (c *Controller) readAdmissionChanges(fn func(bool)) {
	c.writeQueue.ReadChanges(admissionKeyPrefix, c.admissions.appliedRevision, func(r messages.WatchReply) {
		for _, kv := range r.Items {
			c.applyAdmissionRecord(kv, nil)
		}
		fn(r.Outcome == messages.OK)
	})
}
