package standin

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"stairrelay/internal/core"
)

// Troubles that come from two things that meet: each is off unless a test asks
// for it, and each is counted in Faults when it has happened.

type trouble struct {
	late       float64 // share of transactions without an answer
	lateUntil  core.Time
	lateAtOnce bool
	slow       core.Time // added to the answers of the state service
	slowUntil  core.Time
	keep       float64 // share of reports whose copies are kept for the next holder
	keepUntil  core.Time
	kept       []core.Report
	holders    map[string]string // of the parts, as the state service has them
	onClaim    []claimHook
	atEnd      float64 // share of jobs cancelled as they end
	atEndUntil core.Time
	closeUntil core.Time
	bootUntil  core.Time
	odd        int
	judgedAt   core.Time
}

type claimHook struct {
	until core.Time
	fn    func(holder core.NodeID)
}

func (t *trouble) slowNow(now core.Time) core.Time {
	if now < t.slowUntil {
		return t.slow
	}
	return 0
}

// LateWrites lets a share of transactions get no answer for a while. They are
// carried out 2 to 12 s later, after newer ones of the same controller; with
// atOnce they are carried out at once and only the answer is lost.
func (w *World) LateWrites(share float64, d core.Time, atOnce bool) {
	w.more.late, w.more.lateUntil, w.more.lateAtOnce = share, w.Now+d, atOnce
}

// lateWrite tells whether a transaction gets no answer, and sees to it that it
// is carried out all the same.
func (w *World) lateWrite(n *Node, do func() any) bool {
	atOnce := w.Now < n.Unheard
	if !atOnce {
		if w.Now >= w.more.lateUntil || !w.Chance(w.more.late) {
			return false
		}
		atOnce = w.more.lateAtOnce
	}
	if atOnce {
		w.After(w.delay(), func() {
			if do().(core.TxnReply).Out == core.OK {
				w.Faults["answers lost though carried out"]++
			}
		})
		return true
	}
	var carryOut func()
	carryOut = func() {
		if w.Now < w.Down { // a state service that is out carries out nothing
			w.After(w.Down-w.Now+w.Between(0, second), carryOut)
			return
		}
		w.Faults["late writes"]++
		if do().(core.TxnReply).Out == core.OK {
			w.Faults["late writes carried out"]++
		}
	}
	w.After(w.Between(2*second, 12*second), carryOut)
	return true
}

// SlowStore makes the state service answer slowly for a while.
func (w *World) SlowStore(by, d core.Time) { w.more.slow, w.more.slowUntil = by, w.Now+d }

// QuickBoots brings new machines up within 1 to 2 s for a while.
func (w *World) QuickBoots(d core.Time) { w.more.bootUntil = w.Now + d }

// BootsQuickly tells whether machines rented now are up within 1 to 2 s.
func (w *World) BootsQuickly() bool {
	if w.Now >= w.more.bootUntil {
		return false
	}
	w.Faults["machines up within two seconds"]++
	return true
}

// Mute takes a machine's way to the controllers, not theirs to it.
func (w *World) Mute(id core.MachineID, d core.Time) {
	if l := w.Workers[id]; l != nil {
		l.mute = w.Now + d
	}
}

// KeepForNext keeps copies of a share of the reports for a while. They arrive
// at every controller right after a part changes hands.
func (w *World) KeepForNext(share float64, d core.Time) {
	w.more.keep, w.more.keepUntil = share, w.Now+d
}

func (w *World) keepForNext(r core.Report) {
	if w.Now < w.more.keepUntil && len(w.more.kept) < 60 && w.Chance(w.more.keep) {
		w.more.kept = append(w.more.kept, r)
	}
}

// OnClaim calls fn once, when a part next changes hands within a time.
func (w *World) OnClaim(within core.Time, fn func(holder core.NodeID)) {
	w.more.onClaim = append(w.more.onClaim, claimHook{w.Now + within, fn})
}

