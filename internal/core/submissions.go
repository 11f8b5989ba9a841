package core

import (
	"encoding/json"
	"slices"
)

// What users submit: whether a job can be taken, and by which controller.

func (c *Core) onSubmit(e Submit) {
	answer := func(r Respond) {
		if r.View == nil {
			c.logf(LogDebug, "submission refused", "job", string(e.Job.ID), "status", r.Status, "why", r.Error)
		}
		r.Req = e.Req
		c.emit(r)
	}
	if c.jobs.known[e.Job.ID] == nil && e.Bad == 0 && (c.storeHealth.silent(c.now) || len(c.types) == 0) && c.forward(e.Job, answer) {
		return
	}
	c.submit(e.Job, e.Bad, e.Why, answer)
}

// forward passes a submission to another controller, where this one has lost
// the store or does not know the machine types yet: any of them may store it,
// and its user would else come back to this one until the load balancer has
// noticed. It is answered as that controller says; a doubled one finds the job
// known. False: nobody can.
func (c *Core) forward(spec JobSpec, answer func(Respond)) bool {
	n := len(c.cfg.Nodes)
	self := slices.Index(c.cfg.Nodes, c.cfg.Self)
	for i := 1; i < n; i++ {
		p := c.peers[c.cfg.Nodes[(self+i)%n]]
		if p == nil || !c.canStore(p, &spec) {
			continue
		}
		c.ask(p.id, handOnTimeout, PeerMsg{Submit: &HandedOn{spec.ID, spec}}, func(r PeerReply) {
			c.answerHandedOn(&spec, r, answer)
		})
		return true
	}
	return false
}

// handOnTimeout is how long another controller may take to store a submission.
const handOnTimeout = 2500 * milli

// canStore tells whether a peer can take a submission, as far as it has told.
func (c *Core) canStore(p *peer, spec *JobSpec) bool {
	if p.failed || p.prone || !p.heard || c.now-p.pingAt > 2*second || !p.ping.StoreOK {
		return false
	}
	return len(spec.Awaits) == 0 || p.ping.Level >= pipelineLevel // else it would start it at once
}

// answerHandedOn answers a submission as the controller says that it went to.
func (c *Core) answerHandedOn(spec *JobSpec, r PeerReply, answer func(Respond)) {
	switch {
	case r.Out != OK:
		answer(Respond{Status: ReplyUnavailable, RetryAfter: retrySoon, Error: "store out of reach"})
	case len(r.Msg.Views) == 1:
		if t := c.teams[spec.Team]; t != nil {
			c.jobs.learn(spec.ID, t.part, spec.Team, spec.Tasks)
		}
		answer(Respond{Status: r.Msg.Status, View: &r.Msg.Views[0]})
	default:
		answer(Respond{Status: r.Msg.Status, RetryAfter: r.Msg.After, Error: r.Msg.Why})
	}
}

// submission is one that is being judged: it is accepted, or refused with a
// status and a reason.
type submission struct {
	core    *Core
	spec    JobSpec
	invalid ReplyStatus // 400 or 422 where no repeat could be accepted, else 0
	why     string      // it is invalid
	answer  func(Respond)
}

// submit takes a job, or says why not; what is accepted is stored first.
func (c *Core) submit(spec JobSpec, bad ReplyStatus, why string, answer func(Respond)) {
	s := &submission{core: c, spec: spec, invalid: bad, why: why, answer: answer}
	s.judge(false)
}

func (s *submission) refuse(status ReplyStatus, after int, why string) {
	s.answer(Respond{Status: status, RetryAfter: after, Error: why})
}

// retryStore is how many seconds a user waits for what this node lacks: its
// store, or the machine types.
const retryStore = 2

// judge decides on the submission; checked: what the job awaits was looked up.
func (s *submission) judge(checked bool) {
	c := s.core
	if c.jobs.known[s.spec.ID] != nil {
		c.repeat(s.answer, s.spec.ID)
		return
	}
	if c.storeLost(second) {
		s.refuse(ReplyUnavailable, retryStore, "store out of reach")
		return
	}
	if s.invalid == 0 {
		if len(c.types) == 0 {
			s.refuse(ReplyUnavailable, retryStore, "machine types not known yet")
			return
		}
		s.invalid = c.neverRuns(&s.spec)
	}
	switch {
	case s.invalid != 0:
		s.refuseInvalid()
	case len(s.spec.Awaits) > 0 && !checked:
		s.checkAwaits()
	default:
		s.admit()
	}
}

