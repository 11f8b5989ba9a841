package jobs

import (
	"encoding/json"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// recordWrite is a write of what has become of a job: of its tasks, or its end.
//
// Its record is built when its turn comes, and anew when its transaction was
// refused for another write's sake. The fields written* and finalStatus say what the
// last record built holds. A job has one write at a time.
type recordWrite struct {
	records        *Records
	job            *state.Job
	priority       writequeue.Priority
	eligibleChunks []int // that it may set

	writtenChunks []int // that it sets
	writtenTasks  []int // whose outcomes it stores
	finalStatus   cluster.JobStatus
}

// WriteJob stores what has become of a job's tasks, or its end. While a write of the
// job is under way, another follows it.
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

// build makes the records of the chunks that have changed; of a job that ends, its
// own record and the deletion of all others.
func (w *recordWrite) build(writeID string) ([]messages.TxnOp, []cluster.ModRevision) {
	job := w.job
	job.RewriteNeeded = false
	w.writtenChunks, w.writtenTasks, w.finalStatus = nil, nil, job.CurrentFinalStatus()
	job.EndInFlight = w.finalStatus != ""
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

// isChunkUnchanged tells whether a chunk needs no write: while the job goes on, one
// without new outcomes; at its end, one that was never stored.
func (w *recordWrite) isChunkUnchanged(chunk int) bool {
	if w.finalStatus == "" {
		return !w.job.DirtyChunks[chunk]
	}
	return chunk > 0 && w.job.ModRevisions[chunk] == 0
}

// buildChunk is what a chunk's key is set to; nil: it is deleted. It notes the
// outcomes that the record holds.
func (w *recordWrite) buildChunk(chunk int, writeID string) []byte {
	record := Record{WriteID: writeID}
	fitting := state.TasksPerChunk
	if w.finalStatus != "" {
		w.fillFinalStatus(&record)
	} else {
		fitting = w.fillCompletedIndexes(&record, chunk)
	}
	for i, taskState := range w.job.ChunkStates(chunk) {
		if taskState == state.TaskCompleted && i < fitting {
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

// fillCompletedIndexes lists a chunk's completed tasks in nine tenths of the largest
// record. From the index that it returns on, they did not fit.
func (w *recordWrite) fillCompletedIndexes(record *Record, chunk int) int {
	room := w.records.config.MaxValueBytes * 9 / 10
	if chunk == 0 {
		record.Spec = &w.job.Spec
		room -= len(record.encode())
	}
	var fitting int
	record.CompletedIndexes, fitting = state.EncodeCompleted(w.job.ChunkStates(chunk), room)
	return fitting
}

// handleStored takes in that the last record built is stored.
func (w *recordWrite) handleStored(revision cluster.Revision) {
	job := w.job
	w.finish()
	for _, chunk := range w.writtenChunks {
		job.ModRevisions[chunk] = cluster.ModRevision(revision)
	}
	for _, task := range w.writtenTasks {
		job.TaskStates[task] = state.TaskCompletionStored
	}
	// Only now: after a failed transaction the same record must be built again.
	job.RecomputeDirtyChunks()
	if w.records.state.Jobs.Owns(job) {
		w.records.acknowledgeStoredTasks(job)
	}
	switch {
	case w.finalStatus != "":
		w.records.deleteLeftoverChunks(job, w.writtenChunks)
		w.records.handleEnd(job, w.finalStatus)
	case job.RewriteNeeded:
		w.records.WriteJob(job, writequeue.PriorityOutcome)
	}
}

// handleConflict resolves a conflict with another writer.
func (w *recordWrite) handleConflict() {
	w.finish()
	switch {
	case !w.records.state.Jobs.Owns(w.job):
	case w.job.ModRevisions[0] == 0:
		w.records.resolveFirstRecordConflict(w.job, w.priority)
	default:
		w.records.giveUpShardOf(w.job)
	}
}

// handleTooLarge handles the refusal of a record by its length. The job was admitted
// under higher limits: its outcomes wait for its end, whose record is short.
func (w *recordWrite) handleTooLarge() {
	w.finish()
	w.job.RecordTooLarge = true
}

// finish notes that the write is no longer under way.
func (w *recordWrite) finish() { w.job.WriteQueued, w.job.EndInFlight = false, false }

// giveUpShardOf gives up the shard of a job whose record an owner of the same term
// must have changed.
func (r *Records) giveUpShardOf(job *state.Job) {
	r.Ownership.GiveUpCorrupt(r.state.Shards[job.ShardID], job.ChunkKey(0), "changed by another writer")
}

// deleteLeftoverChunks deletes the outcomes of a finished job that its last write had
// no room to delete.
func (r *Records) deleteLeftoverChunks(job *state.Job, written []int) {
	for chunk := 1; chunk < len(job.ModRevisions); chunk++ {
		if job.ModRevisions[chunk] != 0 && !slices.Contains(written, chunk) {
			r.writeQueue.DeleteInBackground(job.ShardID, job.ChunkKey(chunk), job.ModRevisions[chunk])
		}
	}
}

// resolveFirstRecordConflict resolves the conflict of a job's first record of its own:
// the job was submitted twice at once, and the other admission has written one. That
// says no more than the admission here.
func (r *Records) resolveFirstRecordConflict(job *state.Job, priority writequeue.Priority) {
	r.writeQueue.ReadKey(job.ChunkKey(0), func(reply messages.GetReply) {
		if !r.state.Jobs.Owns(job) || job.WriteQueued || job.ModRevisions[0] != 0 {
			return
		}
		var record Record
		switch {
		case reply.Outcome != messages.OK:
			r.loop.After(readRetryPause, func() { r.resolveFirstRecordConflict(job, priority) })
		case json.Unmarshal(reply.KV.Value, &record) != nil || !record.isAdmission():
			r.giveUpShardOf(job)
		default:
			job.ModRevisions[0] = reply.KV.ModRevision
			r.WriteJob(job, priority)
		}
	})
}

// isAdmission tells whether a record says no more than that its job was admitted.
func (r *Record) isAdmission() bool {
	return r.Spec != nil && r.CompletedIndexes == "" && r.FinalStatus == ""
}
