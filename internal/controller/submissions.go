package controller

import (
	"encoding/json"
	"maps"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// What users submit: whether a job can be taken, and by which controller.

func (c *Controller) handleSubmit(e messages.Submit) {
	answer := func(r messages.Respond) {
		if r.View == nil {
			c.loop.Log(messages.LogDebug, "submission refused", "job", string(e.Spec.ID), "status", r.Status, "why", r.Error)
		}
		r.Request = e.Request
		c.loop.Emit(r)
	}
	if c.state.Jobs.Known[e.Spec.ID] == nil && e.Rejection == 0 && (c.writeQueue.Health.IsUnresponsive(c.loop.Now()) || len(c.state.MachineTypes) == 0) && c.proxySubmission(e.Spec, answer) {
		return
	}
	c.submit(e.Spec, e.Rejection, e.Reason, answer)
}

// proxySubmission passes a submission to another controller, where this one has lost
// the store or does not know the machine types yet: any of them may store it,
// and its user would else come back to this one until the load balancer has
// noticed. It is answered as that controller says; a doubled one finds the job
// known. False: nobody can.
func (c *Controller) proxySubmission(spec cluster.JobSpec, answer func(messages.Respond)) bool {
	n := len(c.config.Nodes)
	self := slices.Index(c.config.Nodes, c.config.Self)
	for i := 1; i < n; i++ {
		p := c.members.Peer(c.config.Nodes[(self+i)%n])
		if p == nil || !c.canProxyTo(p, &spec) {
			continue
		}
		c.members.Call(p.ID(), proxyTimeout, messages.PeerMessage{Submission: &messages.ProxiedSubmission{ID: spec.ID, Spec: spec}}, func(r messages.PeerReply) {
			c.answerProxied(&spec, r, answer)
		})
		return true
	}
	return false
}

// proxyTimeout is how long another controller may take to store a submission.
const proxyTimeout = 2500 * millisecond

// canProxyTo tells whether a peer can take a submission, as far as it has told.
func (c *Controller) canProxyTo(p *membership.Peer, spec *cluster.JobSpec) bool {
	if p.IsUnreachable() || p.IsSuspected() || !p.HasAnswered() || p.PingAge() > 2*second || !p.LastPing().StoreReachable {
		return false
	}
	return len(spec.Dependencies) == 0 || p.LastPing().FeatureLevel >= dependencyFeatureLevel // else it would start it at once
}

// answerProxied answers a submission as the controller says that it went to.
func (c *Controller) answerProxied(spec *cluster.JobSpec, r messages.PeerReply, answer func(messages.Respond)) {
	switch {
	case r.Outcome != messages.OK:
		answer(messages.Respond{Status: messages.ReplyUnavailable, RetryAfter: shortRetryAfterSeconds, Error: "store out of reach"})
	case len(r.Message.Views) == 1:
		if t := c.state.Teams[spec.Team]; t != nil {
			c.state.Jobs.Register(spec.ID, t.ShardID, spec.Team, spec.Tasks)
		}
		answer(messages.Respond{Status: r.Message.Status, View: &r.Message.Views[0]})
	default:
		answer(messages.Respond{Status: r.Message.Status, RetryAfter: r.Message.RetryAfter, Error: r.Message.Reason})
	}
}

// submission is one that is being judged: it is accepted, or refused with a
// status and a reason.
type submission struct {
	controller    *Controller
	spec          cluster.JobSpec
	invalidStatus messages.ReplyStatus // 400 or 422 where no repeat could be accepted, else 0
	invalidReason string               // it is invalid
	answer        func(messages.Respond)
}

// submit takes a job, or says why not; what is accepted is stored first.
func (c *Controller) submit(spec cluster.JobSpec, bad messages.ReplyStatus, why string, answer func(messages.Respond)) {
	s := &submission{controller: c, spec: spec, invalidStatus: bad, invalidReason: why, answer: answer}
	s.evaluate(false)
}

func (s *submission) reject(status messages.ReplyStatus, after int, why string) {
	s.answer(messages.Respond{Status: status, RetryAfter: after, Error: why})
}

// storeRetryAfterSeconds is how many seconds a user waits for what this node lacks: its
// store, or the machine types.
const storeRetryAfterSeconds = 2

// evaluate decides on the submission; checked: what the job awaits was looked up.
func (s *submission) evaluate(checked bool) {
	c := s.controller
	if c.state.Jobs.Known[s.spec.ID] != nil {
		c.answerIdempotentRetry(s.answer, s.spec.ID)
		return
	}
	if c.writeQueue.IsUnavailableFor(second) {
		s.reject(messages.ReplyUnavailable, storeRetryAfterSeconds, "store out of reach")
		return
	}
	if s.invalidStatus == 0 {
		if len(c.state.MachineTypes) == 0 {
			s.reject(messages.ReplyUnavailable, storeRetryAfterSeconds, "machine types not known yet")
			return
		}
		s.invalidStatus = c.checkSchedulable(&s.spec)
	}
	switch {
	case s.invalidStatus != 0:
		s.rejectInvalid()
	case len(s.spec.Dependencies) > 0 && !checked:
		s.checkDependencies()
	default:
		s.admit()
	}
}

// rejectInvalid refuses a submission that can't be accepted, unless its id was:
// an accepted id never gets 400 or 422 later, whatever the repeat says.
func (s *submission) rejectInvalid() {
	s.controller.lookUpJobInStore(s.spec.ID, func(status messages.ReplyStatus, v cluster.JobView) {
		switch status {
		case messages.ReplyOK:
			s.answer(messages.Respond{Status: messages.ReplyOK, View: &v})
		case messages.ReplyJobNotFound:
			s.reject(s.invalidStatus, 0, s.invalidReason)
		default:
			s.reject(messages.ReplyUnavailable, storeRetryAfterSeconds, "store out of reach")
		}
	})
}

// checkDependencies looks up what the job awaits and goes on.
func (s *submission) checkDependencies() {
	s.controller.checkDependencies(&s.spec, func(status messages.ReplyStatus) {
		switch status {
		case 0:
			s.invalidStatus, s.invalidReason = 0, ""
			s.evaluate(true)
		case messages.ReplyUnschedulable: // unless its id was accepted before
			s.invalidStatus, s.invalidReason = messages.ReplyUnschedulable, "awaits a job that was never accepted"
			s.evaluate(true)
		default:
			s.reject(messages.ReplyUnavailable, storeRetryAfterSeconds, "what it awaits can't be looked up now")
		}
	})
}

// admit has the job stored, unless there is too much of its priority or its
// record would be too long.
func (s *submission) admit() {
	c := s.controller
	if after := c.overloadRetryAfter(s.spec.Priority); after > 0 {
		s.reject(messages.ReplyTooManyRequests, after, "too many submissions of this priority")
		return
	}
	c.pruneDependencies(&s.spec)
	if v, _ := json.Marshal(jobRecord{Spec: &s.spec}); len(v) > c.config.MaxValueBytes*4/5 {
		s.reject(messages.ReplyUnavailable, 30, "awaits more unfinished jobs than fit into a record")
		return
	}
	s.spec.SubmittedAt = c.loop.WallTime()
	c.enqueueAdmission(s.spec, s.answer)
}

// overloadRetryAfter decides for all jobs of a priority alike whether submissions can
// be taken: the longer those accepted wait for the write budget, the more
// priorities are refused, least important first. It returns when to come back.
func (c *Controller) overloadRetryAfter(prio cluster.Priority) int {
	// A put takes several when many wait.
	wait := (float64(len(c.writeQueue.Queued(writequeue.Admit))) + c.admissions.putsNeeded(c.config.MaxTxnOps)) / max(c.writeQueue.PutBudget().Rate(), 1)
	wait = max(wait, float64(c.processHealth.EventDelay())/float64(second)) // a process that falls behind takes on no more
	limit := [...]float64{cluster.BestEffort: 1, cluster.Normal: 1.5, cluster.Urgent: 2.5, cluster.Production: 3}[prio]
	if wait <= limit {
		return 0
	}
	return min(30, 1+int(2*wait))
}

// answerIdempotentRetry answers a submission of a job that is known already.
func (c *Controller) answerIdempotentRetry(answer func(messages.Respond), id cluster.JobID) {
	c.lookUpJob(id, func(status messages.ReplyStatus, v cluster.JobView) {
		if status == messages.ReplyOK {
			answer(messages.Respond{Status: messages.ReplyOK, View: &v})
			return
		}
		answer(messages.Respond{Status: messages.ReplyUnavailable, RetryAfter: shortRetryAfterSeconds})
	})
}

// checkSchedulable returns 422 for a job that no machine or quota could ever take.
func (c *Controller) checkSchedulable(s *cluster.JobSpec) messages.ReplyStatus {
	t := c.state.Teams[s.Team]
	if t == nil || s.ResourceRequest.CPU > t.QuotaLimit.CPU || s.ResourceRequest.GPU > t.QuotaLimit.GPU {
		return messages.ReplyUnschedulable
	}
	for _, name := range slices.Sorted(maps.Keys(c.state.MachineTypes)) {
		if s.AllowsMachineType(c.state.MachineTypes[name], "") {
			return 0
		}
	}
	return messages.ReplyUnschedulable
}
