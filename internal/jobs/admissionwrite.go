package jobs

import (
	"encoding/json"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// admissionWrite is a write that admits the submissions that wait when its turn
// comes: a single one by the job's own record, several by an admission record.
type admissionWrite struct {
	queue    *admissionQueue
	write    *writequeue.Write
	batchKey string // of the record of several

	built      bool
	batch      []*pendingAdmission
	jobRecords [][]byte // the batch's records of their own, stored or implied
}

// build takes the submissions and makes their record. It is called again where
// another write of its transaction was refused.
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

// buildBatchRecord makes the record of several jobs, on condition that none of them
// has a record of its own.
func (w *admissionWrite) buildBatchRecord(writeID string) []byte {
	record := AdmissionRecord{WriteID: writeID}
	for _, admission := range w.batch {
		record.Jobs = append(record.Jobs, AdmittedJob{ID: admission.spec.ID, Spec: admission.spec})
		w.write.ExtraCompares = append(w.write.ExtraCompares, messages.Compare{Key: state.JobKey(admission.spec.ID), ModRevision: 0})
	}
	value, _ := json.Marshal(record) // a struct of plain fields can always be marshaled
	return value
}

// handleStored takes in the jobs that were admitted, and answers their users.
func (w *admissionWrite) handleStored(stored cluster.Revision) {
	revision := cluster.ModRevision(stored)
	for i, admission := range w.batch {
		w.applyAdmitted(admission, w.jobRecords[i], revision)
		if w.write.InDoubt {
			// It may have been carried out long before this answer, and others may
			// have told more of it since.
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

// applyAdmitted takes in one of the admitted jobs, and tells the owners of the shards
// concerned of it.
func (w *admissionWrite) applyAdmitted(admission *pendingAdmission, record []byte, revision cluster.ModRevision) {
	queue, spec := w.queue, &admission.spec
	kv := messages.KV{Key: state.JobKey(spec.ID), Value: record, ModRevision: revision}
	if len(w.batch) > 1 {
		queue.admissionRecords.add(spec.ID, revision)
		kv.ModRevision = 0 // of its own record, which does not exist yet
	}
	queue.records.Apply(kv, nil)
	queue.notices.send(queue.state.Teams[spec.Team].ShardID, kv)
	queue.notices.sendToDependencyOwners(spec, kv)
}

// handleConflict resolves a conflict: some jobs of the batch are known. Each submission
// learns by itself whether its own is.
func (w *admissionWrite) handleConflict() {
	for _, admission := range w.batch {
		switch {
		case admission.answered:
		case len(w.batch) == 1:
			w.queue.queries.answerIdempotentRetry(admission.spec.ID, admission.answer)
		default:
			w.queue.retryUnlessKnown(admission)
		}
	}
}
