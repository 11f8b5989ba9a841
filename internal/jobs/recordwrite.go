package jobs

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/exactjson"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// recordWrite is a write of a job's completed tasks or of its final status. A job has at
// most one such write queued or in flight.
//
// The records are built when the write is sent, and rebuilt if the transaction fails
// because of another write in it. The fields written* and finalStatus describe the
// records that were built last.
type recordWrite struct {
	records        *Records
	job            *state.Job
	priority       writequeue.Priority
	eligibleChunks []int // chunks that the write may set or delete

	writtenChunks []int // chunks that the write sets or deletes
	writtenTasks  []int // tasks that the write stores as completed
	finalStatus   cluster.JobStatus
}

// WriteJob enqueues a write of a job's completed tasks or of its final status. If a write
// of the job is already queued, that write will include the changes, and its priority is
// raised if the given one is more urgent. If a write is in flight, another one is
// enqueued after it. If the job's final status is already stored, nothing is written.
func (r *Records) WriteJob(job *state.Job, priority writequeue.Priority) {
	if job.FinalStatus != "" {
		return
	}
	if job.WriteQueued {
		job.RewriteNeeded = true
		if priority < writequeue.PriorityBackground {
			r.writeQueue.RaisePriority(job.ChunkKey(0), priority)
		}
		return
	}
	job.WriteQueued, job.RewriteNeeded = true, false
	keys, chunks := job.SelectWriteKeys(r.config.MaxTxnOps)
	write := &recordWrite{records: r, job: job, priority: priority, eligibleChunks: chunks}
	r.writeQueue.Enqueue(priority, &writequeue.Write{
		ShardID:         job.ShardID,
		Keys:            keys,
		Build:           write.build,
		OnApplied:       write.handleStored,
		OnConflict:      write.handleConflict,
		OnTooLarge:      write.handleTooLarge,
		OnOwnershipLost: write.finish,
	})
}

// build returns the records of the eligible chunks that have changed. For a job that ends,
// it returns the record of the final status and the deletions of the other eligible chunks
// that are stored. The result is nil if nothing has to be written.
func (w *recordWrite) build(writeID string) ([]messages.TxnOp, []cluster.ModRevision) {
	job := w.job
	job.RewriteNeeded = false
	w.writtenChunks, w.writtenTasks, w.finalStatus = nil, nil, job.CurrentFinalStatus()
	job.FinalWriteInFlight = w.finalStatus != ""
	var operations []messages.TxnOp
	var modRevisions []cluster.ModRevision
	for _, chunk := range w.eligibleChunks {
		if w.isChunkUnchanged(chunk) {
			continue
		}
		operations = append(operations, messages.TxnOp{Key: job.ChunkKey(chunk), Value: w.buildChunk(chunk, writeID)})
		modRevisions = append(modRevisions, job.ModRevisions[chunk])
		w.writtenChunks = append(w.writtenChunks, chunk)
	}
	if len(operations) == 0 {
		job.WriteQueued = false
		return nil, nil
	}
	return operations, modRevisions
}

// isChunkUnchanged reports whether a chunk need not be written. For an unfinished job,
// that is a chunk without newly completed tasks. For a job that ends, it is any chunk but
// the first, if the chunk was never stored.
func (w *recordWrite) isChunkUnchanged(chunk int) bool {
	if w.finalStatus == "" {
		return !w.job.DirtyChunks[chunk]
	}
	return chunk > 0 && w.job.ModRevisions[chunk] == 0
}

// buildChunk returns the new value of a chunk's key, or nil if the key is to be deleted.
// It adds the completed tasks that the write covers to writtenTasks.
func (w *recordWrite) buildChunk(chunk int, writeID string) []byte {
	record := Record{WriteID: writeID}
	encodedTasks := state.TasksPerChunk
	if w.finalStatus != "" {
		w.fillFinalStatus(&record)
	} else {
		encodedTasks = w.fillCompletedIndexes(&record, chunk)
	}
	for i, taskState := range w.job.ChunkStates(chunk) {
		if taskState == state.TaskCompleted && i < encodedTasks {
			w.writtenTasks = append(w.writtenTasks, chunk*state.TasksPerChunk+i)
		}
	}
	if chunk > 0 && w.finalStatus != "" {
		return nil
	}
	return record.encode()
}

func (w *recordWrite) fillFinalStatus(record *Record) {
	spec := &w.job.Spec
	record.FinalStatus, record.Team, record.Tasks = w.finalStatus, spec.Team, spec.Tasks
	if w.finalStatus == cluster.JobCancelled {
		record.ResourceRequest = &spec.ResourceRequest
	}
}

