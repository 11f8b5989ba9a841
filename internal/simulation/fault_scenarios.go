package simulation

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// Troubles that come from two things that meet: each is off unless a test asks
// for it, and each is counted in Faults when it has happened.

type faultState struct {
	writeReplyLossChance      float64 // share of transactions without an answer
	writeReplyLossUntil       cluster.Time
	applyLostWritesAtOnce     bool
	storeDelay                cluster.Time // added to the answers of the state service
	storeDelayUntil           cluster.Time
	heartbeatCaptureChance    float64 // share of reports whose copies are kept for the next holder
	heartbeatCaptureUntil     cluster.Time
	capturedHeartbeats        []cluster.HeartbeatStatus
	shardOwners               map[string]string // of the parts, as the state service has them
	acquireHooks              []acquireHook
	cancelAtEndChance         float64 // share of jobs cancelled as they end
	cancelAtEndUntil          cluster.Time
	readAfterWriteChecksUntil cluster.Time
	fastBootsUntil            cluster.Time
	oddRequestCount           int
	starvationCheckedAt       cluster.Time
}

type acquireHook struct {
	expiresAt cluster.Time
	action    func(holder cluster.NodeID)
}

func (t *faultState) currentStoreDelay(now cluster.Time) cluster.Time {
	if now < t.storeDelayUntil {
		return t.storeDelay
	}
	return 0
}

// LoseWriteReplies lets a share of transactions get no answer for a while. They are
// carried out 2 to 12 s later, after newer ones of the same controller; with
// atOnce they are carried out at once and only the answer is lost.
func (w *Simulator) LoseWriteReplies(share float64, d cluster.Time, atOnce bool) {
	w.faults.writeReplyLossChance, w.faults.writeReplyLossUntil, w.faults.applyLostWritesAtOnce = share, w.Now+d, atOnce
}

// loseWriteReply tells whether a transaction gets no answer, and sees to it that it
// is carried out all the same.
func (w *Simulator) loseWriteReply(n *Node, do func() any) bool {
	atOnce := w.Now < n.StoreRepliesLostUntil
	if !atOnce {
		if w.Now >= w.faults.writeReplyLossUntil || !w.Chance(w.faults.writeReplyLossChance) {
			return false
		}
		atOnce = w.faults.applyLostWritesAtOnce
	}
	if atOnce {
		w.After(w.networkDelay(), func() {
			if do().(messages.TxnReply).Outcome == messages.OK {
				w.FaultCounts["answers lost though carried out"]++
			}
		})
		return true
	}
	var carryOut func()
	carryOut = func() {
		if w.Now < w.StoreDownUntil { // a state service that is out carries out nothing
			w.After(w.StoreDownUntil-w.Now+w.RandomBetween(0, second), carryOut)
			return
		}
		w.FaultCounts["late writes"]++
		if do().(messages.TxnReply).Outcome == messages.OK {
			w.FaultCounts["late writes carried out"]++
		}
	}
	w.After(w.RandomBetween(2*second, 12*second), carryOut)
	return true
}

// SlowStore makes the state service answer slowly for a while.
func (w *Simulator) SlowStore(by, d cluster.Time) {
	w.faults.storeDelay, w.faults.storeDelayUntil = by, w.Now+d
}

// EnableFastBoots brings new machines up within 1 to 2 s for a while.
func (w *Simulator) EnableFastBoots(d cluster.Time) { w.faults.fastBootsUntil = w.Now + d }

// HasFastBoots tells whether machines rented now are up within 1 to 2 s.
func (w *Simulator) HasFastBoots() bool {
	if w.Now >= w.faults.fastBootsUntil {
		return false
	}
	w.FaultCounts["machines up within two seconds"]++
	return true
}

// BlockHeartbeats takes a machine's way to the controllers, not theirs to it.
func (w *Simulator) BlockHeartbeats(id cluster.MachineID, d cluster.Time) {
	if l := w.Workers[id]; l != nil {
		l.heartbeatsBlockedUntil = w.Now + d
	}
}

