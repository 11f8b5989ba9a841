package core

import (
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
	cancelling bool   // its user has asked for that, or it is stored
	ending     bool   // a write of its end is under way: it may be carried out already
	writing    bool   // a write is queued
	again      bool
	waiters    []func(Status)

	loading   int // chunks still to be read; nothing is placed before
	errors    int
	tooLong   bool // its record with what it asks for is more than the store takes now
	outcomeAt Time // not written before, while starts wait for their records: each interval's would take their puts
	failedOn  map[MachineID]bool
	prio      Priority // its own, or that of a job that needs it
	holdUntil Time
	preemptAt Time      // not before then again
	keeps     MachineID // kept free for it while it starves
	judged    bool
	owedFirst bool // it fitted into its team's guarantee when it came; for the log
	arrived   Time
	waiting   bool         // for jobs that it awaits
	since     Wall         // its aims' times count from then: its submission, or its release
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

// jobPrefix is where the jobs' own records are stored.
const jobPrefix = "jobs/"

// jobKey is the key of a job's own record.
func jobKey(id JobID) string { return jobPrefix + string(id) }

func (j *job) key(chunk int) string {
	if chunk == 0 {
		return jobKey(j.spec.ID)
	}
	return "done/" + string(j.spec.ID) + "/" + strconv.Itoa(chunk)
}

func chunks(tasks int) int { return (tasks + chunkTasks - 1) / chunkTasks }

func newJob(spec JobSpec, part Part, mark Mark, now Time) *job {
	n := chunks(spec.Tasks)
	j := &job{spec: spec, part: part, marks: make([]Mark, n), dirty: make([]bool, n), state: make([]uint8, spec.Tasks),
		where: map[int]*assign{}, on: map[*assign]bool{}, failedOn: map[MachineID]bool{}, restarted: map[int]bool{}, arrived: now, since: spec.Submitted, prio: spec.Priority}
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

func (j *job) chunk(k int) []uint8 {
	return j.state[k*chunkTasks : min((k+1)*chunkTasks, len(j.state))]
}

// learnJob takes in a job's record from the store, a peer or the watch. With
// loading set, the part is being taken over and its record is the truth.
func (c *Core) learnJob(kv KV, loading *part) {
	id := JobID(strings.TrimPrefix(kv.Key, jobPrefix))
	if kv.Value == nil {
		return
	}
	var rec jobRecord
	if err := json.Unmarshal(kv.Value, &rec); err != nil {
		c.logf(LogError, "unreadable record", "key", kv.Key)
		return
	}
	name, tasks := rec.Team, rec.Tasks
	if rec.Spec != nil {
		name, tasks = rec.Spec.Team, rec.Spec.Tasks
	}
	t := c.teams[name]
	if t == nil || tasks < 1 {
		c.logf(LogError, "job record of no known team", "key", kv.Key)
		return
	}
	k := c.jobs.learn(id, t.part, name, tasks)
	if rec.Need != nil {
		k.need = *rec.Need
	}
	if rec.State.Final() {
		k.stored = true
		c.settle(id, k, rec.State)
		return
	}
	if rec.Spec != nil && k.final == "" {
		c.learnAwaits(id, k, rec.Spec)
	}
	p := c.parts[t.part]
	implied := k.final == StCancelled && !k.stored && len(k.awaits) > 0 // its own record has to follow
	if k.final != "" && !implied || !p.held || c.jobs.held[id] != nil || rec.Spec == nil {
		return
	}
	if !p.ready && p != loading {
		// The part is being read, but perhaps its jobs were read before this
		// one was stored: it is looked at again when the part is ready.
		p.early = append(p.early, kv)
		return
	}
	rec.Spec.ID = id
	c.holdJob(c.jobOfRecord(kv, &rec, t.part), k, implied)
}

// jobOfRecord makes a job of its own record.
func (c *Core) jobOfRecord(kv KV, rec *jobRecord, part Part) *job {
	j := newJob(*rec.Spec, part, kv.Mark, c.now)
	ok := decodeDone(rec.Done, len(j.chunk(0)), func(i int) {
		j.state[i] = tStored
		j.done++
	})
	if ok {
		return j
	}
	// A task that is started again after it was done ends at once, so to
	// take all of them for not done is safe.
	c.logf(LogInfo, "impossible record", "key", kv.Key, "why", "done ranges")
	return newJob(*rec.Spec, part, kv.Mark, c.now)
}

// holdJob begins to serve a job of a part held here. Where its cancellation is
// implied by that of one that it needs, only its own record has to follow.
func (c *Core) holdJob(j *job, k *knownJob, implied bool) {
	j.prio = max(j.prio, k.prio)
	c.addJob(j)
	if implied {
		c.cancelImplied(j)
		return
	}
	c.release(j)
	c.placement.request()
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
		if !c.jobs.holds(j) {
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
				c.logf(LogInfo, "impossible record", "key", r.KV.Key, "why", "done ranges")
			}
			j.marks[n] = r.KV.Mark
		case Missing:
		default:
			c.after(second/2, func() {
				if c.jobs.holds(j) {
					c.loadChunk(j, n)
				}
			})
			return
		}
		j.loading--
		c.placement.request()
		if j.loading == 0 && j.done == j.spec.Tasks {
			c.writeJob(j, prioAccept)
		}
	})
}

