package core

import (
	"encoding/json"
	"slices"
	"strconv"
)

// A submission is accepted by a record in the store. Those that come in
// together share one: a record each would cost a put each, and when many come
// at once their users would wait for the write rate.

// acceptPrefix is where the records of jobs accepted together are stored.
const acceptPrefix = "accepts/"

// acceptWithin is how long a submission may wait for its record.
const acceptWithin = 3500 * milli

// acceptRecord is what accepts/<name> holds: jobs that came in together. A job
// has a record of its own, jobs/<id>, from its first outcome on; that one
// counts where both exist.
type acceptRecord struct {
	Jobs []acceptedJob `json:"j"`
	W    string        `json:"w"`
}

type acceptedJob struct {
	ID   JobID   `json:"id"`
	Spec JobSpec `json:"s"`
}

// acceptance is a submission that waits for its record.
type acceptance struct {
	spec     JobSpec
	respond  func(Respond)
	deadline Time // too late after that
	answered bool

	checked    bool            // whether another controller accepted the job
	unreadable bool            // that could not be read
	duplicates []func(Respond) // the same id once more, in the same record
	stored     func()          // answers, once it is stored
}

// finish answers when the job is stored and was looked for.
func (a *acceptance) finish() {
	if a.checked && a.stored != nil {
		a.stored()
	}
}

// answer tells the user, once.
func (a *acceptance) answer(r Respond) {
	if a.answered {
		return
	}
	a.answered = true
	a.respond(r)
	for _, respond := range a.duplicates {
		respond(r)
	}
}

// acceptances holds the submissions that wait for their record, and what is
// known of the records that accepted several jobs at once.
//
// A submission that has no answer yet is in waiting or belongs to one write.
// While any is waiting, at least one write is queued that will take it. The
// revision kept of a job is that of the first record that accepted it.
type acceptances struct {
	waiting      []*acceptance // not taken into a write yet
	unchecked    []*acceptance // to be checked for an acceptance by another controller
	queuedWrites int           // writes that have not taken their submissions yet
	names        int           // record names given so far
	revisions    map[JobID]Mark
	epoch        Epoch // what was stored until then is known
	loaded       bool  // all records were read at least once
}

// nextKey names the next record. The name is used once, as no other process
// has the same boot.
func (s *acceptances) nextKey(boot string) string {
	s.names++
	return acceptPrefix + boot + "-" + strconv.Itoa(s.names)
}

// add queues a submission; true: it needs a write of its own.
func (s *acceptances) add(a *acceptance) bool {
	s.waiting = append(s.waiting, a)
	return s.queuedWrites < len(s.waiting)
}

// knows tells whether a record of several is known to have accepted a job.
func (s *acceptances) knows(id JobID) bool { return s.revisions[id] > 0 }

// note takes in that a record of several with a revision accepted a job.
func (s *acceptances) note(id JobID, revision Mark) {
	if first := s.revisions[id]; first == 0 || revision < first {
		s.revisions[id] = revision
	}
}

// acceptedBefore tells whether an earlier record than that with a revision
// accepted a job.
func (s *acceptances) acceptedBefore(id JobID, revision Mark) bool {
	return s.knows(id) && s.revisions[id] < revision
}

// transactions is how many puts the waiting submissions need when each takes
// as many as a transaction may have.
func (s *acceptances) transactions(perPut int) float64 {
	return float64(len(s.waiting)) / float64(perPut)
}

// accept has a job stored and answers its submission then, or says that this
// took too long.
func (c *Core) accept(spec JobSpec, answer func(Respond)) {
	a := &acceptance{spec: spec, respond: answer, deadline: c.now + acceptWithin}
	c.after(acceptWithin, func() {
		a.answer(Respond{Status: ReplyUnavailable, RetryAfter: retrySoon, Error: "not stored in time"})
	})
	c.after(storeSlow+50*milli, func() {
		if !a.answered && c.storeHealth.silent(c.now) {
			c.forward(a.spec, a.answer)
		}
	})
	if c.acceptances.add(a) {
		c.writeAccepted()
	}
	c.checkOtherAcceptance(a)
}