// CaptureHeartbeats keeps copies of a share of the reports for a while. They arrive
// at every controller right after a part changes hands.
func (w *Simulator) CaptureHeartbeats(share float64, d cluster.Time) {
	w.faults.heartbeatCaptureChance, w.faults.heartbeatCaptureUntil = share, w.Now+d
}

func (w *Simulator) captureHeartbeat(r cluster.HeartbeatStatus) {
	if w.Now < w.faults.heartbeatCaptureUntil && len(w.faults.capturedHeartbeats) < 60 && w.Chance(w.faults.heartbeatCaptureChance) {
		w.faults.capturedHeartbeats = append(w.faults.capturedHeartbeats, r)
	}
}

// OnShardAcquired calls fn once, when a part next changes hands within a time.
func (w *Simulator) OnShardAcquired(within cluster.Time, fn func(holder cluster.NodeID)) {
	w.faults.acquireHooks = append(w.faults.acquireHooks, acquireHook{w.Now + within, fn})
}

// recordShardOwners notes who holds which part after a transaction.
func (w *Simulator) recordShardOwners(ops []messages.TxnOp) {
	for _, o := range ops {
		if !strings.HasPrefix(o.Key, "parts/") || o.Value == nil {
			continue
		}
		var rec struct {
			Holder string `json:"holder"`
		}
		if json.Unmarshal(o.Value, &rec) != nil {
			continue
		}
		if w.faults.shardOwners == nil {
			w.faults.shardOwners = map[string]string{}
		}
		before := w.faults.shardOwners[o.Key]
		w.faults.shardOwners[o.Key] = rec.Holder
		if before == "" || before == rec.Holder {
			continue
		}
		kept, hooks := w.faults.capturedHeartbeats, w.faults.acquireHooks
		w.faults.capturedHeartbeats, w.faults.acquireHooks = nil, nil
		for _, r := range kept {
			for _, n := range w.Nodes {
				w.After(w.RandomBetween(millisecond, 300*millisecond), func() {
					w.SendRequest(n, func(id messages.RequestID) messages.Event { return messages.Heartbeat{Request: id, Status: r} }, func(a messages.Respond) {
						if a.Status != 0 {
							w.FaultCounts["old reports at every controller as a part changes hands"]++
						}
					})
				})
			}
		}
		for _, h := range hooks {
			if w.Now < h.expiresAt {
				h.action(cluster.NodeID(rec.Holder))
			}
		}
	}
}

// sortedJobIDs lists the jobs in order, so that draws don't depend on the map's.
func (w *Simulator) sortedJobIDs() []cluster.JobID {
	l := make([]cluster.JobID, 0, len(w.Jobs))
	for id := range w.Jobs {
		l = append(l, id)
	}
	sort.Slice(l, func(i, k int) bool { return l[i] < l[k] })
	return l
}

// CancelRunningJobs lets the users of up to n jobs that run and have long to go cancel
// them within a fifth of a second, while up to eight machines of them hang for
// a while; hang 0: none does. It returns how many jobs there were.
func (w *Simulator) CancelRunningJobs(n int, hang cluster.Time) int {
	on := map[cluster.JobID][]*SimulatedWorker{}
	for _, id := range w.liveMachineIDs() {
		l := w.Workers[id]
		for _, t := range l.sortedTasks() {
			if t.State == cluster.Running && t.Remaining > 5*second {
				on[t.ID.Job] = append(on[t.ID.Job], l)
			}
		}
	}
	left := map[cluster.JobID]cluster.Time{}
	for id, ls := range on {
		for _, l := range ls {
			for _, t := range l.Tasks {
				if t.ID.Job == id && t.State == cluster.Running {
					left[id] = max(left[id], t.Remaining)
				}
			}
		}
	}
	ids := w.sortedJobIDs()
	sort.SliceStable(ids, func(i, k int) bool { return left[ids[i]] > left[ids[k]] }) // those with longest to go
	count, hung := 0, 0
	for _, id := range ids {
		j := w.Jobs[id]
		if count == n || len(on[id]) == 0 || !j.Accepted || j.CancelRequested || j.ReportedStatus.IsFinal() {
			continue
		}
		count++
		w.After(w.RandomBetween(0, 200*millisecond), func() {
			w.FaultCounts["running jobs cancelled at once"]++
			w.Cancel(j)
		})
		for _, l := range on[id] {
			if hang > 0 && hung < 8 && w.Now >= l.hungUntil {
				hung++
				w.FaultCounts["machines of cancelled jobs hang"]++
				w.HangMachine(l.ID, hang)
			}
		}
	}
	return count
}

