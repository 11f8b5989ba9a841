package core

import (
	"encoding/base64"
	"encoding/json"
	"slices"
	"sort"
	"strconv"
	"strings"
)

// Task states inside a job.
const (
	tPending uint8 = iota
	tPlaced        // on, or on its way to, or perhaps still on, a machine
	tDone          // completed, not stored yet
	tStored        // completed and stored
)

// chunkTasks is how many tasks' outcomes one key holds. Chunk 0 lives in the
// job's own record, the others beside it, so that 100,000 tasks fit under any
// value limit from 4 KiB on.
const chunkTasks = 16384

// job of a part held here.
type job struct {
	spec   JobSpec
	part   Part
	marks  []Mark // per chunk
	dirty  []bool
	state  []uint8
	placed int
	done   int
	next   int // no pending task lies below
	where  map[int]*assign
	on     map[*assign]bool // all that machines list of it, ended and doubly listed tasks too

	final      Status // stored
	cancelling bool
	w          bool // a write is queued
	again      bool
	waiters    []func(Status)

	loading   int // chunks still to be read; nothing is placed before
	errors    int
	failedOn  map[MachineID]bool
	holdUntil Time
	preemptAt Time      // not before then again
	keeps     MachineID // kept free for it while it starves
	judged    bool
	owedFirst bool // it fitted into its team's guarantee when it came; for the log
	arrived   Time
	restarted map[int]bool // tasks that did not end at their first start
	runs      int          // tasks that ran to their end here, and their time in all
	runSum    float64
	firstRun  Time
	lastRun   Time
}

type jobRecord struct {
	Spec  *JobSpec `json:"s,omitempty"`
	Done  string   `json:"d,omitempty"`
	State Status   `json:"st,omitempty"`
	Team  string   `json:"tm,omitempty"`
	Tasks int      `json:"n,omitempty"`
	Need  *Res     `json:"r,omitempty"` // a cancelled job's tasks may still use quota
	W     string   `json:"w"`
}

func (j *job) key(chunk int) string {
	if chunk == 0 {
		return "jobs/" + string(j.spec.ID)
	}
	return "done/" + string(j.spec.ID) + "/" + strconv.Itoa(chunk)
}

func chunks(tasks int) int { return (tasks + chunkTasks - 1) / chunkTasks }

func newJob(spec JobSpec, part Part, mark Mark, now Time) *job {
	n := chunks(spec.Tasks)
	j := &job{spec: spec, part: part, marks: make([]Mark, n), dirty: make([]bool, n), state: make([]uint8, spec.Tasks),
		where: map[int]*assign{}, on: map[*assign]bool{}, failedOn: map[MachineID]bool{}, restarted: map[int]bool{}, arrived: now}
	j.marks[0] = mark
	return j
}

func (j *job) pending() int { return j.spec.Tasks - j.placed - j.done }

func (j *job) active() bool { return j.final == "" && !j.cancelling }

func (j *job) nextPending() int {
	for j.next < len(j.state) && j.state[j.next] != tPending {
		j.next++
	}
	if j.next == len(j.state) {
		return -1
	}
	return j.next
}

func (j *job) setPlaced(i int, a *assign) {
	j.state[i] = tPlaced
	j.placed++
	j.where[i] = a
}

// setPending makes a task that is on no machine any more wait again.
func (j *job) setPending(i int) {
	if j.state[i] != tPlaced {
		return
	}
	j.state[i] = tPending
	j.restarted[i] = true
	j.placed--
	delete(j.where, i)
	j.next = min(j.next, i)
}

func (j *job) setDone(i int) {
	switch j.state[i] {
	case tPlaced:
		j.placed--
		delete(j.where, i)
	case tPending:
	default:
		return
	}
	j.state[i] = tDone
	j.done++
	j.dirty[i/chunkTasks] = true
}

func (j *job) view() JobView {
	v := JobView{ID: j.spec.ID, Status: StPending, Done: j.done}
	switch {
	case j.final != "":
		v.Status = j.final
		return v
	default:
		for _, a := range j.where {
			if a.phase == aSeen {
				v.Running++
			}
		}
		if v.Running > 0 || j.done > 0 {
			v.Status = StRunning
		}
	}
	return v
}

