package jobs

import (
	"maps"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// Submissions decides whether submitted jobs can be admitted, and by which controller.
type Submissions struct {
	*shared

	queries *Queries
	proxy   *submissionProxy
	queue   *admissionQueue
}

// HandleSubmit judges a user's submission, or passes it to another controller.
func (s *Submissions) HandleSubmit(request messages.Submit) {
	id := request.Spec.ID
	answer := func(response messages.Respond) {
		if response.View == nil {
			s.loop.Log(messages.LogDebug, "submission refused", "job", string(id), "http_status", response.Status, "reason", response.Error)
		}
		response.Request = request.Request
		s.loop.Emit(response)
	}
	unknown := s.state.Jobs.Known[id] == nil
	if unknown && request.Rejection == 0 && s.cannotAdmit() && s.proxy.pass(request.Spec, answer) {
		return
	}
	attempt := &submission{
		submissions:   s,
		spec:          request.Spec,
		invalidStatus: request.Rejection,
		invalidReason: request.Reason,
		answer:        answer,
	}
	attempt.evaluate(false)
}

// Submit judges a submission that another controller has passed on.
func (s *Submissions) Submit(spec cluster.JobSpec, answer func(messages.Respond)) {
	attempt := &submission{submissions: s, spec: spec, answer: answer}
	attempt.evaluate(false)
}

// cannotAdmit tells whether this controller has lost the state service or does not
// know the machine types yet.
func (s *Submissions) cannotAdmit() bool {
	return s.writeQueue.Health.IsUnresponsive(s.loop.Now()) || len(s.state.MachineTypes) == 0
}

// AdmissionKeyCount is how many names of admission records were used up so far.
func (s *Submissions) AdmissionKeyCount() int { return s.queue.keysIssued }

// Limits of the seconds that a submission may have to wait for the write budget, by
// priority: the longer those admitted wait, the more priorities are refused, least
// important first.
var maxAdmissionWaitSeconds = [...]float64{
	cluster.BestEffort: 1,
	cluster.Normal:     1.5,
	cluster.Urgent:     2.5,
	cluster.Production: 3,
}

// OverloadRetryAfter decides for all jobs of a priority alike whether submissions can
// be admitted now. It returns after how many seconds to come back, 0 if they can.
func (s *Submissions) OverloadRetryAfter(priority cluster.Priority) int {
	// A put takes several when many wait.
	putsQueued := float64(len(s.writeQueue.Queued(writequeue.PriorityAdmission))) + s.queue.putsNeeded()
	wait := putsQueued / max(s.writeQueue.PutBudget().Rate(), 1)
	// A process that falls behind takes on no more.
	wait = max(wait, s.Process.EventDelay().Seconds())
	if wait <= maxAdmissionWaitSeconds[priority] {
		return 0
	}
	return min(maxRetryAfterSeconds, 1+int(2*wait))
}

// isSchedulable tells whether any machine type and the team's quota could ever take
// a job.
func isSchedulable(known *state.State, spec *cluster.JobSpec) bool {
	team := known.Teams[spec.Team]
	if team == nil || spec.ResourceRequest.CPU > team.QuotaLimit.CPU || spec.ResourceRequest.GPU > team.QuotaLimit.GPU {
		return false
	}
	for _, name := range slices.Sorted(maps.Keys(known.MachineTypes)) {
		if spec.AllowsMachineType(known.MachineTypes[name], "") {
			return true
		}
	}
	return false
}

// submission is one that is being judged: it is admitted, or refused with a status
// and a reason.
type submission struct {
	submissions   *Submissions
	spec          cluster.JobSpec
	invalidStatus messages.ReplyStatus // 400 or 422 where no retry could be accepted, else 0
	invalidReason string               // why it is invalid
	answer        func(messages.Respond)
}

func (s *submission) refuse(status messages.ReplyStatus, retryAfter int, reason string) {
	s.answer(messages.Respond{Status: status, RetryAfter: retryAfter, Error: reason})
}

// evaluate decides on the submission; dependenciesChecked: what the job depends on was
// looked up.
func (s *submission) evaluate(dependenciesChecked bool) {
	known := s.submissions.state
	if known.Jobs.Known[s.spec.ID] != nil {
		s.submissions.queries.answerIdempotentRetry(s.spec.ID, s.answer)
		return
	}
	if s.submissions.writeQueue.IsUnavailableFor(storeTimeout) {
		s.refuse(messages.ReplyUnavailable, storeRetryAfterSeconds, "store out of reach")
		return
	}
	if s.invalidStatus == 0 {
		if len(known.MachineTypes) == 0 {
			s.refuse(messages.ReplyUnavailable, storeRetryAfterSeconds, "machine types not known yet")
			return
		}
		if !isSchedulable(known, &s.spec) {
			s.invalidStatus = messages.ReplyUnschedulable
		}
	}
	switch {
	case s.invalidStatus != 0:
		s.refuseInvalid()
	case len(s.spec.Dependencies) > 0 && !dependenciesChecked:
		s.checkDependencies()
	default:
		s.admit()
	}
}

// refuseInvalid refuses a submission that can't be accepted, unless its id was: an
// accepted id never gets 400 or 422 later, whatever the retry says.
func (s *submission) refuseInvalid() {
	s.submissions.queries.lookUpInStore(s.spec.ID, func(status messages.ReplyStatus, view cluster.JobView) {
		switch status { //nolint:exhaustive // any other status means that the state service did not answer
		case messages.ReplyOK:
			s.answer(messages.Respond{Status: messages.ReplyOK, View: &view})
		case messages.ReplyJobNotFound:
			s.refuse(s.invalidStatus, 0, s.invalidReason)
		default:
			s.refuse(messages.ReplyUnavailable, storeRetryAfterSeconds, "store out of reach")
		}
	})
}

// checkDependencies looks up the jobs that the job depends on and goes on.
func (s *submission) checkDependencies() {
	s.submissions.checkDependencies(&s.spec, func(status messages.ReplyStatus) {
		switch status { //nolint:exhaustive // dependencyStatus gives these and ReplyUnavailable
		case messages.ReplyNone:
			s.evaluate(true)
		case messages.ReplyUnschedulable: // unless its id was accepted before
			s.invalidStatus, s.invalidReason = messages.ReplyUnschedulable, "awaits a job that was never accepted"
			s.evaluate(true)
		default:
			s.refuse(messages.ReplyUnavailable, storeRetryAfterSeconds, "what it awaits can't be looked up now")
		}
	})
}

// checkDependencies finds out whether all jobs that a submission names were accepted:
// ReplyNone, or the status that it gets instead. Only the state service can show that
// one never was. While a controller may be of an earlier release, which would start
// the job at once, it can't be admitted.
func (s *Submissions) checkDependencies(spec *cluster.JobSpec, handle func(messages.ReplyStatus)) {
	if !s.Members.AllUpgraded() {
		handle(messages.ReplyUnavailable)
		return
	}
	unanswered, worst := 1, messages.ReplyNone
	done := func(status messages.ReplyStatus) {
		worst = max(worst, status)
		unanswered--
		if unanswered == 0 {
			handle(worst)
		}
	}
	for _, id := range spec.Dependencies {
		if s.state.Jobs.Known[id] != nil {
			continue
		}
		unanswered++
		s.queries.lookUpInStore(id, func(status messages.ReplyStatus, _ cluster.JobView) {
			done(dependencyStatus(status))
		})
	}
	done(messages.ReplyNone)
}

// dependencyStatus is what the look-up of a dependency means for the submission.
func dependencyStatus(lookedUp messages.ReplyStatus) messages.ReplyStatus {
	switch lookedUp { //nolint:exhaustive // any other status means that the state service did not answer
	case messages.ReplyOK:
		return messages.ReplyNone
	case messages.ReplyJobNotFound:
		return messages.ReplyUnschedulable
	default:
		return messages.ReplyUnavailable
	}
}

// admit has the job stored, unless there is too much of its priority or its record
// would be too long.
func (s *submission) admit() {
	submissions := s.submissions
	if retryAfter := submissions.OverloadRetryAfter(s.spec.Priority); retryAfter > 0 {
		s.refuse(messages.ReplyTooManyRequests, retryAfter, "too many submissions of this priority")
		return
	}
	pruneDependencies(&submissions.state.Jobs, &s.spec)
	record := Record{Spec: &s.spec}
	if len(record.encode()) > submissions.maxSpecBytes() {
		s.refuse(messages.ReplyUnavailable, maxRetryAfterSeconds, "awaits more unfinished jobs than fit into a record")
		return
	}
	s.spec.SubmittedAt = submissions.loop.WallTime()
	submissions.queue.add(s.spec, s.answer)
}