// CancelRandomJob lets the user of some job that goes on cancel it.
func (w *Simulator) CancelRandomJob() {
	var l []*Job
	for _, id := range w.sortedJobIDs() {
		if j := w.Jobs[id]; j.Accepted && !j.CancelRequested && !j.ReportedStatus.IsFinal() {
			l = append(l, j)
		}
	}
	if len(l) > 0 {
		w.Cancel(l[w.Rand.IntN(len(l))])
	}
}

// CancelAtEnd cancels a share of the jobs at the moment their last task ends.
func (w *Simulator) CancelAtEnd(share float64, d cluster.Time) {
	w.faults.cancelAtEndChance, w.faults.cancelAtEndUntil = share, w.Now+d
}

func (w *Simulator) handleTaskDone(t cluster.TaskID) {
	if w.Now >= w.faults.cancelAtEndUntil {
		return
	}
	j := w.Jobs[t.Job]
	for i := range j.Spec.Tasks {
		if !w.doneTasks[cluster.TaskID{Job: t.Job, Index: i}] {
			return
		}
	}
	if j.Accepted && !j.CancelRequested && !j.ReportedStatus.IsFinal() && w.Chance(w.faults.cancelAtEndChance) {
		w.FaultCounts["jobs cancelled as they end"]++
		w.Cancel(j)
	}
}

// EnableReadAfterWriteChecks lets users ask at all nodes, again and again, right after they
// were told that a job is accepted, done or cancelled.
func (w *Simulator) EnableReadAfterWriteChecks(d cluster.Time) {
	w.faults.readAfterWriteChecksUntil = w.Now + d
}

func (w *Simulator) checkReadAfterWrite(j *Job) {
	if w.Now >= w.faults.readAfterWriteChecksUntil {
		return
	}
	for range 3 {
		for _, n := range w.Nodes {
			kind := w.Rand.IntN(10)
			w.After(w.RandomBetween(0, 50*millisecond), func() { w.checkReadAt(n, j, kind) })
		}
	}
}

// checkReadAt asks one controller about a job that it may not forget any more.
func (w *Simulator) checkReadAt(n *Node, j *Job, kind int) {
	asked, accepted, id := w.Now, j.Accepted, j.Spec.ID
	ev := func(r messages.RequestID) messages.Event { return messages.Query{Request: r, ID: id} }
	what := "questions"
	switch {
	case kind < 2:
		ev, what = func(r messages.RequestID) messages.Event { return messages.Submit{Request: r, Spec: j.Spec} }, "repeats"
	case kind == 2 && j.CancelPlanned:
		j.CancelRequested = true
		ev, what = func(r messages.RequestID) messages.Event { return messages.Cancel{Request: r, ID: id} }, "cancellations"
	}
	w.SendRequest(n, ev, func(r messages.Respond) {
		switch {
		case r.Status == 0 || what == "questions" && w.Now-asked > 2*second || w.Now-asked > 5*second: // nobody hears it
			return
		case r.Status == 200 && r.View != nil:
			if what == "cancellations" || asked >= j.finalReportedAt {
				w.CheckReportedStatus(j, r.View.Status)
			}
		case r.Status == 503 || r.Status == 429:
		case !accepted && what == "cancellations" && r.Status == 404:
		case r.Status == 404 || r.Status == 400 || r.Status == 422:
			w.reportViolation("forgotten: %s was told before %v; %s at %s then get %d", id, time.Duration(asked), what, n.ID, r.Status)
		default:
			w.reportViolation("%s about %s at %s get %d", what, id, n.ID, r.Status)
		}
		w.FaultCounts["close looks: "+what]++
	})
}

