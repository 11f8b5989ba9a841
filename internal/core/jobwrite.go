package core

import (
	"encoding/json"
	"slices"
)

// jobWrite is a write of what has become of a job: of its tasks, or its end.
//
// Its record is built when its turn comes, and anew when its transaction was
// refused for another write's sake. wrote, outcomes and end say what the last
// record built holds. A job has one write at a time.
type jobWrite struct {
	core     *Core
	job      *job
	prio     int
	chunks   []int  // that it may set
	wrote    []int  // chunks that it sets
	outcomes []int  // tasks whose end it tells
	end      Status // of the job, or ""
}

// writeJob stores what has become of a job's tasks, or its end.
func (c *Core) writeJob(j *job, prio int) {
	if j.final != "" {
		return
	}
	if j.writing {
		j.again = true
		if prio < prioLazy {
			c.writer.promote(j.key(0), prio)
		}
		return
	}
	j.writing, j.again = true, false
	keys, chunks := j.writeKeys(c.cfg.TxnOps)
	w := &jobWrite{core: c, job: j, prio: prio, chunks: chunks}
	c.writer.add(prio, &write{
		part:     j.part,
		keys:     keys,
		build:    w.build,
		ok:       w.stored,
		conflict: w.refused,
		tooLarge: w.tooLarge,
		lost:     w.over,
	})
}

// build makes the records of the chunks that have changed; of a job that ends,
// its own record and the removal of all others.
func (w *jobWrite) build(nonce string) ([]TxnOp, []Mark) {
	j := w.job
	j.again = false
	w.wrote, w.outcomes, w.end = nil, nil, j.endNow()
	j.ending = w.end != ""
	var ops []TxnOp
	var marks []Mark
	for _, chunk := range w.chunks {
		if w.unchanged(chunk) {
			continue
		}
		ops = append(ops, TxnOp{j.key(chunk), w.record(chunk, nonce)})
		marks = append(marks, j.marks[chunk])
		w.wrote = append(w.wrote, chunk)
	}
	if len(ops) == 0 {
		j.writing = false
		return nil, nil
	}
	return ops, marks
}

// endNow is the final state that a job is in by what is known here, or "".
func (j *job) endNow() Status {
	switch {
	case j.done == j.spec.Tasks:
		return StDone
	case j.cancelling:
		return StCancelled
	}
	return ""
}

// unchanged tells whether a chunk needs no write: of a job that goes on one
// without new outcomes, of one that ends one that was never stored.
func (w *jobWrite) unchanged(chunk int) bool {
	if w.end == "" {
		return !w.job.dirty[chunk]
	}
	return chunk > 0 && w.job.marks[chunk] == 0
}

// record is what a chunk's key is set to; nil: it is removed. It notes the
// outcomes that the record tells.
func (w *jobWrite) record(chunk int, nonce string) []byte {
	rec := jobRecord{W: nonce}
	fits := chunkTasks
	if w.end != "" {
		w.fillEnd(&rec)
	} else {
		fits = w.fillOutcomes(&rec, chunk)
	}
	for i, state := range w.job.chunk(chunk) {
		if state == tDone && i < fits {
			w.outcomes = append(w.outcomes, chunk*chunkTasks+i)
		}
	}
	if chunk > 0 && w.end != "" {
		return nil
	}
	v, _ := json.Marshal(rec)
	return v
}

func (w *jobWrite) fillEnd(rec *jobRecord) {
	spec := &w.job.spec
	rec.State, rec.Team, rec.Tasks = w.end, spec.Team, spec.Tasks
	if w.end == StCancelled {
		rec.Need = &spec.Need
	}
}

// fillOutcomes lists a chunk's tasks that are done. From the index it returns
// on, they did not fit.
func (w *jobWrite) fillOutcomes(rec *jobRecord, chunk int) int {
	room := w.core.cfg.ValueBytes * 9 / 10
	if chunk == 0 {
		rec.Spec = &w.job.spec
		v, _ := json.Marshal(rec)
		room -= len(v)
	}
	fits := 0
	rec.Done, fits = encodeDone(w.job.chunk(chunk), room)
	return fits
}

// stored takes in that the last record built is stored.
func (w *jobWrite) stored(e Epoch) {
	j := w.job
	w.over()
	for _, chunk := range w.wrote {
		j.marks[chunk] = Mark(e)
	}
	for _, i := range w.outcomes {
		j.state[i] = tStored
	}
	// Only now: a build whose transaction failed must be built again.
	j.findDirty()
	if w.core.jobs.holds(j) {
		w.core.releaseDone(j)
	}
	if w.end != "" {
		w.core.dropChunks(j, w.wrote)
		w.core.jobEnded(j, w.end)
	} else if j.again {
		w.core.writeJob(j, prioDone)
	}
}

// findDirty works out which chunks have outcomes that are not stored.
func (j *job) findDirty() {
	for chunk := range j.dirty {
		j.dirty[chunk] = false
	}
	for i, state := range j.state {
		if state == tDone {
			j.dirty[i/chunkTasks] = true
		}
	}
}

// refused follows a conflict with another writer.
func (w *jobWrite) refused() {
	j := w.job
	w.over()
	if !w.core.jobs.holds(j) {
		return
	}
	if j.marks[0] == 0 {
		w.core.ownRecord(j, w.prio)
		return
	}
	w.core.broken(w.core.parts[j.part], j.key(0), "changed by another writer")
}

// tooLarge follows the store's refusal of a record by its length. The job was
// accepted under higher limits: its outcomes wait for its end, whose record is
// short.
func (w *jobWrite) tooLarge() {
	w.over()
	w.job.tooLong = true
}

// over notes that the write is no longer under way.
func (w *jobWrite) over() { w.job.writing, w.job.ending = false, false }

// writeKeys picks the keys that a write of a job may set, within the changes that
// a transaction may have: its own record, and further chunks that have changed or
// exist. What does not fit has its turn in the next write.
func (j *job) writeKeys(ops int) ([]string, []int) {
	keys, chunks := []string{j.key(0)}, []int{0}
	for _, changed := range []bool{true, false} {
		for k := 1; k < len(j.marks) && len(keys) < ops; k++ {
			if j.dirty[k] == changed && (changed || j.marks[k] != 0) {
				keys, chunks = append(keys, j.key(k)), append(chunks, k)
			}
		}
	}
	return keys, chunks
}

// dropChunks removes the outcomes of a job that is over which its last write had
// no room to remove.
func (c *Core) dropChunks(j *job, wrote []int) {
	for k := 1; k < len(j.marks); k++ {
		if j.marks[k] != 0 && !slices.Contains(wrote, k) {
			c.dropKey(c.parts[j.part], j.key(k), j.marks[k])
		}
	}
}

// ownRecord follows the conflict of a job's first own record: the job came in
// twice at once, and its other acceptance has written one. That says no more
// than the acceptance here.
func (c *Core) ownRecord(j *job, prio int) {
	c.get(j.key(0), func(r GetReply) {
		if !c.jobs.holds(j) || j.writing || j.marks[0] != 0 {
			return
		}
		var rec jobRecord
		switch {
		case r.Out != OK:
			c.after(second/2, func() { c.ownRecord(j, prio) })
		case json.Unmarshal(r.KV.Value, &rec) != nil || rec.Spec == nil || rec.Done != "" || rec.State != "":
			c.broken(c.parts[j.part], j.key(0), "changed by another writer")
		default:
			j.marks[0] = r.KV.Mark
			c.writeJob(j, prio)
		}
	})
}