// checkOtherAcceptance finds out whether another controller has accepted the
// job in a record of several, while its record here is being written: then this
// is a repeat, and is answered as one. A reading begun now shows all that its
// user can have been told. One serves the submissions of some milliseconds.
func (c *Core) checkOtherAcceptance(a *acceptance) {
	s := &c.acceptances
	s.unchecked = append(s.unchecked, a)
	if len(s.unchecked) > 1 {
		return
	}
	c.after(5*milli, func() {
		batch := s.unchecked
		s.unchecked = nil
		c.readAccepts(func(ok bool) {
			for _, a := range batch {
				a.checked, a.unreadable = true, !ok
				a.finish()
			}
		})
	})
}

// takeWaiting takes the submissions that still wait for an answer, as many as
// go into one record.
func (c *Core) takeWaiting() []*acceptance {
	s := &c.acceptances
	var batch []*acceptance
	size := 0
	for len(s.waiting) > 0 {
		a := s.waiting[0]
		if !a.answered && c.now <= a.deadline && !c.joinRepeat(a, batch) {
			v, _ := json.Marshal(a.spec)
			size += len(v) + len(a.spec.ID) + 20
			if len(batch) > 0 && size > c.cfg.ValueBytes*4/5 || len(batch) == c.cfg.TxnOps {
				break
			}
			batch = append(batch, a)
		}
		s.waiting = s.waiting[1:]
	}
	return batch
}

// joinRepeat answers a submission whose job is known meanwhile, or has it
// answered with the same id's submission of a batch; false: it is neither.
func (c *Core) joinRepeat(a *acceptance, batch []*acceptance) bool {
	id := a.spec.ID
	if c.jobs.known[id] != nil { // the same id came in twice at once
		c.repeat(a.answer, id)
		return true
	}
	i := slices.IndexFunc(batch, func(o *acceptance) bool { return o.spec.ID == id })
	if i < 0 {
		return false
	}
	batch[i].duplicates = append(batch[i].duplicates, func(r Respond) {
		if r.View != nil {
			c.repeat(a.answer, id)
		} else {
			a.answer(r)
		}
	})
	return true
}

// acceptanceWrite is a write that accepts the submissions it takes when its
// turn comes: one alone as the job's own record, several as one record, on
// condition that none of them is known.
type acceptanceWrite struct {
	core   *Core
	write  *write
	key    string // of the record of several
	taken  bool   // it has been built at least once
	batch  []*acceptance
	values [][]byte // a record of its own for each of the batch
}

// writeAccepted queues the write that takes the next waiting submissions.
func (c *Core) writeAccepted() {
	c.acceptances.queuedWrites++
	key := c.acceptances.nextKey(c.cfg.Boot)
	w := &acceptanceWrite{core: c, key: key}
	w.write = &write{
		part:     NoPart,
		keys:     []string{key},
		mostAlso: c.cfg.TxnOps,
		build:    w.build,
		ok:       w.stored,
		conflict: w.refused,
	}
	c.writer.add(prioAccept, w.write)
}

// build makes the record. It is called again where another write of its
// transaction was refused.
func (w *acceptanceWrite) build(nonce string) ([]TxnOp, []Mark) {
	s := &w.core.acceptances
	if !w.taken {
		w.taken = true
		s.queuedWrites--
	}
	s.waiting = append(w.batch, s.waiting...)
	w.batch, w.values = w.core.takeWaiting(), nil
	w.write.also, w.write.keys[0] = nil, w.key
	if len(s.waiting) > s.queuedWrites {
		w.core.writeAccepted()
	}
	if len(w.batch) == 0 {
		return nil, nil
	}
	var rec acceptRecord
	for _, a := range w.batch {
		v, _ := json.Marshal(jobRecord{Spec: &a.spec, W: nonce})
		w.values = append(w.values, v)
		rec.Jobs = append(rec.Jobs, acceptedJob{a.spec.ID, a.spec})
	}
	if len(w.batch) == 1 {
		w.write.keys[0] = jobKey(w.batch[0].spec.ID)
		return []TxnOp{{w.write.keys[0], w.values[0]}}, []Mark{0}
	}
	rec.W = nonce
	for _, a := range w.batch {
		w.write.also = append(w.write.also, Cond{jobKey(a.spec.ID), 0})
	}
	v, _ := json.Marshal(rec)
	return []TxnOp{{w.key, v}}, []Mark{0}
}