// SendOddRequests lets users ask for odd things for a while.
func (w *Simulator) SendOddRequests(d cluster.Time) {
	until := w.Now + d
	var next func()
	next = func() {
		if w.Now >= until {
			return
		}
		w.sendOddRequest()
		w.After(w.RandomBetween(100*millisecond, 500*millisecond), next)
	}
	next()
}

func (w *Simulator) sendOddRequest() {
	switch kind := w.Rand.IntN(4); kind {
	case 0, 1:
		var l []*Job
		for _, id := range w.sortedJobIDs() {
			if j := w.Jobs[id]; j.Accepted && (kind == 0 && !j.ReportedStatus.IsFinal() || kind == 1 && j.ReportedStatus == cluster.JobDone) {
				l = append(l, j)
			}
		}
		if len(l) == 0 {
			return
		}
		j, asked := l[w.Rand.IntN(len(l))], w.Now
		what := "repeats of unfinished jobs"
		ev := func(r messages.RequestID) messages.Event { return messages.Submit{Request: r, Spec: j.Spec} }
		if kind == 1 {
			what = "cancellations of done jobs"
			ev = func(r messages.RequestID) messages.Event { return messages.Cancel{Request: r, ID: j.Spec.ID} }
		}
		w.SendRequest(w.randomNode(), ev, func(r messages.Respond) {
			switch r.Status {
			case 0, 503:
			case 200:
				if r.View == nil {
					w.reportViolation("%s get no state: %s", what, j.Spec.ID)
				} else if kind == 1 || asked >= j.finalReportedAt {
					w.CheckReportedStatus(j, r.View.Status)
				}
			default:
				if r.Status != 429 || kind == 1 {
					w.reportViolation("forgotten: %s get %d: %s", what, r.Status, j.Spec.ID)
				}
			}
			w.FaultCounts["odd requests: "+what]++
		})
	default:
		w.faults.oddRequestCount++
		s := cluster.JobSpec{ID: cluster.JobID(fmt.Sprintf("j-7%05d", w.faults.oddRequestCount)), Class: "odd", Team: w.config.Teams[0].Name, Priority: cluster.Normal,
			Tasks: 1, ResourceRequest: cluster.Resources{CPU: 1_000_000_000, Memory: 1_000_000}, Image: "img", ImageGB: 1, RuntimeSeconds: 5}
		bad, want, what := messages.ReplyNone, messages.ReplyUnschedulable, "jobs that fit no machine"
		if kind == 3 {
			s.ResourceRequest.CPU, bad, want, what = 1_000_000, messages.ReplyBadRequest, messages.ReplyBadRequest, "malformed jobs"
		}
		w.SendRequest(w.randomNode(), func(r messages.RequestID) messages.Event { return messages.Submit{Request: r, Spec: s, Rejection: bad} }, func(r messages.Respond) {
			if r.Status != 0 && r.Status != 503 && r.Status != want && (r.Status != 429 || bad != 0) {
				w.reportViolation("%s get %d: %s", what, r.Status, s.ID)
			}
			if r.Status == want {
				w.FaultCounts["odd requests: "+what]++
			}
		})
		for range 3 {
			w.After(w.RandomBetween(millisecond, 20*second), func() {
				w.SendRequest(w.randomNode(), func(r messages.RequestID) messages.Event { return messages.Query{Request: r, ID: s.ID} }, func(r messages.Respond) {
					if r.Status != 0 && r.Status != 503 && r.Status != 404 {
						w.reportViolation("invented: questions about %s, one of the %s, get %d", s.ID, what, r.Status)
					}
				})
			})
		}
	}
}

// --- the rules ---

