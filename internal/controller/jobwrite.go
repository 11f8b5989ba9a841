package controller

import (
	"encoding/json"
	"slices"

	"stairrelay/internal/state"

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
	job            *state.Job
	priority       writequeue.Priority
	eligibleChunks []int             // that it may set
	writtenChunks  []int             // chunks that it sets
	writtenTasks   []int             // tasks whose end it tells
	finalStatus    cluster.JobStatus // of the job, or ""
}

// writeJob stores what has become of a job's tasks, or its end.
func (c *Controller) writeJob(j *state.Job, prio writequeue.Priority) {
	if j.FinalStatus != "" {
		return
	}
	if j.WriteQueued {
		j.RewriteNeeded = true
		if prio < writequeue.Background {
			c.writeQueue.RaisePriority(j.ChunkKey(0), prio)
		}
		return
	}
	j.WriteQueued, j.RewriteNeeded = true, false
	keys, chunks := j.SelectWriteKeys(c.config.MaxTxnOps)
	w := &jobWrite{controller: c, job: j, priority: prio, eligibleChunks: chunks}
	c.writeQueue.Enqueue(prio, &writequeue.Write{
		ShardID:         j.ShardID,
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
	j.RewriteNeeded = false
	w.writtenChunks, w.writtenTasks, w.finalStatus = nil, nil, j.CurrentFinalStatus()
	j.EndInFlight = w.finalStatus != ""
	var ops []messages.TxnOp
	var marks []cluster.ModRevision
	for _, chunk := range w.eligibleChunks {
		if w.isChunkUnchanged(chunk) {
			continue
		}
		ops = append(ops, messages.TxnOp{Key: j.ChunkKey(chunk), Value: w.chunkRecord(chunk, nonce)})
		marks = append(marks, j.ModRevisions[chunk])
		w.writtenChunks = append(w.writtenChunks, chunk)
	}
	if len(ops) == 0 {
		j.WriteQueued = false
		return nil, nil
	}
	return ops, marks
}

// isChunkUnchanged tells whether a chunk needs no write: of a job that goes on one
// without new outcomes, of one that ends one that was never stored.
func (w *jobWrite) isChunkUnchanged(chunk int) bool {
	if w.finalStatus == "" {
		return !w.job.DirtyChunks[chunk]
	}
	return chunk > 0 && w.job.ModRevisions[chunk] == 0
}

// chunkRecord is what a chunk's key is set to; nil: it is removed. It notes the
// outcomes that the record tells.
func (w *jobWrite) chunkRecord(chunk int, nonce string) []byte {
	rec := jobRecord{WriteID: nonce}
	fits := state.TasksPerChunk
	if w.finalStatus != "" {
		w.fillFinalStatus(&rec)
	} else {
		fits = w.fillCompletedIndexes(&rec, chunk)
	}
	for i, taskState := range w.job.ChunkStates(chunk) {
		if taskState == state.TaskCompleted && i < fits {
			w.writtenTasks = append(w.writtenTasks, chunk*state.TasksPerChunk+i)
		}
	}
	if chunk > 0 && w.finalStatus != "" {
		return nil
	}
	v, _ := json.Marshal(rec)
	return v
}

func (w *jobWrite) fillFinalStatus(rec *jobRecord) {
	spec := &w.job.Spec
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
		rec.Spec = &w.job.Spec
		v, _ := json.Marshal(rec)
		room -= len(v)
	}
	fits := 0
	rec.CompletedIndexes, fits = state.EncodeCompleted(w.job.ChunkStates(chunk), room)
	return fits
}

// handleStored takes in that the last record built is stored.
func (w *jobWrite) handleStored(e cluster.Revision) {
	j := w.job
	w.finish()
	for _, chunk := range w.writtenChunks {
		j.ModRevisions[chunk] = cluster.ModRevision(e)
	}
	for _, i := range w.writtenTasks {
		j.TaskStates[i] = state.TaskCompletionStored
	}
	// Only now: a build whose transaction failed must be built again.
	j.RecomputeDirtyChunks()
	if w.controller.state.Jobs.Owns(j) {
		w.controller.acknowledgeStoredTasks(j)
	}
	if w.finalStatus != "" {
		w.controller.deleteLeftoverChunks(j, w.writtenChunks)
		w.controller.handleJobEnd(j, w.finalStatus)
	} else if j.RewriteNeeded {
		w.controller.writeJob(j, writequeue.Outcome)
	}
}

// handleConflict follows a conflict with another writer.
func (w *jobWrite) handleConflict() {
	j := w.job
	w.finish()
	if !w.controller.state.Jobs.Owns(j) {
		return
	}
	if j.ModRevisions[0] == 0 {
		w.controller.resolveFirstRecordConflict(j, w.priority)
		return
	}
	w.controller.ownership.GiveUpCorrupt(w.controller.state.Shards[j.ShardID], j.ChunkKey(0), "changed by another writer")
}

// handleTooLarge follows the store's refusal of a record by its length. The job was
// accepted under higher limits: its outcomes wait for its end, whose record is
// short.
func (w *jobWrite) handleTooLarge() {
	w.finish()
	w.job.RecordTooLarge = true
}

// finish notes that the write is no longer under way.
func (w *jobWrite) finish() { w.job.WriteQueued, w.job.EndInFlight = false, false }

// deleteLeftoverChunks removes the outcomes of a job that is over which its last write had
// no room to remove.
func (c *Controller) deleteLeftoverChunks(j *state.Job, wrote []int) {
	for k := 1; k < len(j.ModRevisions); k++ {
		if j.ModRevisions[k] != 0 && !slices.Contains(wrote, k) {
			c.writeQueue.DeleteInBackground(j.ShardID, j.ChunkKey(k), j.ModRevisions[k])
		}
	}
}

// resolveFirstRecordConflict follows the conflict of a job's first own record: the job came in
// twice at once, and its other acceptance has written one. That says no more
// than the acceptance here.
func (c *Controller) resolveFirstRecordConflict(j *state.Job, prio writequeue.Priority) {
	c.writeQueue.ReadKey(j.ChunkKey(0), func(r messages.GetReply) {
		if !c.state.Jobs.Owns(j) || j.WriteQueued || j.ModRevisions[0] != 0 {
			return
		}
		var rec jobRecord
		switch {
		case r.Outcome != messages.OK:
			c.loop.After(second/2, func() { c.resolveFirstRecordConflict(j, prio) })
		case json.Unmarshal(r.KV.Value, &rec) != nil || rec.Spec == nil || rec.CompletedIndexes != "" || rec.FinalStatus != "":
			c.ownership.GiveUpCorrupt(c.state.Shards[j.ShardID], j.ChunkKey(0), "changed by another writer")
		default:
			j.ModRevisions[0] = r.KV.ModRevision
			c.writeJob(j, prio)
		}
	})
}
