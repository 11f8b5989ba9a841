package jobs

import (
	"encoding/json"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// admissionWrite is a write that stores the submissions that are waiting when it is
// sent: a single one as the job's own record, several as an admission record.
type admissionWrite struct {
	queue    *admissionQueue
	write    *writequeue.Write
	batchKey string // key of the admission record, if there is one

	built      bool // build was called, so that the write no longer counts as queued
	batch      []*pendingAdmission
	jobRecords [][]byte // the jobs' own records, stored only if the batch has a single job
}

// build takes waiting submissions, as many as fit into a record, and returns the record
// that admits them. The result is nil if none is left. If more submissions are still
// waiting than writes are queued, build enqueues another write. If the transaction fails
// because of another write in it, build is called again and selects the submissions anew.
func (w *admissionWrite) build(writeID string) ([]messages.TxnOp, []cluster.ModRevision) {
	queue := w.queue
	if !w.built {
		w.built = true
		queue.queuedWrites--
	}
	queue.waiting = append(w.batch, queue.waiting...)
	w.batch, w.jobRecords = queue.takeBatch(), nil
	w.write.ExtraCompares, w.write.Keys[0] = nil, w.batchKey
	if len(queue.waiting) > queue.queuedWrites {
		queue.enqueueWrite()
	}
	if len(w.batch) == 0 {
		return nil, nil
	}
	for _, admission := range w.batch {
		record := Record{Spec: &admission.spec, WriteID: writeID}
		w.jobRecords = append(w.jobRecords, record.encode())
	}
	value := w.jobRecords[0]
	if len(w.batch) == 1 {
		w.write.Keys[0] = state.JobKey(w.batch[0].spec.ID)
	} else {
		value = w.buildBatchRecord(writeID)
	}
	return []messages.TxnOp{{Key: w.write.Keys[0], Value: value}}, []cluster.ModRevision{0}
}

// buildBatchRecord returns the admission record of several jobs. It makes the write
// conditional on none of these jobs having a record of its own.
func (w *admissionWrite) buildBatchRecord(writeID string) []byte {
	record := AdmissionRecord{WriteID: writeID}
	for _, admission := range w.batch {
		record.Jobs = append(record.Jobs, AdmittedJob{ID: admission.spec.ID, Spec: admission.spec})
		w.write.ExtraCompares = append(w.write.ExtraCompares, messages.Compare{Key: state.JobKey(admission.spec.ID), ModRevision: 0})
	}
	value, _ := json.Marshal(record) // a struct of plain fields can always be marshaled
	return value
}

// handleStored applies the records of the admitted jobs. It answers each submission as
// soon as the duplicate check of that submission is complete. If the write is in doubt, it
// answers the submissions as idempotent retries without waiting for the check.
func (w *admissionWrite) handleStored(stored cluster.Revision) {
	revision := cluster.ModRevision(stored)
	for i, admission := range w.batch {
		w.applyAdmitted(admission, w.jobRecords[i], revision)
		if w.write.InDoubt {
			// The write may have been applied long before its reply, and another
			// controller may have reported a later status of the job since.
			w.queue.queries.answerIdempotentRetry(admission.spec.ID, admission.answer)
		}
	}
	if w.write.InDoubt {
		return
	}
	for _, admission := range w.batch {
		admission.answerStored = func() { w.queue.answerAdmitted(admission, revision) }
		admission.answerIfReady()
	}
}

// applyAdmitted applies the record of an admitted job, and sends it to the owners of its
// shard and of the jobs that it depends on.
func (w *admissionWrite) applyAdmitted(admission *pendingAdmission, record []byte, revision cluster.ModRevision) {
	queue, spec := w.queue, &admission.spec
	kv := messages.KV{Key: state.JobKey(spec.ID), Value: record, ModRevision: revision}
	if len(w.batch) > 1 {
		queue.admissionRecords.add(spec.ID, revision)
		kv.ModRevision = 0 // the job has no record of its own yet
	}
	queue.records.Apply(kv, nil)
	queue.notices.send(queue.state.Teams[spec.Team].ShardID, kv)
	queue.notices.sendToDependencyOwners(spec, kv)
}

// handleConflict handles a write that failed because some of its jobs are stored already.
// Each submission whose own job is stored is answered, and the others are queued again.
func (w *admissionWrite) handleConflict() {
	for _, admission := range w.batch {
		switch {
		case admission.answered:
		case len(w.batch) == 1:
			w.queue.queries.answerIdempotentRetry(admission.spec.ID, admission.answer)
		default:
			w.queue.requeueUnlessStored(admission)
		}
	}
}
