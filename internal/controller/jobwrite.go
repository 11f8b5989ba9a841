package controller

import (
	"encoding/json"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// jobWrite is a write of what has become of a job: of its tasks, or its end.
//
// Its record is built when its turn comes, and anew when its transaction was
// refused for another write's sake. wrote, outcomes and end say what the last
// record built holds. A job has one write at a time.
type jobWrite struct {
	controller     *Controller
	job            *job
	priority       writequeue.Priority
	eligibleChunks []int             // that it may set
	writtenChunks  []int             // chunks that it sets
	writtenTasks   []int             // tasks whose end it tells
	finalStatus    cluster.JobStatus // of the job, or ""
}

// writeJob stores what has become of a job's tasks, or its end.
func (c *Controller) writeJob(j *job, prio writequeue.Priority) {
	if j.finalStatus != "" {
		return
	}
	if j.writeQueued {
		j.rewriteNeeded = true
		if prio < writequeue.Background {
			c.writeQueue.RaisePriority(j.chunkKey(0), prio)
		}
		return
	}
	j.writeQueued, j.rewriteNeeded = true, false
	keys, chunks := j.selectWriteKeys(c.config.MaxTxnOps)
	w := &jobWrite{controller: c, job: j, priority: prio, eligibleChunks: chunks}
	c.writeQueue.Enqueue(prio, &writequeue.Write{
		ShardID:         j.shard,
		Keys:            keys,
		Build:           w.build,
		OnApplied:       w.handleStored,
		OnConflict:      w.handleConflict,
		OnTooLarge:      w.handleTooLarge,
		OnOwnershipLost: w.finish,
	})
}

// build makes the records of the chunks that have changed; of a job that ends,
// its own record and the removal of all others.
func (w *jobWrite) build(nonce string) ([]messages.TxnOp, []cluster.ModRevision) {
	j := w.job
	j.rewriteNeeded = false
	w.writtenChunks, w.writtenTasks, w.finalStatus = nil, nil, j.currentFinalStatus()
	j.endInFlight = w.finalStatus != ""
	var ops []messages.TxnOp
	var marks []cluster.ModRevision
	for _, chunk := range w.eligibleChunks {
		if w.isChunkUnchanged(chunk) {
			continue
		}
		ops = append(ops, messages.TxnOp{Key: j.chunkKey(chunk), Value: w.chunkRecord(chunk, nonce)})
		marks = append(marks, j.modRevisions[chunk])
		w.writtenChunks = append(w.writtenChunks, chunk)
	}
	if len(ops) == 0 {
		j.writeQueued = false
		return nil, nil
	}
	return ops, marks
}

// isChunkUnchanged tells whether a chunk needs no write: of a job that goes on one
// without new outcomes, of one that ends one that was never stored.
func (w *jobWrite) isChunkUnchanged(chunk int) bool {
	if w.finalStatus == "" {
		return !w.job.dirtyChunks[chunk]
	}
	return chunk > 0 && w.job.modRevisions[chunk] == 0
}

// chunkRecord is what a chunk's key is set to; nil: it is removed. It notes the
// outcomes that the record tells.
func (w *jobWrite) chunkRecord(chunk int, nonce string) []byte {
	rec := jobRecord{WriteID: nonce}
	fits := tasksPerChunk
	if w.finalStatus != "" {
		w.fillFinalStatus(&rec)
	} else {
		fits = w.fillCompletedIndexes(&rec, chunk)
	}
	for i, state := range w.job.chunkStates(chunk) {
		if state == taskCompleted && i < fits {
			w.writtenTasks = append(w.writtenTasks, chunk*tasksPerChunk+i)
		}
	}
	if chunk > 0 && w.finalStatus != "" {
		return nil
	}
	v, _ := json.Marshal(rec)
	return v
}

func (w *jobWrite) fillFinalStatus(rec *jobRecord) {
	spec := &w.job.spec
	rec.FinalStatus, rec.Team, rec.Tasks = w.finalStatus, spec.Team, spec.Tasks
	if w.finalStatus == cluster.JobCancelled {
		rec.ResourceRequest = &spec.ResourceRequest
	}
}

// fillCompletedIndexes lists a chunk's tasks that are done. From the index it returns
// on, they did not fit.
func (w *jobWrite) fillCompletedIndexes(rec *jobRecord, chunk int) int {
	room := w.controller.config.MaxValueBytes * 9 / 10
	if chunk == 0 {
		rec.Spec = &w.job.spec
		v, _ := json.Marshal(rec)
		room -= len(v)
	}
	fits := 0
	rec.CompletedIndexes, fits = encodeCompleted(w.job.chunkStates(chunk), room)
	return fits
}

// handleStored takes in that the last record built is stored.
func (w *jobWrite) handleStored(e cluster.Revision) {
	j := w.job
	w.finish()
	for _, chunk := range w.writtenChunks {
		j.modRevisions[chunk] = cluster.ModRevision(e)
	}
	for _, i := range w.writtenTasks {
		j.taskStates[i] = taskCompletionStored
	}
	// Only now: a build whose transaction failed must be built again.
	j.recomputeDirtyChunks()
	if w.controller.jobs.owns(j) {
		w.controller.acknowledgeStoredTasks(j)
	}
	if w.finalStatus != "" {
		w.controller.deleteLeftoverChunks(j, w.writtenChunks)
		w.controller.handleJobEnd(j, w.finalStatus)
	} else if j.rewriteNeeded {
		w.controller.writeJob(j, writequeue.Outcome)
	}
}

// handleConflict follows a conflict with another writer.
func (w *jobWrite) handleConflict() {
	j := w.job
	w.finish()
	if !w.controller.jobs.owns(j) {
		return
	}
	if j.modRevisions[0] == 0 {
		w.controller.resolveFirstRecordConflict(j, w.priority)
		return
	}
	w.controller.giveUpCorruptShard(w.controller.shards[j.shard], j.chunkKey(0), "changed by another writer")
}

// handleTooLarge follows the store's refusal of a record by its length. The job was
// accepted under higher limits: its outcomes wait for its end, whose record is
// short.
func (w *jobWrite) handleTooLarge() {
	w.finish()
	w.job.recordTooLarge = true
}

// finish notes that the write is no longer under way.
func (w *jobWrite) finish() { w.job.writeQueued, w.job.endInFlight = false, false }

// deleteLeftoverChunks removes the outcomes of a job that is over which its last write had
// no room to remove.
func (c *Controller) deleteLeftoverChunks(j *job, wrote []int) {
	for k := 1; k < len(j.modRevisions); k++ {
		if j.modRevisions[k] != 0 && !slices.Contains(wrote, k) {
			c.deleteKeyInBackground(c.shards[j.shard], j.chunkKey(k), j.modRevisions[k])
		}
	}
}

// resolveFirstRecordConflict follows the conflict of a job's first own record: the job came in
// twice at once, and its other acceptance has written one. That says no more
// than the acceptance here.
func (c *Controller) resolveFirstRecordConflict(j *job, prio writequeue.Priority) {
	c.writeQueue.ReadKey(j.chunkKey(0), func(r messages.GetReply) {
		if !c.jobs.owns(j) || j.writeQueued || j.modRevisions[0] != 0 {
			return
		}
		var rec jobRecord
		switch {
		case r.Outcome != messages.OK:
			c.loop.After(second/2, func() { c.resolveFirstRecordConflict(j, prio) })
		case json.Unmarshal(r.KV.Value, &rec) != nil || rec.Spec == nil || rec.CompletedIndexes != "" || rec.FinalStatus != "":
			c.giveUpCorruptShard(c.shards[j.shard], j.chunkKey(0), "changed by another writer")
		default:
			j.modRevisions[0] = r.KV.ModRevision
			c.writeJob(j, prio)
		}
	})
}
