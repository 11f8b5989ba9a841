package core

import (
	"encoding/json"
	"slices"
)

// What users submit: whether a job can be taken, and by which controller.

func (c *Core) onSubmit(e Submit) {
	answer := func(r Respond) {
		if r.View == nil {
			c.logf("debug", "submission refused", "job", string(e.Job.ID), "status", r.Status, "why", r.Error)
		}
		r.Req = e.Req
		c.emit(r)
	}
	if c.jobs.known[e.Job.ID] == nil && e.Bad == 0 && (c.storeSilent() || len(c.types) == 0) && c.handOn(e.Job, answer) {
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
				if t := c.teams[spec.Team]; t != nil {
					c.jobs.learn(spec.ID, t.part, spec.Team, spec.Tasks)
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
	if c.jobs.known[id] != nil {
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
	a := &acceptance{spec: spec, respond: answer, deadline: c.now + acceptWithin}
	c.after(acceptWithin, func() { a.answer(Respond{Status: 503, RetryAfter: retrySoon, Error: "not stored in time"}) })
	c.after(storeSlow+50*milli, func() {
		if !a.answered && c.storeSilent() {
			c.handOn(a.spec, a.answer)
		}
	})
	if c.acceptances.add(a) {
		c.writeAccepted()
	}
	c.checkOtherAcceptance(a)
}

// overloaded decides for all jobs of a priority alike whether submissions can
// be taken: the longer those accepted wait for the write budget, the more
// priorities are refused, least important first. It returns when to come back.
func (c *Core) overloaded(prio Priority) int {
	// A put takes several when many wait.
	wait := (float64(len(c.w.queues[prioAccept])) + c.acceptances.transactions(c.cfg.TxnOps)) / max(c.w.puts.Rate(), 1)
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
