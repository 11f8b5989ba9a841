package core

import (
	"encoding/json"
	"slices"
	"strconv"
)

// What users ask: submissions, questions, cancellations.

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
			} else if j := c.jobs[id]; good && j != nil && !j.ending {
				c.unfinished(id, j.view(), fn)
			} else { // another may have read and told an end that is on its way here
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
	if c.storeLost(second) || c.w.reqs.Level() < -c.w.reqs.Capacity() {
		fn(503, JobView{})
		return
	}
	c.get("jobs/"+string(id), func(r GetReply) {
		switch r.Out {
		case OK:
			c.learnJob(r.KV, nil)
			v, ok := viewOfRecord(r.KV, id)
			switch {
			case !ok:
				fn(503, JobView{})
			case v.Status.Final():
				fn(200, v)
			default:
				c.unfinished(id, v, fn)
			}
		case Missing:
			c.catchUp(id, func(known, ok bool) {
				switch {
				case !ok:
					fn(503, JobView{})
				case known:
					c.unfinished(id, JobView{ID: id, Status: StPending}, fn)
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
						c.settle(x.id, k, v.Status)
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
	fresh := false
	finish := func() {
		if left--; left > 0 {
			return
		}
		var out []JobView
		for _, id := range ids {
			if k := c.known[id]; k != nil && k.final != "" {
				out = append(out, finalView(id, k))
			} else if j := c.jobs[id]; j != nil && good[j.part] && !j.ending && (fresh || !c.unreleased(id)) {
				out = append(out, j.view())
			}
		}
		fn(out)
	}
	if slices.ContainsFunc(ids, func(id JobID) bool { return c.jobs[id] != nil && c.unreleased(id) }) {
		left++
		c.freshen(func(ok bool) {
			fresh = ok
			finish()
		})
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
	answer := func(r Respond) {
		if r.View == nil {
			c.logf("debug", "submission refused", "job", string(e.Job.ID), "status", r.Status, "why", r.Error)
		}
		r.Req = e.Req
		c.emit(r)
	}
	if c.known[e.Job.ID] == nil && e.Bad == 0 && (c.storeSilent() || len(c.types) == 0) && c.handOn(e.Job, answer) {
		return
	}
	c.submit(e.Job, e.Bad, e.Why, answer)
}

// handOn passes a submission to another controller, where this one has lost
// the store or does not know the machine types yet: any of them may store it, and its user would else come back
// to this one until the load balancer has noticed. It is answered as that
// controller says; a doubled one finds the job known. False: nobody can.
func (c *Core) handOn(spec JobSpec, answer func(Respond)) bool {
	n := len(c.cfg.Nodes)
	for i := 1; i < n; i++ {
		p := c.peers[c.cfg.Nodes[(slices.Index(c.cfg.Nodes, c.cfg.Self)+i)%n]]
		if p == nil || p.failed || p.prone || !p.heard || c.now-p.pingAt > 2*second || !p.ping.StoreOK ||
			len(spec.Awaits) > 0 && p.ping.Level < pipelineLevel { // it would start it at once
			continue
		}
		c.ask(p.id, 2500*milli, PeerMsg{Submit: &HandedOn{spec.ID, spec}}, func(r PeerReply) {
			switch {
			case r.Out != OK:
				answer(Respond{Status: 503, RetryAfter: retrySoon, Error: "store out of reach"})
			case len(r.Msg.Views) == 1:
				if t := c.teams[spec.Team]; t != nil && c.known[spec.ID] == nil {
					c.known[spec.ID] = &knownJob{part: t.part, tasks: spec.Tasks, team: spec.Team}
				}
				answer(Respond{Status: r.Msg.Status, View: &r.Msg.Views[0]})
			default:
				answer(Respond{Status: r.Msg.Status, RetryAfter: r.Msg.After, Error: r.Msg.Why})
			}
		})
		return true
	}
	return false
}

// submit takes a job, or says why not; what is accepted is stored first.
func (c *Core) submit(spec JobSpec, bad int, why string, answer func(Respond)) {
	c.take(spec, bad, why, false, answer)
}

// take is submit; checked tells whether what the job awaits was looked up.
func (c *Core) take(spec JobSpec, bad int, why string, checked bool, answer func(Respond)) {
	id := spec.ID
	if c.known[id] != nil {
		c.repeat(answer, id)
		return
	}
	refuse := func(status, after int, why string) {
		answer(Respond{Status: status, RetryAfter: after, Error: why})
	}
	if c.storeLost(second) {
		refuse(503, 2, "store out of reach")
		return
	}
	if bad == 0 {
		if len(c.types) == 0 {
			refuse(503, 2, "machine types not known yet")
			return
		}
		bad = c.neverRuns(&spec)
	}
	if bad != 0 {
		// An accepted id never gets 400 or 422 later, whatever the repeat says.
		c.lookInStore(id, func(status int, v JobView) {
			switch status {
			case 200:
				answer(Respond{Status: 200, View: &v})
			case 404:
				refuse(bad, 0, why)
			default:
				refuse(503, 2, "store out of reach")
			}
		})
		return
	}
	if len(spec.Awaits) > 0 && !checked {
		c.checkAwaits(&spec, func(status int) {
			switch status {
			case 0:
				c.take(spec, 0, "", true, answer)
			case 422: // unless its id was accepted before
				c.take(spec, 422, "awaits a job that was never accepted", true, answer)
			default:
				refuse(503, 2, "what it awaits can't be looked up now")
			}
		})
		return
	}
	if after := c.overloaded(spec.Priority); after > 0 {
		refuse(429, after, "too many submissions of this priority")
		return
	}
	c.shorten(&spec)
	if v, _ := json.Marshal(jobRecord{Spec: &spec}); len(v) > c.cfg.ValueBytes*4/5 {
		refuse(503, 30, "awaits more unfinished jobs than fit into a record")
		return
	}
	spec.Submitted = c.wall
	a := &acceptance{spec: spec, tell: answer, given: c.now + 3500*milli}
	c.after(3500*milli, func() { a.answer(Respond{Status: 503, RetryAfter: retrySoon, Error: "not stored in time"}) })
	c.after(storeSlow+50*milli, func() {
		if !a.over && c.storeSilent() {
			c.handOn(a.spec, a.answer)
		}
	})
	c.accepting = append(c.accepting, a)
	if c.acceptWrites < len(c.accepting) {
		c.writeAccepted()
	}
	c.lookForOthers(a)
}

// lookForOthers finds out whether another controller has accepted the job in a
// record of several, while its record here is being written: then this is a
// repeat, and is answered as one. A reading begun now shows all that its user
// can have been told. One serves the submissions of some milliseconds.
func (c *Core) lookForOthers(a *acceptance) {
	c.looking = append(c.looking, a)
	if len(c.looking) > 1 {
		return
	}
	c.after(5*milli, func() {
		l := c.looking
		c.looking = nil
		c.readAccepts(func(ok bool) {
			for _, a := range l {
				a.looked, a.unread = true, !ok
				a.finish()
			}
		})
	})
}

// acceptance is a submission that waits for its record.
type acceptance struct {
	spec  JobSpec
	tell  func(Respond)
	given Time // too late after that
	over  bool // answered

	looked bool            // for another's acceptance
	unread bool            // which could not be read
	twins  []func(Respond) // the same id once more, in the same record
	stored func()          // answers, once it is stored
}

// finish answers when the job is stored and was looked for.
func (a *acceptance) finish() {
	if a.looked && a.stored != nil {
		a.stored()
	}
}

// answer tells the user, once.
func (a *acceptance) answer(r Respond) {
	if a.over {
		return
	}
	a.over = true
	a.tell(r)
	for _, fn := range a.twins {
		fn(r)
	}
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
				c.repeat(a.answer, a.spec.ID)
			} else if i := slices.IndexFunc(l, func(o *acceptance) bool { return o.spec.ID == a.spec.ID }); i >= 0 {
				l[i].twins = append(l[i].twins, func(r Respond) {
					if r.View != nil {
						c.repeat(a.answer, a.spec.ID)
					} else {
						a.answer(r)
					}
				})
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
	x := &write{part: NoPart, keys: []string{key}, mostAlso: c.cfg.TxnOps}
	taken := false
	x.build = func(nonce string) ([]TxnOp, []Mark) {
		if !taken {
			taken = true
			c.acceptWrites--
		}
		// It is built again where another write of its transaction was refused.
		c.accepting = append(jobs, c.accepting...)
		jobs, values, x.also, x.keys[0] = c.takeAccepting(), nil, nil, key
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
			if len(jobs) > 1 && (c.accepted[id] == 0 || Mark(e) < c.accepted[id]) {
				c.accepted[id] = Mark(e)
			}
			kv := KV{Key: "jobs/" + string(id), Value: values[i], Mark: mark}
			c.learnJob(kv, nil)
			c.tell(c.teams[a.spec.Team].part, kv)
			c.tellAwaited(&a.spec, kv)
			if x.unsure {
				// It may have been carried out long before this answer, and others may
				// have told more of it since.
				c.repeat(a.answer, id)
			}
		}
		if x.unsure {
			return
		}
		for _, a := range jobs {
			a.stored = func() {
				if id := a.spec.ID; a.unread || c.accepted[id] > 0 && c.accepted[id] < Mark(e) {
					c.repeat(a.answer, id)
				} else {
					v := JobView{ID: id, Status: StPending}
					if k := c.known[id]; k != nil && k.final != "" {
						v = finalView(id, k)
					}
					a.answer(Respond{Status: 201, View: &v})
				}
			}
			a.finish()
		}
	}
	x.conflict = func() {
		// Some of them are known. Each learns which by itself.
		for _, a := range jobs {
			if a.over {
				continue
			}
			if len(jobs) == 1 {
				c.repeat(a.answer, a.spec.ID)
				continue
			}
			c.lookInStore(a.spec.ID, func(status int, v JobView) {
				switch {
				case a.over:
				case status == 200:
					a.answer(Respond{Status: 200, View: &v})
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
		if at := c.accepted[j.ID]; at == 0 || kv.Mark < at {
			c.accepted[j.ID] = kv.Mark
		}
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
	if c.accepted[id] > 0 {
		fn(true, true)
		return
	}
	if !c.acceptsRead {
		fn(false, false)
		return
	}
	c.readAccepts(func(ok bool) { fn(c.accepted[id] > 0, ok) })
}

// readAccepts reads the records of several that were stored since the last
// reading; fn gets whether that worked.
func (c *Core) readAccepts(fn func(bool)) {
	c.w.reqs.Spend(1)
	c.counters.Gets++
	c.emit(StoreWatch{Call: c.call(func(b any) {
		r := b.(WatchReply)
		for _, kv := range r.Items {
			c.learnAccepted(kv, nil)
		}
		fn(r.Out == OK)
	}), Prefix: acceptPrefix, Since: c.acceptsEpoch})
}

// overloaded decides for all jobs of a priority alike whether submissions can
// be taken: the longer those accepted wait for the write budget, the more
// priorities are refused, least important first. It returns when to come back.
func (c *Core) overloaded(prio Priority) int {
	// A put takes several when many wait.
	wait := (float64(len(c.w.queues[prioAccept])) + float64(len(c.accepting))/float64(c.cfg.TxnOps)) / max(c.w.puts.Rate(), 1)
	wait = max(wait, float64(c.load.Lag)/float64(second)) // a process that falls behind takes on no more
	limit := [...]float64{BestEffort: 1, Normal: 1.5, Urgent: 2.5, Production: 3}[prio]
	if wait <= limit {
		return 0
	}
	return min(30, 1+int(2*wait))
}

// repeat answers a submission of a job that is known already.
func (c *Core) repeat(answer func(Respond), id JobID) {
	c.lookUp(id, func(status int, v JobView) {
		if status == 200 {
			answer(Respond{Status: 200, View: &v})
			return
		}
		answer(Respond{Status: 503, RetryAfter: retrySoon})
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
					c.settle(id, k, s)
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
		// Its tasks are of no use from now on, and the store's answer may be lost
		// though others read, and tell, that it is cancelled.
		j.cancelling = true
		c.unplan(j)
		c.stopAll(j)
	}
	c.writeJob(j, prioAccept)
}