// fillCompletedIndexes adds a chunk's completed tasks to the record, up to nine tenths of
// the size limit. It returns how many of the chunk's tasks are covered. The completed
// tasks beyond these did not fit.
func (w *recordWrite) fillCompletedIndexes(record *Record, chunk int) int {
	maxBytes := w.records.config.MaxValueBytes * 9 / 10
	if chunk == 0 {
		record.Spec = &w.job.Spec
		maxBytes -= len(record.encode())
	}
	var encodedTasks int
	record.CompletedIndexes, encodedTasks = state.EncodeCompleted(w.job.ChunkStates(chunk), maxBytes)
	return encodedTasks
}

// handleStored updates the job after the records that were built last are stored. It
// enqueues another write if the job has changed since.
func (w *recordWrite) handleStored(revision cluster.Revision) {
	job := w.job
	w.finish()
	for _, chunk := range w.writtenChunks {
		job.ModRevisions[chunk] = cluster.ModRevision(revision)
	}
	for _, task := range w.writtenTasks {
		job.TaskStates[task] = state.TaskCompletionStored
	}
	// Chunks stay dirty until they are stored, as build must return them again after a
	// failed transaction.
	job.RecomputeDirtyChunks()
	if w.records.state.Jobs.Owns(job) {
		w.records.acknowledgeStoredTasks(job)
	}
	switch {
	case w.finalStatus != "":
		w.records.deleteLeftoverChunks(job, w.writtenChunks)
		w.records.handleFinalStatusStored(job, w.finalStatus)
	case job.RewriteNeeded:
		w.records.WriteJob(job, writequeue.PriorityOutcome)
	}
}

// handleConflict handles a write that failed because another writer changed a key of the
// job. If the job had no record of its own so far, the record may be that of a second
// submission; see resolveFirstRecordConflict. Otherwise the shard is dropped.
func (w *recordWrite) handleConflict() {
	w.finish()
	switch {
	case !w.records.state.Jobs.Owns(w.job):
	case w.job.ModRevisions[0] == 0:
		w.records.resolveFirstRecordConflict(w.job, w.priority)
	default:
		w.records.dropShardOf(w.job)
	}
}

// handleTooLarge handles a record that exceeds the size limit, which happens if the limit
// was higher when the job was admitted. The job's progress is no longer stored in the
// background; the record of the final status is short enough.
func (w *recordWrite) handleTooLarge() {
	w.finish()
	w.job.RecordTooLarge = true
}

// finish records that the job has no write queued or in flight.
func (w *recordWrite) finish() { w.job.WriteQueued, w.job.FinalWriteInFlight = false, false }

// dropShardOf drops the shard of a job whose record was changed by another writer
// although this controller's claim to the shard was in force.
func (r *Records) dropShardOf(job *state.Job) {
	r.Ownership.DropCorruptShard(r.state.Shards[job.ShardID], job.ChunkKey(0), "changed by another writer")
}

// deleteLeftoverChunks enqueues deletions of the stored chunks of a finished job that did
// not fit into the transaction of its last write.
func (r *Records) deleteLeftoverChunks(job *state.Job, written []int) {
	for chunk := 1; chunk < len(job.ModRevisions); chunk++ {
		if job.ModRevisions[chunk] != 0 && !slices.Contains(written, chunk) {
			r.writeQueue.DeleteInBackground(job.ShardID, job.ChunkKey(chunk), job.ModRevisions[chunk])
		}
	}
}

// resolveFirstRecordConflict handles a conflict on a job's first record of its own. If
// the job was submitted twice at the same time, the other admission may have written that
// record. The record then holds nothing new, and the write is repeated with its mod
// revision. If the record shows more than an admission, the shard is dropped.
func (r *Records) resolveFirstRecordConflict(job *state.Job, priority writequeue.Priority) {
	r.writeQueue.ReadKey(job.ChunkKey(0), func(reply messages.GetReply) {
		if !r.state.Jobs.Owns(job) || job.WriteQueued || job.ModRevisions[0] != 0 {
			return
		}
		var record Record
		switch {
		case reply.Outcome != messages.OK:
			r.loop.After(readRetryDelay, func() { r.resolveFirstRecordConflict(job, priority) })
		case exactjson.Unmarshal(reply.KV.Value, &record) != nil || !record.isAdmission():
			r.dropShardOf(job)
		default:
			job.ModRevisions[0] = reply.KV.ModRevision
			r.WriteJob(job, priority)
		}
	})
}

// isAdmission reports whether a record shows only that its job was admitted.
func (r *Record) isAdmission() bool {
	return r.Spec != nil && r.CompletedIndexes == "" && r.FinalStatus == ""
}