// loadJobs learns of all jobs and then follows the changes at an easy pace;
// it is the safety net under the messages between controllers.
func (c *Core) loadJobs() {
	c.list(jobPrefix, func(r ListReply) {
		if r.Out != OK {
			c.after(second, c.loadJobs)
			return
		}
		for _, kv := range r.Items {
			c.learnJob(kv, nil)
		}
		c.jobs.epoch = r.Epoch
		c.watchJobs()
	})
}

func (c *Core) watchJobs() {
	c.follow(jobPrefix, &c.jobs.epoch, 2*second, func(kv KV) {
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
	c.jobs.held[j.spec.ID] = j
	p := c.parts[j.part]
	i := sort.Search(len(p.jobs), func(i int) bool { return p.jobs[i].spec.ID >= j.spec.ID })
	p.jobs = slices.Insert(p.jobs, i, j)
	p.order = nil
}

func (c *Core) removeJob(j *job) {
	delete(c.jobs.held, j.spec.ID)
	p := c.parts[j.part]
	if i := slices.Index(p.jobs, j); i >= 0 {
		p.jobs = slices.Delete(slices.Clone(p.jobs), i, i+1) // somebody may be walking the old list
		p.order = slices.DeleteFunc(slices.Clone(p.order), func(x *job) bool { return x == j })
	}
}

func (c *Core) dropJob(j *job) {
	c.removeJob(j)
	for _, fn := range j.waiters {
		fn("")
	}
	j.waiters = nil
}

// releaseDone lets machine records forget the tasks whose outcome is stored:
// they have exited, whoever owns the machine may reap them.
func (c *Core) releaseDone(j *job) {
	for a := range j.on {
		m := c.machines[a.mach]
		if m == nil || m.assigns[a.task] != a || m.unsure {
			continue
		}
		switch {
		case !a.completed() || a.gone || !c.storedDone(a):
		case a.unlisted:
			c.removeAssign(m, a)
		default:
			m.markGone(a)
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
	if k := c.jobs.known[j.spec.ID]; k != nil {
		k.stored = true
		c.settle(j.spec.ID, k, end)
		c.tellDependents(j.spec.ID, k)
	}
	for _, fn := range j.waiters {
		fn(end)
	}
	j.waiters = nil
	if !c.jobs.holds(j) {
		return
	}
	c.logf(LogDebug, "job over", "job", string(j.spec.ID), "status", string(end), "class", j.spec.Class, "team", j.spec.Team,
		"tasks", j.spec.Tasks, "first_run_s", int((j.firstRun-j.arrived)/second), "all_run_s", int((j.lastRun-j.arrived)/second),
		"took_s", int((c.now-j.arrived)/second), "run_s", int(j.spec.RuntimeS), "due_s", int(j.spec.DeadlineS), "cpu", float64(j.spec.Need.CPU)/1e6, "guaranteed", j.owedFirst)
	if end == StCancelled {
		c.stopAll(j)
	}
	c.placement.request()
	if len(j.where) == 0 {
		c.removeJob(j)
	}
}

// checkpoint stores what can wait: outcomes of tasks whose job goes on, and
// machine records that list more than they need to.
func (c *Core) checkpoint() {
	for _, j := range c.heldJobs() {
		if j.writing || j.final != "" || j.tooLong || c.now < j.outcomeAt && len(c.writer.queues[prioStart]) > 0 {
			continue
		}
		for _, d := range j.dirty {
			if d {
				j.outcomeAt = c.now + 4*c.cfg.Tuning.Checkpoint
				c.writeJob(j, prioLazy)
				break
			}
		}
	}
	c.checkpointGroups()
	c.watchProgress()
}

func (c *Core) heldJobs() []*job {
	var l []*job
	for _, p := range c.parts {
		l = append(l, p.jobs...)
	}
	return l
}
