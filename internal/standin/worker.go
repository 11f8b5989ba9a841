package standin

import (
	"sort"

	"stairrelay/internal/core"
)

// Task is one task on a Worker.
type Task struct {
	ID      core.TaskID
	Attempt core.Attempt
	State   core.TaskState
	Cause   core.Cause
	Saved   bool
	Left    core.Time // of the fetch, the run or the saving
}

// JobInfo is what a worker fetches of a job on its own.
type JobInfo struct {
	Need       core.Res
	Run        core.Time
	Checkpoint bool
	Save       core.Time
	Tasks      int
	Image      string
	Fails      bool
}

// Worker is a model of one machine's worker.
type Worker struct {
	ID      core.MachineID
	Type    string
	Zone    string
	Spot    bool
	Cap     core.Res
	Fetch   core.Time
	Lease   core.Time
	Jobs    func(core.JobID) (JobInfo, bool)
	Done    map[core.TaskID]bool // results are kept outside the machine
	OnStart func(w *Worker, t *Task)
	OnDone  func(t core.TaskID) // may be nil
	Sick    core.Time           // fails every task until then

	Session core.Session
	Stamp   core.Stamp
	Token   core.Token
	Notice  float64
	Tasks   map[core.TaskID]*Task
	images  map[string]bool
	renewed core.Time
	last    core.Time
}

// Start makes the worker run from now on.
func (w *Worker) Start(now core.Time) {
	w.Session, w.Notice, w.renewed, w.last = 1, -1, now, now
	w.Tasks, w.images = map[core.TaskID]*Task{}, map[string]bool{}
}

// Advance lets time pass; it returns true when something changed. While the
// machine hangs it is not called, so that its tasks stand still.
func (w *Worker) Advance(now core.Time) bool {
	dt := now - w.last
	w.last = now
	if now-w.renewed > w.Lease {
		w.Session++
		w.Stamp = 0
		w.Tasks = map[core.TaskID]*Task{}
		w.renewed = now
		return true
	}
	changed := false
	for _, t := range w.sorted() {
		if t.State == core.Ended {
			continue
		}
		if t.Left -= dt; t.Left > 0 {
			continue
		}
		info, _ := w.Jobs(t.ID.Job)
		changed = true
		switch t.State {
		case core.Fetching:
			w.images[info.Image] = true
			w.run(t, info)
		case core.Running:
			t.State, t.Cause = core.Ended, core.CauseDone
			if info.Fails || now < w.Sick {
				t.Cause = core.CauseError
			} else {
				w.Done[t.ID] = true
				if w.OnDone != nil {
					w.OnDone(t.ID)
				}
			}
		case core.Saving:
			t.State, t.Cause, t.Saved = core.Ended, core.CauseStopped, true
		}
	}
	return changed
}

func (w *Worker) run(t *Task, info JobInfo) {
	t.State, t.Left = core.Running, info.Run
	if w.Done[t.ID] || w.last < w.Sick { // a sick machine fails it at once
		t.Left = 0
	}
	w.OnStart(w, t)
}

func (w *Worker) sorted() []*Task {
	l := make([]*Task, 0, len(w.Tasks))
	for _, t := range w.Tasks {
		l = append(l, t)
	}
	sort.Slice(l, func(i, k int) bool { return l[i].ID.String() < l[k].ID.String() })
	return l
}

// Used sums what the tasks take.
func (w *Worker) Used() core.Res {
	var r core.Res
	for _, t := range w.Tasks {
		if t.State != core.Ended {
			i, _ := w.Jobs(t.ID.Job)
			r.CPU, r.GPU, r.Mem = r.CPU+i.Need.CPU, r.GPU+i.Need.GPU, r.Mem+i.Need.Mem
		}
	}
	return r
}

// Report is the next report.
func (w *Worker) Report() core.Report {
	w.Stamp++
	r := core.Report{Machine: w.ID, Addr: string(w.ID), Type: w.Type, Zone: w.Zone, Spot: w.Spot, Session: w.Session,
		Stamp: w.Stamp, Token: w.Token, Notice: w.Notice}
	for _, t := range w.sorted() {
		r.Tasks = append(r.Tasks, core.TaskReport{Task: t.ID, Attempt: t.Attempt, State: t.State, Cause: t.Cause, Saved: t.Saved})
	}
	return r
}

// Answered takes in the answer to the report of a session sent at a time.
func (w *Worker) Answered(session core.Session, sent core.Time, a core.WorkerAnswer) {
	if session != w.Session || a.Token < w.Token || a.Token == 0 {
		return
	}
	w.Token = a.Token
	w.renewed = max(w.renewed, sent)
	w.execute(a.Commands)
}

// Orders carries out direct commands.
func (w *Worker) Orders(o core.Orders) core.OrdersReply {
	if o.Token < w.Token || o.Session != w.Session {
		return core.OrdersReply{Out: core.Conflict, Report: w.Report()}
	}
	w.Token = o.Token
	w.execute(o.Commands)
	return core.OrdersReply{Out: core.OK, Report: w.Report()}
}

func (w *Worker) execute(cmds []core.Command) {
	for _, c := range cmds {
		t := w.Tasks[c.Task]
		switch c.Verb {
		case core.Start:
			w.start(t, c)
		case core.Stop:
			if t == nil || t.Attempt != c.Attempt || t.State == core.Ended {
				continue
			}
			info, _ := w.Jobs(t.ID.Job)
			if t.State == core.Running && info.Checkpoint && core.Time(c.Grace*1e9) >= info.Save && info.Save > 0 {
				t.State, t.Left = core.Saving, info.Save
				continue
			}
			if t.State == core.Saving && c.Grace > 0 {
				continue
			}
			t.State, t.Cause = core.Ended, core.CauseStopped
		case core.Forget:
			if t != nil && t.Attempt == c.Attempt && t.State == core.Ended {
				delete(w.Tasks, c.Task)
			}
		}
	}
}

func (w *Worker) start(t *Task, c core.Command) {
	if t != nil && t.Attempt == c.Attempt {
		return
	}
	n := &Task{ID: c.Task, Attempt: c.Attempt, State: core.Ended}
	if t != nil {
		return // this model has one slot a task: the refusal is not kept
	}
	w.Tasks[c.Task] = n
	info, ok := w.Jobs(c.Task.Job)
	if !ok || c.Task.Index >= info.Tasks {
		n.Cause = core.CauseNoSuch
		return
	}
	u := w.Used()
	if u.CPU+info.Need.CPU > w.Cap.CPU || u.Mem+info.Need.Mem > w.Cap.Mem || u.GPU+info.Need.GPU > w.Cap.GPU {
		n.Cause = core.CauseFull
		return
	}
	n.State, n.Left = core.Fetching, w.Fetch
	if w.images[info.Image] {
		w.run(n, info)
	}
}