// claimed notes who holds which part after a transaction.
func (w *World) claimed(ops []core.TxnOp) {
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
		if w.more.holders == nil {
			w.more.holders = map[string]string{}
		}
		before := w.more.holders[o.Key]
		w.more.holders[o.Key] = rec.Holder
		if before == "" || before == rec.Holder {
			continue
		}
		kept, hooks := w.more.kept, w.more.onClaim
		w.more.kept, w.more.onClaim = nil, nil
		for _, r := range kept {
			for _, n := range w.Nodes {
				w.After(w.Between(milli, 300*milli), func() {
					w.Ask(n, func(id core.ReqID) core.Event { return core.Checkin{Req: id, Report: r} }, func(a core.Respond) {
						if a.Status != 0 {
							w.Faults["old reports at every controller as a part changes hands"]++
						}
					})
				})
			}
		}
		for _, h := range hooks {
			if w.Now < h.until {
				h.fn(core.NodeID(rec.Holder))
			}
		}
	}
}

// jobIDs lists the jobs in order, so that draws don't depend on the map's.
func (w *World) jobIDs() []core.JobID {
	l := make([]core.JobID, 0, len(w.Jobs))
	for id := range w.Jobs {
		l = append(l, id)
	}
	sort.Slice(l, func(i, k int) bool { return l[i] < l[k] })
	return l
}

// CancelNow lets the users of up to n jobs that run and have long to go cancel
// them within a fifth of a second, while up to eight machines of them hang for
// a while; hang 0: none does. It returns how many jobs there were.
func (w *World) CancelNow(n int, hang core.Time) int {
	on := map[core.JobID][]*Live{}
	for _, id := range w.liveIDs() {
		l := w.Workers[id]
		for _, t := range l.sorted() {
			if t.State == core.Running && t.Left > 5*second {
				on[t.ID.Job] = append(on[t.ID.Job], l)
			}
		}
	}
	left := map[core.JobID]core.Time{}
	for id, ls := range on {
		for _, l := range ls {
			for _, t := range l.Tasks {
				if t.ID.Job == id && t.State == core.Running {
					left[id] = max(left[id], t.Left)
				}
			}
		}
	}
	ids := w.jobIDs()
	sort.SliceStable(ids, func(i, k int) bool { return left[ids[i]] > left[ids[k]] }) // those with longest to go
	count, hung := 0, 0
	for _, id := range ids {
		j := w.Jobs[id]
		if count == n || len(on[id]) == 0 || !j.Accepted || j.AskedCancel || j.Told.Final() {
			continue
		}
		count++
		w.After(w.Between(0, 200*milli), func() {
			w.Faults["running jobs cancelled at once"]++
			w.Cancel(j)
		})
		for _, l := range on[id] {
			if hang > 0 && hung < 8 && w.Now >= l.hang {
				hung++
				w.Faults["machines of cancelled jobs hang"]++
				w.Hang(l.ID, hang)
			}
		}
	}
	return count
}

// CancelSome lets the user of some job that goes on cancel it.
func (w *World) CancelSome() {
	var l []*Job
	for _, id := range w.jobIDs() {
		if j := w.Jobs[id]; j.Accepted && !j.AskedCancel && !j.Told.Final() {
			l = append(l, j)
		}
	}
	if len(l) > 0 {
		w.Cancel(l[w.Rand.IntN(len(l))])
	}
}

// CancelAtEnd cancels a share of the jobs at the moment their last task ends.
func (w *World) CancelAtEnd(share float64, d core.Time) {
	w.more.atEnd, w.more.atEndUntil = share, w.Now+d
}

func (w *World) onDone(t core.TaskID) {
	if w.Now >= w.more.atEndUntil {
		return
	}
	j := w.Jobs[t.Job]
	for i := range j.Spec.Tasks {
		if !w.done[core.TaskID{Job: t.Job, Index: i}] {
			return
		}
	}
	if j.Accepted && !j.AskedCancel && !j.Told.Final() && w.Chance(w.more.atEnd) {
		w.Faults["jobs cancelled as they end"]++
		w.Cancel(j)
	}
}

// CloseLooks lets users ask at all nodes, again and again, right after they
// were told that a job is accepted, done or cancelled.
func (w *World) CloseLooks(d core.Time) { w.more.closeUntil = w.Now + d }