// encodeDone writes which of the tasks [from, from+chunkTasks) are done, as
// ranges or as a bitmap, whichever is shorter.
func encodeDone(state []uint8) string {
	var b strings.Builder
	for i := 0; i < len(state); i++ {
		if state[i] < tDone {
			continue
		}
		k := i
		for k+1 < len(state) && state[k+1] >= tDone {
			k++
		}
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(i))
		if k > i {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(k))
		}
		i = k
	}
	if b.Len() <= len(state)/6+8 {
		return b.String()
	}
	bits := make([]byte, (len(state)+7)/8)
	for i, s := range state {
		if s >= tDone {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return "b" + base64.RawStdEncoding.EncodeToString(bits)
}

func decodeDone(s string, n int, set func(int)) bool {
	if strings.HasPrefix(s, "b") {
		bits, err := base64.RawStdEncoding.DecodeString(s[1:])
		if err != nil || len(bits) != (n+7)/8 {
			return false
		}
		for i := 0; i < n; i++ {
			if bits[i/8]&(1<<(i%8)) != 0 {
				set(i)
			}
		}
		return true
	}
	if s == "" {
		return true
	}
	for _, r := range strings.Split(s, ",") {
		lo, hi, two := strings.Cut(r, "-")
		a, err := strconv.Atoi(lo)
		z := a
		if err == nil && two {
			z, err = strconv.Atoi(hi)
		}
		if err != nil || a < 0 || z < a || z >= n {
			return false
		}
		for i := a; i <= z; i++ {
			set(i)
		}
	}
	return true
}

func (j *job) chunk(k int) []uint8 {
	return j.state[k*chunkTasks : min((k+1)*chunkTasks, len(j.state))]
}

// learnJob takes in a job's record from the store, a peer or the watch. With
// loading set, the part is being taken over and its record is the truth.
func (c *Core) learnJob(kv KV, loading *part) {
	id := JobID(strings.TrimPrefix(kv.Key, "jobs/"))
	if kv.Value == nil {
		return
	}
	var rec jobRecord
	if err := json.Unmarshal(kv.Value, &rec); err != nil {
		c.logf("error", "unreadable record", "key", kv.Key)
		return
	}
	name, tasks := rec.Team, rec.Tasks
	if rec.Spec != nil {
		name, tasks = rec.Spec.Team, rec.Spec.Tasks
	}
	t := c.teams[name]
	if t == nil || tasks < 1 {
		c.logf("error", "job record of no known team", "key", kv.Key)
		return
	}
	k := c.known[id]
	if k == nil {
		k = &knownJob{part: t.part, tasks: tasks, team: name}
		c.known[id] = k
	}
	if rec.Need != nil {
		k.need = *rec.Need
	}
	if rec.State.Final() {
		k.final = rec.State
		return
	}
	p := c.parts[t.part]
	if k.final != "" || !p.held || c.jobs[id] != nil || rec.Spec == nil {
		return
	}
	if !p.ready && p != loading {
		// The part is being read, but perhaps its jobs were read before this
		// one was stored: it is looked at again when the part is ready.
		p.early = append(p.early, kv)
		return
	}
	rec.Spec.ID = id
	j := newJob(*rec.Spec, t.part, kv.Mark, c.now)
	ok := decodeDone(rec.Done, len(j.chunk(0)), func(i int) {
		j.state[i] = tStored
		j.done++
	})
	if !ok {
		// A task that is started again after it was done ends at once, so to
		// take all of them for not done is safe.
		c.logf("info", "impossible record", "key", kv.Key, "why", "done ranges")
		j = newJob(*rec.Spec, t.part, kv.Mark, c.now)
	}
	c.addJob(j)
	c.placing = true
	c.rentSoon()
	for n := 1; n < len(j.marks); n++ {
		j.loading++
		c.loadChunk(j, n)
	}
	if j.loading == 0 && j.done == j.spec.Tasks {
		c.writeJob(j, prioAccept)
	}
}

// loadChunk reads a further chunk; the job is held back until it is known.
func (c *Core) loadChunk(j *job, n int) {
	c.get(j.key(n), func(r GetReply) {
		if c.jobs[j.spec.ID] != j {
			return
		}
		switch r.Out {
		case OK:
			var rec jobRecord
			base := n * chunkTasks
			if json.Unmarshal(r.KV.Value, &rec) != nil || !decodeDone(rec.Done, len(j.chunk(n)), func(i int) {
				if j.state[base+i] == tPending {
					j.state[base+i] = tStored
					j.done++
				}
			}) {
				c.logf("info", "impossible record", "key", r.KV.Key, "why", "done ranges")
			}
			j.marks[n] = r.KV.Mark
		case Missing:
		default:
			c.after(second/2, func() {
				if c.jobs[j.spec.ID] == j {
					c.loadChunk(j, n)
				}
			})
			return
		}
		j.loading--
		c.placing = true
		if j.loading == 0 && j.done == j.spec.Tasks {
			c.writeJob(j, prioAccept)
		}
	})
}

// loadJobs learns of all jobs and then follows the changes at an easy pace;
// it is the safety net under the messages between controllers.
func (c *Core) loadJobs() {
	c.list("jobs/", func(r ListReply) {
		if r.Out != OK {
			c.after(second, c.loadJobs)
			return
		}
		for _, kv := range r.Items {
			c.learnJob(kv, nil)
		}
		c.jobsEpoch = r.Epoch
		c.watchJobs()
	})
}

func (c *Core) watchJobs() {
	c.follow("jobs/", &c.jobsEpoch, 2*second, func(kv KV) {
		c.signOfLife(kv)
		c.learnJob(kv, nil)
	}, c.loadJobs)
}

// signOfLife notes which controller wrote a record that has just changed.
func (c *Core) signOfLife(kv KV) {
	if kv.Value == nil {
		return
	}
	boot := nonceBoot(nonceOf(kv.Value))
	for _, p := range c.peers {
		if p.boot == boot {
			p.wroteAt = c.now
		}
	}
}

func (c *Core) addJob(j *job) {
	c.jobs[j.spec.ID] = j
	p := c.parts[j.part]
	i := sort.Search(len(p.js), func(i int) bool { return p.js[i].spec.ID >= j.spec.ID })
	p.js = slices.Insert(p.js, i, j)
}

func (c *Core) removeJob(j *job) {
	delete(c.jobs, j.spec.ID)
	p := c.parts[j.part]
	if i := slices.Index(p.js, j); i >= 0 {
		p.js = slices.Delete(slices.Clone(p.js), i, i+1) // somebody may be walking the old list
	}
}

func (c *Core) dropJob(j *job) {
	c.removeJob(j)
	for _, fn := range j.waiters {
		fn("")
	}
	j.waiters = nil
}

// writeJob stores what has become of a job's tasks, or its end.
func (c *Core) writeJob(j *job, prio int) {
	if j.final != "" {
		return
	}
	if j.w {
		j.again = true
		if prio < prioLazy {
			c.w.promote(j.key(0), prio)
		}
		return
	}
	j.w, j.again = true, false
	keys := make([]string, len(j.marks))
	for k := range keys {
		keys[k] = j.key(k)
	}
	var snapshot []int
	var wrote []int
	var end Status
	c.w.add(prio, &write{
		part: j.part, keys: keys,
		build: func(nonce string) ([]TxnOp, []Mark) {
			j.again = false
			snapshot, wrote, end = nil, nil, ""
			switch {
			case j.done == j.spec.Tasks:
				end = StDone
			case j.cancelling:
				end = StCancelled
			}
			var ops []TxnOp
			var marks []Mark
			for k := range j.marks {
				if end == "" && !j.dirty[k] || k > 0 && end != "" && j.marks[k] == 0 {
					continue
				}
				rec := jobRecord{W: nonce}
				if end != "" {
					rec.State, rec.Team, rec.Tasks = end, j.spec.Team, j.spec.Tasks
					if end == StCancelled {
						rec.Need = &j.spec.Need
					}
				} else {
					rec.Done = encodeDone(j.chunk(k))
					if k == 0 {
						rec.Spec = &j.spec
					}
				}
				v, _ := json.Marshal(rec)
				if k > 0 && end != "" {
					v = nil
				}
				ops = append(ops, TxnOp{j.key(k), v})
				marks = append(marks, j.marks[k])
				wrote = append(wrote, k)
			}
			if len(ops) == 0 {
				j.w = false
				return nil, nil
			}
			for i, s := range j.state {
				if s == tDone {
					snapshot = append(snapshot, i)
				}
			}
			return ops, marks
		},
		ok: func(e Epoch) {
			j.w = false
			for _, k := range wrote {
				j.marks[k] = Mark(e)
			}
			for _, i := range snapshot {
				j.state[i] = tStored
			}
			// Only now: a build whose transaction failed must be built again.
			for k := range j.dirty {
				j.dirty[k] = false
			}
			for i, s := range j.state {
				if s == tDone {
					j.dirty[i/chunkTasks] = true
				}
			}
			if c.jobs[j.spec.ID] == j {
				c.releaseDone(j)
			}
			if end != "" {
				c.jobEnded(j, end)
			} else if j.again {
				c.writeJob(j, prioDone)
			}
		},
		conflict: func() {
			j.w = false
			if c.jobs[j.spec.ID] != j {
				return
			}
			if j.marks[0] == 0 {
				c.ownRecord(j, prio)
				return
			}
			c.broken(c.parts[j.part], j.key(0), "changed by another writer")
		},
		lost: func() { j.w = false },
	})
}

// ownRecord follows the conflict of a job's first own record: the job came in
// twice at once, and its other acceptance has written one. That says no more
// than the acceptance here.
func (c *Core) ownRecord(j *job, prio int) {
	c.get(j.key(0), func(r GetReply) {
		if c.jobs[j.spec.ID] != j || j.w || j.marks[0] != 0 {
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

// releaseDone lets machine records forget the tasks whose outcome is stored:
// they have exited, whoever owns the machine may reap them.
func (c *Core) releaseDone(j *job) {
	for a := range j.on {
		m := c.machines[a.mach]
		if m == nil || m.assigns[a.task] != a || m.unsure {
			continue
		}
		if a.phase == aEnded && a.cause == CauseDone && !a.gone && c.storedDone(a) {
			a.gone = true
			m.reap[a.start()] = true
		}
	}
}

// promote moves a queued write to a more urgent class.
func (w *writer) promote(key string, prio int) {
	for q := prio + 1; q < prios; q++ {
		for i, x := range w.queues[q] {
			if x.keys[0] == key {
				w.queues[q] = append(w.queues[q][:i:i], w.queues[q][i+1:]...)
				w.add(prio, x)
				return
			}
		}
	}
}

func (c *Core) jobEnded(j *job, end Status) {
	j.final = end
	if k := c.known[j.spec.ID]; k != nil {
		k.final = end
	}
	for _, fn := range j.waiters {
		fn(end)
	}
	j.waiters = nil
	if c.jobs[j.spec.ID] != j {
		return
	}
	c.logf("debug", "job over", "job", string(j.spec.ID), "status", string(end), "class", j.spec.Class, "team", j.spec.Team,
		"tasks", j.spec.Tasks, "first_run_s", int((j.firstRun-j.arrived)/second), "all_run_s", int((j.lastRun-j.arrived)/second),
		"took_s", int((c.now-j.arrived)/second), "run_s", int(j.spec.RuntimeS), "due_s", int(j.spec.DeadlineS), "cpu", float64(j.spec.Need.CPU)/1e6, "guaranteed", j.owedFirst)
	if end == StCancelled {
		c.stopAll(j)
	}
	c.placing = true
	if len(j.where) == 0 {
		c.removeJob(j)
	}
}

// checkpoint stores what can wait: outcomes of tasks whose job goes on, and
// machine records that list more than they need to.
func (c *Core) checkpoint() {
	for _, j := range c.heldJobs() {
		if j.w || j.final != "" {
			continue
		}
		for _, d := range j.dirty {
			if d {
				c.writeJob(j, prioLazy)
				break
			}
		}
	}
	c.checkpointGroups()
}

func (c *Core) heldJobs() []*job {
	var l []*job
	for _, p := range c.parts {
		l = append(l, p.js...)
	}
	return l
}

// --- users ---

func (c *Core) answerView(req ReqID, status int, v JobView) {
	c.emit(Respond{Req: req, Status: status, View: &v})
}

func finalView(id JobID, k *knownJob) JobView {
	v := JobView{ID: id, Status: k.final}
	if k.final == StDone {
		v.Done = k.tasks
	}
	return v
}

func viewOfRecord(kv KV, id JobID) (JobView, bool) {
	var rec jobRecord
	if json.Unmarshal(kv.Value, &rec) != nil {
		return JobView{}, false
	}
	v := JobView{ID: id, Status: StPending}
	if rec.State.Final() {
		v.Status = rec.State
		if rec.State == StDone {
			v.Done = rec.Tasks
		}
		return v, true
	}
	if rec.Spec == nil {
		return v, false
	}
	decodeDone(rec.Done, min(rec.Spec.Tasks, chunkTasks), func(int) { v.Done++ })
	if v.Done > 0 {
		v.Status = StRunning
	}
	return v, true
}

const retrySoon = 1

func (c *Core) onQuery(e Query) {
	c.lookUp(e.ID, func(status int, v JobView) {
		if status == 200 {
			c.answerView(e.Req, 200, v)
			return
		}
		after := 0
		if status == 503 {
			after = retrySoon
		}
		c.refuse(e.Req, status, after, "")
	})
}

// lookUp finds a job's state: a final one from memory, else from its owner,
// else from the store, which alone can say that there is no such job.
func (c *Core) lookUp(id JobID, fn func(int, JobView)) {
	k := c.known[id]
	if k != nil && k.final != "" {
		fn(200, finalView(id, k))
		return
	}
	if j := c.jobs[id]; j != nil {
		c.confirm(c.parts[j.part], func(good bool) {
			if k := c.known[id]; k != nil && k.final != "" {
				fn(200, finalView(id, k))
			} else if j := c.jobs[id]; good && j != nil {
				fn(200, j.view())
			} else {
				c.lookInStore(id, fn)
			}
		})
		return
	}
	if k != nil {
		if p := c.peers[c.parts[k.part].holder]; p != nil && !p.failed && !p.prone {
			c.askOwner(p, id, fn)
			return
		}
	}
	c.lookInStore(id, fn)
}

func (c *Core) lookInStore(id JobID, fn func(int, JobView)) {
	if c.storeLost(second) || c.w.reqs.have < -c.w.reqs.cap {
		fn(503, JobView{})
		return
	}
	c.get("jobs/"+string(id), func(r GetReply) {
		switch r.Out {
		case OK:
			c.learnJob(r.KV, nil)
			if v, ok := viewOfRecord(r.KV, id); ok {
				fn(200, v)
				return
			}
			fn(503, JobView{})
		case Missing:
			c.catchUp(id, func(known, ok bool) {
				switch {
				case !ok:
					fn(503, JobView{})
				case known:
					fn(200, JobView{ID: id, Status: StPending})
				default:
					fn(404, JobView{})
				}
			})
		default:
			fn(503, JobView{})
		}
	})
}

type waitingView struct {
	id JobID
	fn func(int, JobView)
}

// askOwner gathers the questions of some milliseconds into one message.
func (c *Core) askOwner(p *peer, id JobID, fn func(int, JobView)) {
	c.askQueue[p.id] = append(c.askQueue[p.id], waitingView{id, fn})
	if c.askPending[p.id] {
		return
	}
	c.askPending[p.id] = true
	c.after(50*milli, func() {
		c.askPending[p.id] = false
		q := c.askQueue[p.id]
		delete(c.askQueue, p.id)
		ids := make([]JobID, len(q))
		for i, x := range q {
			ids[i] = x.id
		}
		c.ask(p.id, 800*milli, PeerMsg{Ask: &Ask{IDs: ids}}, func(r PeerReply) {
			got := map[JobID]JobView{}
			if r.Out == OK {
				for _, v := range r.Msg.Views {
					got[v.ID] = v
				}
			}
			for _, x := range q {
				if v, ok := got[x.id]; ok {
					if k := c.known[x.id]; k != nil && v.Status.Final() {
						k.final = v.Status
					}
					x.fn(200, v)
				} else {
					c.lookInStore(x.id, x.fn)
				}
			}
		})
	})
}

// answerAsk answers what this node can vouch for and leaves out the rest.
func (c *Core) answerAsk(ids []JobID, fn func([]JobView)) {
	byPart := map[Part]bool{}
	for _, id := range ids {
		if j := c.jobs[id]; j != nil {
			byPart[j.part] = true
		}
	}
	left := 1
	good := map[Part]bool{}
	finish := func() {
		if left--; left > 0 {
			return
		}
		var out []JobView
		for _, id := range ids {
			if k := c.known[id]; k != nil && k.final != "" {
				out = append(out, finalView(id, k))
			} else if j := c.jobs[id]; j != nil && good[j.part] {
				out = append(out, j.view())
			}
		}
		fn(out)
	}
	for _, p := range c.parts {
		if byPart[p.id] {
			left++
			c.confirm(p, func(ok bool) {
				good[p.id] = ok
				finish()
			})
		}
	}
	finish()
}

func (c *Core) onSubmit(e Submit) {
	id := e.Job.ID
	if c.known[id] != nil {
		c.repeat(e.Req, id)
		return
	}
	if c.storeLost(second) {
		c.refuse(e.Req, 503, 2, "store out of reach")
		return
	}
	bad := e.Bad
	if bad == 0 {
		if len(c.types) == 0 {
			c.refuse(e.Req, 503, 2, "machine types not known yet")
			return
		}
		bad = c.neverRuns(&e.Job)
	}
	if bad != 0 {
		// An accepted id never gets 400 or 422 later, whatever the repeat says.
		c.lookInStore(id, func(status int, v JobView) {
			switch status {
			case 200:
				c.answerView(e.Req, 200, v)
			case 404:
				c.refuse(e.Req, bad, 0, e.Why)
			default:
				c.refuse(e.Req, 503, 2, "store out of reach")
			}
		})
		return
	}
	if after := c.overloaded(e.Job.Priority); after > 0 {
		c.refuse(e.Req, 429, after, "too many submissions of this priority")
		return
	}
	e.Job.Submitted = c.wall
	a := &acceptance{spec: e.Job, req: e.Req, given: c.now + 3500*milli}
	c.after(3500*milli, func() {
		if !a.over {
			a.over = true
			c.refuse(a.req, 503, retrySoon, "not stored in time")
		}
	})
	c.accepting = append(c.accepting, a)
	if c.acceptWrites < len(c.accepting) {
		c.writeAccepted()
	}
}

// acceptance is a submission that waits for its record.
type acceptance struct {
	spec  JobSpec
	req   ReqID
	given Time // too late after that
	over  bool // answered
}

// acceptRecord is what accepts/<name> holds: jobs that came in together. A
// record each would cost a put each, and when many come at once their users
// would wait for the write rate. A job has a record of its own, jobs/<id>, from
// its first outcome on; that one counts where both exist.
type acceptRecord struct {
	Jobs []acceptedJob `json:"j"`
	W    string        `json:"w"`
}

type acceptedJob struct {
	ID   JobID   `json:"id"`
	Spec JobSpec `json:"s"`
}

const acceptPrefix = "accepts/"

// takeAccepting takes the submissions that still wait for an answer, as many
// as go into one record.
func (c *Core) takeAccepting() []*acceptance {
	var l []*acceptance
	size := 0
	for len(c.accepting) > 0 {
		a := c.accepting[0]
		if !a.over && c.now <= a.given {
			if c.known[a.spec.ID] != nil { // the same id came in twice at once
				a.over = true
				c.repeat(a.req, a.spec.ID)
			} else {
				v, _ := json.Marshal(a.spec)
				size += len(v) + len(a.spec.ID) + 20
				if len(l) > 0 && size > c.cfg.ValueBytes*4/5 || len(l) == c.cfg.TxnOps {
					break
				}
				l = append(l, a)
			}
		}
		c.accepting = c.accepting[1:]
	}
	return l
}

// writeAccepted queues the write that takes the next waiting submissions: one
// alone as the job's own record, several as one record, on condition that none
// of them is known.
func (c *Core) writeAccepted() {
	c.acceptWrites++
	c.acceptSeq++
	key := acceptPrefix + c.cfg.Boot + "-" + strconv.Itoa(c.acceptSeq)
	var jobs []*acceptance
	var values [][]byte
	x := &write{part: NoPart, keys: []string{key}}
	x.build = func(nonce string) ([]TxnOp, []Mark) {
		c.acceptWrites--
		jobs, values, x.also = c.takeAccepting(), nil, nil
		if len(c.accepting) > c.acceptWrites {
			c.writeAccepted()
		}
		if len(jobs) == 0 {
			return nil, nil
		}
		var rec acceptRecord
		for _, a := range jobs {
			v, _ := json.Marshal(jobRecord{Spec: &a.spec, W: nonce})
			values = append(values, v)
			rec.Jobs = append(rec.Jobs, acceptedJob{a.spec.ID, a.spec})
		}
		if len(jobs) == 1 {
			x.keys[0] = "jobs/" + string(jobs[0].spec.ID)
			return []TxnOp{{x.keys[0], values[0]}}, []Mark{0}
		}
		rec.W = nonce
		for _, a := range jobs {
			x.also = append(x.also, Cond{"jobs/" + string(a.spec.ID), 0})
		}
		v, _ := json.Marshal(rec)
		return []TxnOp{{key, v}}, []Mark{0}
	}
	x.ok = func(e Epoch) {
		mark := Mark(e)
		if len(jobs) > 1 {
			mark = 0 // of their own records, which don't exist yet
		}
		for i, a := range jobs {
			id := a.spec.ID
			kv := KV{Key: "jobs/" + string(id), Value: values[i], Mark: mark}
			c.learnJob(kv, nil)
			c.tell(c.teams[a.spec.Team].part, kv)
			if !a.over {
				a.over = true
				c.answerView(a.req, 201, JobView{ID: id, Status: StPending})
			}
		}
	}
	x.conflict = func() {
		// Some of them are known. Each learns which by itself.
		for _, a := range jobs {
			if a.over {
				continue
			}
			if len(jobs) == 1 {
				a.over = true
				c.repeat(a.req, a.spec.ID)
				continue
			}
			c.lookInStore(a.spec.ID, func(status int, v JobView) {
				switch {
				case a.over:
				case status == 200:
					a.over = true
					c.answerView(a.req, 200, v)
				default: // not this one: it is tried again
					c.accepting = append(c.accepting, a)
					c.writeAccepted()
				}
			})
		}
	}
	c.w.add(prioAccept, x)
}

// learnAccepted takes in a record of jobs that were accepted together.
func (c *Core) learnAccepted(kv KV, loading *part) {
	if kv.Value == nil {
		return
	}
	c.signOfLife(kv)
	var rec acceptRecord
	if err := json.Unmarshal(kv.Value, &rec); err != nil {
		c.logf("error", "unreadable record", "key", kv.Key)
		return
	}
	for i := range rec.Jobs {
		j := &rec.Jobs[i]
		c.accepted[j.ID] = true
		v, _ := json.Marshal(jobRecord{Spec: &j.Spec})
		c.learnJob(KV{Key: "jobs/" + string(j.ID), Value: v}, loading)
	}
}

// loadAccepted learns of the jobs that were accepted together, then follows.
func (c *Core) loadAccepted() {
	c.list(acceptPrefix, func(r ListReply) {
		if r.Out != OK {
			c.after(second, c.loadAccepted)
			return
		}
		for _, kv := range r.Items {
			c.learnAccepted(kv, nil)
		}
		c.acceptsEpoch, c.acceptsRead = r.Epoch, true
		c.follow(acceptPrefix, &c.acceptsEpoch, 2*second, func(kv KV) { c.learnAccepted(kv, nil) }, c.loadAccepted)
	})
}

// catchUp calls fn with whether a job was accepted in a record of several, as
// the store shows it now: what changed since the last reading is read.
func (c *Core) catchUp(id JobID, fn func(known, ok bool)) {
	if c.accepted[id] {
		fn(true, true)
		return
	}
	if !c.acceptsRead {
		fn(false, false)
		return
	}
	c.w.reqs.have--
	c.counters.Gets++
	c.emit(StoreWatch{Call: c.call(func(b any) {
		r := b.(WatchReply)
		if r.Out != OK {
			fn(false, false)
			return
		}
		for _, kv := range r.Items {
			c.learnAccepted(kv, nil)
		}
		fn(c.accepted[id], true)
	}), Prefix: acceptPrefix, Since: c.acceptsEpoch})
}

// overloaded decides for all jobs of a priority alike whether submissions can
// be taken: the longer those accepted wait for the write budget, the more
// priorities are refused, least important first. It returns when to come back.
func (c *Core) overloaded(prio Priority) int {
	// A put takes several when many wait.
	wait := (float64(len(c.w.queues[prioAccept])) + float64(len(c.accepting))/float64(c.cfg.TxnOps)) / max(c.w.puts.rate, 1)
	limit := [...]float64{BestEffort: 1, Normal: 1.5, Urgent: 2.5, Production: 3}[prio]
	if wait <= limit {
		return 0
	}
	return min(30, 1+int(2*wait))
}

// repeat answers a submission of a job that is known already.
func (c *Core) repeat(req ReqID, id JobID) {
	c.lookUp(id, func(status int, v JobView) {
		if status == 200 {
			c.answerView(req, 200, v)
			return
		}
		c.refuse(req, 503, retrySoon, "")
	})
}

// neverRuns returns 422 for a job that no machine or quota could ever take.
func (c *Core) neverRuns(s *JobSpec) int {
	t := c.teams[s.Team]
	if t == nil || s.Need.CPU > t.Limit.CPU || s.Need.GPU > t.Limit.GPU {
		return 422
	}
	for _, name := range sortedKeys(c.types) {
		if c.allows(s, c.types[name], "") {
			return 0
		}
	}
	return 422
}

// allows tells whether a type, and with it one of its zones, is allowed for a
// job's tasks and large enough for one.
func (c *Core) allows(s *JobSpec, t MachineType, zone string) bool {
	if !s.Need.fits(t.Cap) {
		return false
	}
	if len(s.Types) > 0 && !has(s.Types, t.Name) {
		return false
	}
	if s.Zone == "" {
		return true
	}
	if zone == "" {
		return has(t.Zones, s.Zone)
	}
	return zone == s.Zone
}

func has(l []string, s string) bool {
	for _, x := range l {
		if x == s {
			return true
		}
	}
	return false
}

func (c *Core) onCancel(req ReqID, id JobID, first bool) {
	answer := func(s Status) {
		if s == "" {
			c.refuse(req, 503, retrySoon, "")
			return
		}
		v := JobView{ID: id, Status: s}
		c.answerView(req, 200, v)
	}
	k := c.known[id]
	switch {
	case k != nil && k.final != "":
		answer(k.final)
	case k != nil && c.parts[k.part].held:
		c.cancelHere(id, func(status int, v *JobView) {
			if v == nil {
				answer("")
				return
			}
			answer(v.Status)
		})
	case k != nil:
		p := c.peers[c.parts[k.part].holder]
		if p == nil || p.failed {
			answer("")
			return
		}
		c.ask(p.id, 3*second, PeerMsg{Cancel: id}, func(r PeerReply) {
			if r.Out == OK && len(r.Msg.Views) == 1 {
				if s := r.Msg.Views[0].Status; s.Final() {
					k.final = s
					answer(s)
					return
				}
			}
			answer("")
		})
	default:
		c.lookInStore(id, func(status int, v JobView) {
			switch {
			case status == 200 && v.Status.Final():
				answer(v.Status)
			case status == 200 && first:
				c.onCancel(req, id, false)
			case status == 404:
				c.refuse(req, 404, 0, "")
			default:
				answer("")
			}
		})
	}
}

// cancelHere cancels a job of a part held here; told only after it is stored.
func (c *Core) cancelHere(id JobID, fn func(int, *JobView)) {
	if k := c.known[id]; k != nil && k.final != "" {
		fn(200, &JobView{ID: id, Status: k.final})
		return
	}
	j := c.jobs[id]
	if j == nil || !c.parts[j.part].ready {
		fn(503, nil)
		return
	}
	over := false
	done := func(s Status) {
		if over {
			return
		}
		over = true
		if s == "" {
			fn(503, nil)
			return
		}
		fn(200, &JobView{ID: id, Status: s})
	}
	c.after(2800*milli, func() { done("") })
	j.waiters = append(j.waiters, done)
	if !j.cancelling {
		j.cancelling = true
		c.unplan(j)
	}
	c.writeJob(j, prioAccept)
}