// isLeaseExpiredWhileHung tells whether a machine hangs on past its lease. What is on it
// can't run any more: it is ended as the first thing when the machine goes on.
func (l *SimulatedWorker) isLeaseExpiredWhileHung(now cluster.Time) bool {
	return now < l.hungUntil && now-l.leaseRenewedAt > l.LeaseDuration
}

// canOnlyLeaseStop tells whether nothing but its lease can end a cancelled job's task
// on a machine: it hangs on past that, and since the cancellation was confirmed
// either the cloud takes no returns, or a controller ended (at most 6 s before) and the store, which
// alone knows which machines that one had, is out.
func (w *Simulator) canOnlyLeaseStop(j *Job, l *SimulatedWorker) bool {
	return l.isLeaseExpiredWhileHung(w.Now) && (w.CloudDownUntil > j.CancelConfirmedAt || w.StoreDownUntil > j.CancelConfirmedAt && w.lastNodeKillAt+6*second > j.CancelConfirmedAt)
}

// checkStarvation: once all troubles are over, no job waits for 90 s, with
// none of its tasks started meanwhile, while a machine that fits has room and
// its team is under its limit. It judges by what is on the machines alone.
func (w *Simulator) checkStarvation() {
	if w.FaultsOverAt == 0 || w.Now < w.FaultsOverAt || w.Now-w.faults.starvationCheckedAt < 2*second {
		return
	}
	w.faults.starvationCheckedAt = w.Now
	on, use := map[cluster.TaskID]bool{}, map[string]cluster.Resources{}
	for _, id := range w.liveMachineIDs() {
		for _, t := range w.Workers[id].Tasks {
			if t.State != cluster.Ended {
				s := w.Jobs[t.ID.Job].Spec
				on[t.ID] = true
				use[s.Team] = use[s.Team].Plus(s.ResourceRequest)
			}
		}
	}
	for _, id := range w.sortedJobIDs() {
		j := w.Jobs[id]
		if !w.canStart(j, on, use) {
			j.starvingSince = 0
			continue
		}
		if j.starvingSince == 0 {
			j.starvingSince = w.Now
		}
		if w.Now-max(j.starvingSince, j.lastStartAt) > 90*second {
			w.reportViolation("left_waiting: no task of %s started for 90 s while there is room for one", id)
			return
		}
	}
}

func (w *Simulator) canStart(j *Job, on map[cluster.TaskID]bool, use map[string]cluster.Resources) bool {
	s := j.Spec
	if !j.Accepted || w.mayBeCancelled(j) || j.ReportedStatus.IsFinal() || s.Colocate || s.Spread {
		return false
	}
	for _, a := range w.transitiveDependencies(j) {
		if a.ReportedStatus != cluster.JobDone {
			return false
		}
	}
	pending := false
	for i := 0; i < s.Tasks && !pending; i++ {
		id := cluster.TaskID{Job: s.ID, Index: i}
		pending = !w.doneTasks[id] && !on[id]
	}
	if !pending {
		return false
	}
	for _, t := range w.config.Teams {
		if t.Name == s.Team && !isWithinQuotaLimit(use[s.Team].Plus(s.ResourceRequest), t.QuotaLimit) {
			return false
		}
	}
	for _, id := range w.liveMachineIDs() {
		l := w.Workers[id]
		if w.Now < max(l.hungUntil, l.cutUntil, l.unreachableUntil, l.heartbeatsBlockedUntil, l.FaultyUntil) || l.PreemptionNotice >= 0 {
			continue
		}
		if s.Zone != "" && s.Zone != l.Zone || l.Spot && !s.Spot || len(s.MachineTypes) > 0 && !slices.Contains(s.MachineTypes, l.Type) {
			continue
		}
		if l.UsedResources().Plus(s.ResourceRequest).FitsIn(l.Capacity) {
			return true
		}
	}
	return false
}

// isWithinQuotaLimit compares what a team uses with its limit; memory has none.
func isWithinQuotaLimit(use, limit cluster.Resources) bool {
	return use.CPU <= limit.CPU && use.GPU <= limit.GPU
}