func (w *World) lookClosely(j *Job) {
	if w.Now >= w.more.closeUntil {
		return
	}
	for range 3 {
		for _, n := range w.Nodes {
			kind := w.Rand.IntN(10)
			w.After(w.Between(0, 50*milli), func() { w.look(n, j, kind) })
		}
	}
}

// look asks one controller about a job that it may not forget any more.
func (w *World) look(n *Node, j *Job, kind int) {
	asked, accepted, id := w.Now, j.Accepted, j.Spec.ID
	ev := func(r core.ReqID) core.Event { return core.Query{Req: r, ID: id} }
	what := "questions"
	switch {
	case kind < 2:
		ev, what = func(r core.ReqID) core.Event { return core.Submit{Req: r, Job: j.Spec} }, "repeats"
	case kind == 2 && j.MayCancel:
		j.AskedCancel = true
		ev, what = func(r core.ReqID) core.Event { return core.Cancel{Req: r, ID: id} }, "cancellations"
	}
	w.Ask(n, ev, func(r core.Respond) {
		switch {
		case r.Status == 0 || what == "questions" && w.Now-asked > 2*second || w.Now-asked > 5*second: // nobody hears it
			return
		case r.Status == 200 && r.View != nil:
			if what == "cancellations" || asked >= j.finalAt {
				w.Told(j, r.View.Status)
			}
		case r.Status == 503 || r.Status == 429:
		case !accepted && what == "cancellations" && r.Status == 404:
		case r.Status == 404 || r.Status == 400 || r.Status == 422:
			w.broke("forgotten: %s was told before %v; %s at %s then get %d", id, time.Duration(asked), what, n.ID, r.Status)
		default:
			w.broke("%s about %s at %s get %d", what, id, n.ID, r.Status)
		}
		w.Faults["close looks: "+what]++
	})
}

// OddRequests lets users ask for odd things for a while.
func (w *World) OddRequests(d core.Time) {
	until := w.Now + d
	var next func()
	next = func() {
		if w.Now >= until {
			return
		}
		w.oddRequest()
		w.After(w.Between(100*milli, 500*milli), next)
	}
	next()
}

func (w *World) oddRequest() {
	switch kind := w.Rand.IntN(4); kind {
	case 0, 1:
		var l []*Job
		for _, id := range w.jobIDs() {
			if j := w.Jobs[id]; j.Accepted && (kind == 0 && !j.Told.Final() || kind == 1 && j.Told == core.StDone) {
				l = append(l, j)
			}
		}
		if len(l) == 0 {
			return
		}
		j, asked := l[w.Rand.IntN(len(l))], w.Now
		what := "repeats of unfinished jobs"
		ev := func(r core.ReqID) core.Event { return core.Submit{Req: r, Job: j.Spec} }
		if kind == 1 {
			what = "cancellations of done jobs"
			ev = func(r core.ReqID) core.Event { return core.Cancel{Req: r, ID: j.Spec.ID} }
		}
		w.Ask(w.any(), ev, func(r core.Respond) {
			switch r.Status {
			case 0, 503:
			case 200:
				if r.View == nil {
					w.broke("%s get no state: %s", what, j.Spec.ID)
				} else if kind == 1 || asked >= j.finalAt {
					w.Told(j, r.View.Status)
				}
			default:
				if r.Status != 429 || kind == 1 {
					w.broke("forgotten: %s get %d: %s", what, r.Status, j.Spec.ID)
				}
			}
			w.Faults["odd requests: "+what]++
		})
	default:
		w.more.odd++
		s := core.JobSpec{ID: core.JobID(fmt.Sprintf("j-7%05d", w.more.odd)), Class: "odd", Team: w.cfg.Teams[0].Name, Priority: core.Normal,
			Tasks: 1, Need: core.Res{CPU: 1_000_000_000, Mem: 1_000_000}, Image: "img", ImageGB: 1, RuntimeS: 5}
		bad, want, what := core.ReplyNone, core.ReplyNeverRuns, "jobs that fit no machine"
		if kind == 3 {
			s.Need.CPU, bad, want, what = 1_000_000, core.ReplyMalformed, core.ReplyMalformed, "malformed jobs"
		}
		w.Ask(w.any(), func(r core.ReqID) core.Event { return core.Submit{Req: r, Job: s, Bad: bad} }, func(r core.Respond) {
			if r.Status != 0 && r.Status != 503 && r.Status != want && (r.Status != 429 || bad != 0) {
				w.broke("%s get %d: %s", what, r.Status, s.ID)
			}
			if r.Status == want {
				w.Faults["odd requests: "+what]++
			}
		})
		for range 3 {
			w.After(w.Between(milli, 20*second), func() {
				w.Ask(w.any(), func(r core.ReqID) core.Event { return core.Query{Req: r, ID: s.ID} }, func(r core.Respond) {
					if r.Status != 0 && r.Status != 503 && r.Status != 404 {
						w.broke("invented: questions about %s, one of the %s, get %d", s.ID, what, r.Status)
					}
				})
			})
		}
	}
}