// stored takes in the jobs accepted and answers their users.
func (w *acceptanceWrite) stored(e Epoch) {
	revision := Mark(e)
	own := revision
	if len(w.batch) > 1 {
		own = 0 // of their own records, which don't exist yet
	}
	for i, a := range w.batch {
		if len(w.batch) > 1 {
			w.core.acceptances.note(a.spec.ID, revision)
		}
		kv := KV{Key: jobKey(a.spec.ID), Value: w.values[i], Mark: own}
		w.core.learnJob(kv, nil)
		w.core.tell(w.core.teams[a.spec.Team].part, kv)
		w.core.tellAwaited(&a.spec, kv)
		if w.write.unsure {
			// It may have been carried out long before this answer, and others may
			// have told more of it since.
			w.core.repeat(a.answer, a.spec.ID)
		}
	}
	if w.write.unsure {
		return
	}
	for _, a := range w.batch {
		a.stored = func() { w.core.answerAccepted(a, revision) }
		a.finish()
	}
}

// answerAccepted answers a submission that was stored with a revision: as new,
// unless an earlier record accepted it or that could not be read.
func (c *Core) answerAccepted(a *acceptance, revision Mark) {
	id := a.spec.ID
	if a.unreadable || c.acceptances.acceptedBefore(id, revision) {
		c.repeat(a.answer, id)
		return
	}
	v := JobView{ID: id, Status: StPending}
	if k := c.jobs.finished(id); k != nil {
		v = finalView(id, k)
	}
	a.answer(Respond{Status: ReplyAccepted, View: &v})
}

// refused follows a conflict: some of the batch are known. Each learns which by
// itself.
func (w *acceptanceWrite) refused() {
	for _, a := range w.batch {
		if a.answered {
			continue
		}
		if len(w.batch) == 1 {
			w.core.repeat(a.answer, a.spec.ID)
			continue
		}
		w.core.lookInStore(a.spec.ID, func(status ReplyStatus, v JobView) {
			switch {
			case a.answered:
			case status == ReplyOK:
				a.answer(Respond{Status: ReplyOK, View: &v})
			default: // not this one: it is tried again
				w.core.acceptances.add(a)
				w.core.writeAccepted()
			}
		})
	}
}

// learnAccepted takes in a record of jobs that were accepted together.
func (c *Core) learnAccepted(kv KV, loading *part) {
	if kv.Value == nil {
		return
	}
	c.signOfLife(kv)
	var rec acceptRecord
	if err := json.Unmarshal(kv.Value, &rec); err != nil {
		c.logf(LogError, "unreadable record", "key", kv.Key)
		return
	}
	for i := range rec.Jobs {
		j := &rec.Jobs[i]
		c.acceptances.note(j.ID, kv.Mark)
		v, _ := json.Marshal(jobRecord{Spec: &j.Spec})
		c.learnJob(KV{Key: jobKey(j.ID), Value: v}, loading)
	}
}

// loadAccepted learns of the jobs that were accepted together, then follows.
func (c *Core) loadAccepted() {
	s := &c.acceptances
	c.list(acceptPrefix, func(r ListReply) {
		if r.Out != OK {
			c.after(second, c.loadAccepted)
			return
		}
		for _, kv := range r.Items {
			c.learnAccepted(kv, nil)
		}
		s.epoch, s.loaded = r.Epoch, true
		c.follow(acceptPrefix, &s.epoch, 2*second, func(kv KV) { c.learnAccepted(kv, nil) }, c.loadAccepted)
	})
}

// catchUp calls fn with whether a job was accepted in a record of several, as
// the store shows it now: what changed since the last reading is read.
func (c *Core) catchUp(id JobID, fn func(known, ok bool)) {
	s := &c.acceptances
	if s.knows(id) {
		fn(true, true)
		return
	}
	if !s.loaded {
		fn(false, false)
		return
	}
	c.readAccepts(func(ok bool) { fn(s.knows(id), ok) })
}

// readAccepts reads the records of several that were stored since the last
// reading; fn gets whether that worked.
func (c *Core) readAccepts(fn func(bool)) {
	c.readSince(acceptPrefix, c.acceptances.epoch, func(r WatchReply) {
		for _, kv := range r.Items {
			c.learnAccepted(kv, nil)
		}
		fn(r.Out == OK)
	})
}
