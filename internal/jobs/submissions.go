package jobs

import (
	"maps"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// Submissions decides whether submitted jobs are admitted, and by which controller.
type Submissions struct {
	*shared

	queries *Queries
	proxy   *submissionProxy
	queue   *admissionQueue
}

// HandleSubmit evaluates a user's submission and answers it. If this controller cannot
// store a new job now, it forwards the submission to another controller that can.
func (s *Submissions) HandleSubmit(request messages.Submit) {
	id := request.Spec.ID
	respond := func(response messages.Respond) {
		if response.View == nil {
			s.loop.Log(messages.LogDebug, "submission rejected", "job", string(id), "http_status", response.Status, "reason", response.Error)
		}
		response.Request = request.Request
		s.loop.Emit(response)
	}
	isNew := s.state.Jobs.Known[id] == nil
	if isNew && request.Rejection == 0 && s.cannotAdmit() && s.proxy.forward(request.Spec, respond) {
		return
	}
	pending := &submission{
		submissions:   s,
		spec:          request.Spec,
		invalidStatus: request.Rejection,
		invalidReason: request.Reason,
		respond:       respond,
	}
	pending.evaluate(false)
}

// HandleProxied evaluates a submission that another controller has forwarded, and calls
// respond with the response.
func (s *Submissions) HandleProxied(spec cluster.JobSpec, respond func(messages.Respond)) {
	pending := &submission{submissions: s, spec: spec, respond: respond}
	pending.evaluate(false)
}

// cannotAdmit reports whether the store does not respond to this controller, or
// the machine types are not known yet.
func (s *Submissions) cannotAdmit() bool {
	return s.writeQueue.Health.IsUnresponsive(s.loop.Now()) || len(s.state.MachineTypes) == 0
}

// AdmissionKeyCount returns how many keys of admission records were generated so far.
func (s *Submissions) AdmissionKeyCount() int { return s.queue.keysIssued }

// maxAdmissionWaitSeconds is the longest expected wait at which submissions are still
// admitted, by priority. Under growing load, submissions of lower priorities are rejected
// first.
var maxAdmissionWaitSeconds = [...]float64{
	cluster.BestEffort: 1,
	cluster.Normal:     1.5,
	cluster.Urgent:     2.5,
	cluster.Production: 3,
}

// OverloadRetryAfter returns 0 if submissions of a priority can be admitted now, or the
// number of seconds after which they should be retried. The expected wait of a submission
// is the time that the write budget needs for the queued puts, or the delay of events if
// that is longer.
func (s *Submissions) OverloadRetryAfter(priority cluster.Priority) int {
	// Several waiting submissions share a put.
	putsQueued := float64(len(s.writeQueue.Queued(writequeue.PriorityAdmission))) + s.queue.putsNeeded()
	wait := putsQueued / max(s.writeQueue.PutBudget().Rate(), 1)
	// A process that handles its events late is overloaded, too.
	wait = max(wait, s.Process.EventDelay().Seconds())
	if wait <= maxAdmissionWaitSeconds[priority] {
		return 0
	}
	return min(maxRetryAfterSeconds, 1+int(2*wait))
}

// isSchedulable reports whether a job could ever run. Its team must exist, a task must
// not request more CPUs or GPUs than the team's quota limit, and a machine type must meet
// the job's constraints.
func isSchedulable(clusterState *state.State, spec *cluster.JobSpec) bool {
	team := clusterState.Teams[spec.Team]
	if team == nil || spec.ResourceRequest.CPU > team.QuotaLimit.CPU || spec.ResourceRequest.GPU > team.QuotaLimit.GPU {
		return false
	}
	for _, name := range slices.Sorted(maps.Keys(clusterState.MachineTypes)) {
		if spec.AllowsMachineType(clusterState.MachineTypes[name], "") {
			return true
		}
	}
	return false
}

// submission is a submission that is being evaluated. It is admitted, answered as an
// idempotent retry, or rejected with a status and a reason.
type submission struct {
	submissions   *Submissions
	spec          cluster.JobSpec
	invalidStatus messages.ResponseStatus // 400 or 422 if the submission is invalid, else 0
	invalidReason string
	respond       func(messages.Respond)
}

func (s *submission) reject(status messages.ResponseStatus, retryAfter int, reason string) {
	s.respond(messages.Respond{Status: status, RetryAfter: retryAfter, Error: reason})
}

// evaluate admits or rejects the submission, or answers it as an idempotent retry if its
// job is known. dependenciesChecked reports whether the submission's dependencies were
// already looked up.
func (s *submission) evaluate(dependenciesChecked bool) {
	clusterState := s.submissions.state
	if clusterState.Jobs.Known[s.spec.ID] != nil {
		s.submissions.queries.answerIdempotentRetry(s.spec.ID, s.respond)
		return
	}
	if s.submissions.writeQueue.IsUnavailableFor(maxStoreOutage) {
		s.reject(messages.StatusUnavailable, storeRetryAfterSeconds, "store out of reach")
		return
	}
	if s.invalidStatus == 0 {
		if len(clusterState.MachineTypes) == 0 {
			s.reject(messages.StatusUnavailable, storeRetryAfterSeconds, "machine types not known yet")
			return
		}
		if !isSchedulable(clusterState, &s.spec) {
			s.invalidStatus = messages.StatusUnschedulable
		}
	}
	switch {
	case s.invalidStatus != 0:
		s.rejectInvalid()
	case len(s.spec.Dependencies) > 0 && !dependenciesChecked:
		s.checkDependencies()
	default:
		s.admit()
	}
}

// rejectInvalid rejects an invalid submission. If the store shows that a job with its ID
// was accepted before, it answers with the status of that job instead. An accepted ID
// must never be answered with 400 or 422, even if the retry differs from the accepted
// submission.
func (s *submission) rejectInvalid() {
	s.submissions.queries.lookUpInStore(s.spec.ID, func(status messages.ResponseStatus, view cluster.JobView) {
		switch status { //nolint:exhaustive // any other status means that the lookup failed
		case messages.StatusOK:
			s.respond(messages.Respond{Status: messages.StatusOK, View: &view})
		case messages.StatusJobNotFound:
			s.reject(s.invalidStatus, 0, s.invalidReason)
		default:
			s.reject(messages.StatusUnavailable, storeRetryAfterSeconds, "store out of reach")
		}
	})
}

// checkDependencies looks up the jobs that the submission depends on. It then resumes the
// evaluation, or rejects the submission if they cannot be looked up now.
func (s *submission) checkDependencies() {
	s.submissions.lookUpDependencies(&s.spec, func(status messages.ResponseStatus) {
		switch status { //nolint:exhaustive // the only other status is StatusUnavailable
		case messages.StatusNone:
			s.evaluate(true)
		case messages.StatusUnschedulable: // the submission is rejected unless its ID was accepted before
			s.invalidStatus, s.invalidReason = messages.StatusUnschedulable, "awaits a job that was never accepted"
			s.evaluate(true)
		default:
			s.reject(messages.StatusUnavailable, storeRetryAfterSeconds, "what it awaits can't be looked up now")
		}
	})
}

// lookUpDependencies looks up the jobs that a submission depends on. It calls handle with
// StatusNone if all of them were accepted, and otherwise with the status to reject the
// submission with. Only the store can show that a job was never accepted. While a
// controller may still run a release without support for dependencies, the submission is
// rejected, because that release would start the job immediately.
func (s *Submissions) lookUpDependencies(spec *cluster.JobSpec, handle func(messages.ResponseStatus)) {
	if !s.Members.AllUpgraded() {
		handle(messages.StatusUnavailable)
		return
	}
	outstanding, worst := 1, messages.StatusNone
	done := func(status messages.ResponseStatus) {
		worst = max(worst, status)
		outstanding--
		if outstanding == 0 {
			handle(worst)
		}
	}
	for _, id := range spec.Dependencies {
		if s.state.Jobs.Known[id] != nil {
			continue
		}
		outstanding++
		s.queries.lookUpInStore(id, func(status messages.ResponseStatus, _ cluster.JobView) {
			done(dependencyStatus(status))
		})
	}
	done(messages.StatusNone)
}

// dependencyStatus converts the result of looking up a dependency to the status to reject
// the submission with, or to StatusNone if the dependency exists.
func dependencyStatus(lookedUp messages.ResponseStatus) messages.ResponseStatus {
	switch lookedUp { //nolint:exhaustive // any other status means that the lookup failed
	case messages.StatusOK:
		return messages.StatusNone
	case messages.StatusJobNotFound:
		return messages.StatusUnschedulable
	default:
		return messages.StatusUnavailable
	}
}

// admit queues the job to be stored. It rejects the submission if the controller is too
// loaded to admit jobs of its priority, or if the job's record would be too large.
func (s *submission) admit() {
	submissions := s.submissions
	if retryAfter := submissions.OverloadRetryAfter(s.spec.Priority); retryAfter > 0 {
		s.reject(messages.StatusTooManyRequests, retryAfter, "too many submissions of this priority")
		return
	}
	pruneDependencies(&submissions.state.Jobs, &s.spec)
	record := Record{Spec: &s.spec}
	if len(record.encode()) > submissions.maxSpecBytes() {
		s.reject(messages.StatusUnavailable, maxRetryAfterSeconds, "awaits more unfinished jobs than fit into a record")
		return
	}
	s.spec.SubmittedAt = submissions.loop.WallTime()
	submissions.queue.add(s.spec, s.respond)
}