// --- the rules ---

// lostWhileHung tells whether a machine hangs on past its lease. What is on it
// can't run any more: it is ended as the first thing when the machine goes on.
func (l *Live) lostWhileHung(now core.Time) bool { return now < l.hang && now-l.renewed > l.Lease }

// leaseAlone tells whether nothing but its lease can end a cancelled job's task
// on a machine: it hangs on past that, and since the cancellation was confirmed
// either the cloud takes no returns, or a controller ended (at most 6 s before) and the store, which
// alone knows which machines that one had, is out.
func (w *World) leaseAlone(j *Job, l *Live) bool {
	return l.lostWhileHung(w.Now) && (w.CloudDn > j.CancelTold || w.Down > j.CancelTold && w.lastKill+6*second > j.CancelTold)
}

// checkLeftWaiting: once all troubles are over, no job waits for 90 s, with
// none of its tasks started meanwhile, while a machine that fits has room and
// its team is under its limit. It judges by what is on the machines alone.
func (w *World) checkLeftWaiting() {
	if w.Calmed == 0 || w.Now < w.Calmed || w.Now-w.more.judgedAt < 2*second {
		return
	}
	w.more.judgedAt = w.Now
	on, use := map[core.TaskID]bool{}, map[string]core.Res{}
	for _, id := range w.liveIDs() {
		for _, t := range w.Workers[id].Tasks {
			if t.State != core.Ended {
				s := w.Jobs[t.ID.Job].Spec
				on[t.ID] = true
				use[s.Team] = use[s.Team].Plus(s.Need)
			}
		}
	}
	for _, id := range w.jobIDs() {
		j := w.Jobs[id]
		if !w.couldStart(j, on, use) {
			j.idleFrom = 0
			continue
		}
		if j.idleFrom == 0 {
			j.idleFrom = w.Now
		}
		if w.Now-max(j.idleFrom, j.lastStart) > 90*second {
			w.broke("left_waiting: no task of %s started for 90 s while there is room for one", id)
			return
		}
	}
}

func (w *World) couldStart(j *Job, on map[core.TaskID]bool, use map[string]core.Res) bool {
	s := j.Spec
	if !j.Accepted || w.mayBeCancelled(j) || j.Told.Final() || s.SamePlace || s.Scatter {
		return false
	}
	for _, a := range w.awaited(j) {
		if a.Told != core.StDone {
			return false
		}
	}
	pending := false
	for i := 0; i < s.Tasks && !pending; i++ {
		id := core.TaskID{Job: s.ID, Index: i}
		pending = !w.done[id] && !on[id]
	}
	if !pending {
		return false
	}
	for _, t := range w.cfg.Teams {
		if t.Name == s.Team && !within(use[s.Team].Plus(s.Need), t.Limit) {
			return false
		}
	}
	for _, id := range w.liveIDs() {
		l := w.Workers[id]
		if w.Now < max(l.hang, l.cut, l.deaf, l.mute, l.Sick) || l.Notice >= 0 {
			continue
		}
		if s.Zone != "" && s.Zone != l.Zone || l.Spot && !s.Spot || len(s.Types) > 0 && !slices.Contains(s.Types, l.Type) {
			continue
		}
		if l.Used().Plus(s.Need).Fits(l.Cap) {
			return true
		}
	}
	return false
}

// within compares what a team uses with its limit; memory has none.
func within(use, limit core.Res) bool { return use.CPU <= limit.CPU && use.GPU <= limit.GPU }