// refuseInvalid refuses a submission that can't be accepted, unless its id was:
// an accepted id never gets 400 or 422 later, whatever the repeat says.
func (s *submission) refuseInvalid() {
	s.core.lookInStore(s.spec.ID, func(status ReplyStatus, v JobView) {
		switch status {
		case ReplyOK:
			s.answer(Respond{Status: ReplyOK, View: &v})
		case ReplyNoSuchJob:
			s.refuse(s.invalid, 0, s.why)
		default:
			s.refuse(ReplyUnavailable, retryStore, "store out of reach")
		}
	})
}

// checkAwaits looks up what the job awaits and goes on.
func (s *submission) checkAwaits() {
	s.core.checkAwaits(&s.spec, func(status ReplyStatus) {
		switch status {
		case 0:
			s.invalid, s.why = 0, ""
			s.judge(true)
		case ReplyNeverRuns: // unless its id was accepted before
			s.invalid, s.why = ReplyNeverRuns, "awaits a job that was never accepted"
			s.judge(true)
		default:
			s.refuse(ReplyUnavailable, retryStore, "what it awaits can't be looked up now")
		}
	})
}

// admit has the job stored, unless there is too much of its priority or its
// record would be too long.
func (s *submission) admit() {
	c := s.core
	if after := c.overloaded(s.spec.Priority); after > 0 {
		s.refuse(ReplyTooMany, after, "too many submissions of this priority")
		return
	}
	c.shorten(&s.spec)
	if v, _ := json.Marshal(jobRecord{Spec: &s.spec}); len(v) > c.cfg.ValueBytes*4/5 {
		s.refuse(ReplyUnavailable, 30, "awaits more unfinished jobs than fit into a record")
		return
	}
	s.spec.Submitted = c.wall
	c.accept(s.spec, s.answer)
}

// overloaded decides for all jobs of a priority alike whether submissions can
// be taken: the longer those accepted wait for the write budget, the more
// priorities are refused, least important first. It returns when to come back.
func (c *Core) overloaded(prio Priority) int {
	// A put takes several when many wait.
	wait := (float64(len(c.writer.queues[prioAccept])) + c.acceptances.transactions(c.cfg.TxnOps)) / max(c.writer.puts.Rate(), 1)
	wait = max(wait, float64(c.process.load.Lag)/float64(second)) // a process that falls behind takes on no more
	limit := [...]float64{BestEffort: 1, Normal: 1.5, Urgent: 2.5, Production: 3}[prio]
	if wait <= limit {
		return 0
	}
	return min(30, 1+int(2*wait))
}

// repeat answers a submission of a job that is known already.
func (c *Core) repeat(answer func(Respond), id JobID) {
	c.lookUp(id, func(status ReplyStatus, v JobView) {
		if status == ReplyOK {
			answer(Respond{Status: ReplyOK, View: &v})
			return
		}
		answer(Respond{Status: ReplyUnavailable, RetryAfter: retrySoon})
	})
}

// neverRuns returns 422 for a job that no machine or quota could ever take.
func (c *Core) neverRuns(s *JobSpec) ReplyStatus {
	t := c.teams[s.Team]
	if t == nil || s.Need.CPU > t.Limit.CPU || s.Need.GPU > t.Limit.GPU {
		return ReplyNeverRuns
	}
	for _, name := range sortedKeys(c.types) {
		if c.allows(s, c.types[name], "") {
			return 0
		}
	}
	return ReplyNeverRuns
}

// allows tells whether a type, and with it one of its zones, is allowed for a
// job's tasks and large enough for one.
func (c *Core) allows(s *JobSpec, t MachineType, zone string) bool {
	if !s.Need.Fits(t.Cap) {
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
