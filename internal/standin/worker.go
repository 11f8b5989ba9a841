package standin

import (
	"sort"

	"stairrelay/internal/core"
)

// noNotice is the Notice of a machine that the cloud has not called back.
const noNotice = -1

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
	Run        core.Time // how long a task runs
	Checkpoint bool      // tasks can be saved
	Save       core.Time // how long that takes
	Tasks      int
	Image      string
	Fails      bool // every task ends with an error
}

// Worker is a model of one machine's worker.
type Worker struct {
	ID      core.MachineID
	Type    string
	Zone    string
	Spot    bool
	Cap     core.Res
	Fetch   core.Time // how long it fetches an image
	Lease   core.Time
	Jobs    func(core.JobID) (JobInfo, bool)
	Done    map[core.TaskID]bool // results are kept outside the machine
	OnStart func(w *Worker, t *Task)
	OnDone  func(t core.TaskID) // may be nil
	Sick    core.Time           // fails every task until then

	Session core.Session
	Stamp   core.Stamp
	Token   core.Token
	Notice  float64 // seconds until the cloud takes the machine; negative: it does not
	Tasks   map[core.TaskID]*Task
	images  map[string]bool // those that have been fetched
	renewed core.Time       // when the lease was last renewed
	last    core.Time       // of the last Advance
}

// Start makes the worker run from now on.
func (w *Worker) Start(now core.Time) {
	w.Session = 1
	w.Notice = noNotice
	w.renewed = now
	w.last = now
	w.Tasks = map[core.TaskID]*Task{}
	w.images = map[string]bool{}
}

// Advance lets time pass; it returns true when something changed. While the
// machine hangs it is not called, so that its tasks stand still.
func (w *Worker) Advance(now core.Time) bool {
	elapsed := now - w.last
	w.last = now
	if now-w.renewed > w.Lease {
		w.beginSession(now)
		return true
	}
	changed := false
	for _, task := range w.sorted() {
		if task.State == core.Ended {
			continue
		}
		task.Left -= elapsed
		if task.Left <= 0 {
			w.complete(task, now)
			changed = true
		}
	}
	return changed
}

// beginSession drops all tasks, since the lease has run out.
func (w *Worker) beginSession(now core.Time) {
	w.Session++
	w.Stamp = 0
	w.Tasks = map[core.TaskID]*Task{}
	w.renewed = now
}

// complete ends a task's present state.
func (w *Worker) complete(task *Task, now core.Time) {
	info, _ := w.Jobs(task.ID.Job)
	switch task.State {
	case core.Fetching:
		w.images[info.Image] = true
		w.run(task, info)
	case core.Running:
		if info.Fails || now < w.Sick {
			task.end(core.CauseError)
			return
		}
		task.end(core.CauseDone)
		w.Done[task.ID] = true
		if w.OnDone != nil {
			w.OnDone(task.ID)
		}
	case core.Saving:
		task.end(core.CauseStopped)
		task.Saved = true
	}
}

func (t *Task) end(cause core.Cause) {
	t.State = core.Ended
	t.Cause = cause
}

// run starts a task whose image is there. One that is done already ends at
// once, and so does any on a sick machine.
func (w *Worker) run(task *Task, info JobInfo) {
	task.State = core.Running
	task.Left = info.Run
	if w.Done[task.ID] || w.last < w.Sick {
		task.Left = 0
	}
	w.OnStart(w, task)
}

// sorted lists the tasks by their names.
func (w *Worker) sorted() []*Task {
	tasks := make([]*Task, 0, len(w.Tasks))
	for _, task := range w.Tasks {
		tasks = append(tasks, task)
	}
	sort.Slice(tasks, func(i, k int) bool { return tasks[i].ID.String() < tasks[k].ID.String() })
	return tasks
}

// Used sums what the tasks take.
func (w *Worker) Used() core.Res {
	var used core.Res
	for _, task := range w.Tasks {
		if task.State == core.Ended {
			continue
		}
		info, _ := w.Jobs(task.ID.Job)
		used.CPU += info.Need.CPU
		used.GPU += info.Need.GPU
		used.Mem += info.Need.Mem
	}
	return used
}

// Report is the next report.
func (w *Worker) Report() core.Report {
	w.Stamp++
	report := core.Report{
		Machine: w.ID,
		Addr:    string(w.ID),
		Type:    w.Type,
		Zone:    w.Zone,
		Spot:    w.Spot,
		Session: w.Session,
		Stamp:   w.Stamp,
		Token:   w.Token,
		Notice:  w.Notice,
	}
	for _, task := range w.sorted() {
		report.Tasks = append(report.Tasks, core.TaskReport{
			Task:    task.ID,
			Attempt: task.Attempt,
			State:   task.State,
			Cause:   task.Cause,
			Saved:   task.Saved,
		})
	}
	return report
}

// Answered takes in the answer to the report of a session sent at a time.
func (w *Worker) Answered(session core.Session, sent core.Time, answer core.WorkerAnswer) {
	if session != w.Session || answer.Token < w.Token || answer.Token == 0 {
		return
	}
	w.Token = answer.Token
	w.renewed = max(w.renewed, sent)
	w.execute(answer.Commands)
}

// Orders carries out direct commands.
func (w *Worker) Orders(orders core.Orders) core.OrdersReply {
	if orders.Token < w.Token || orders.Session != w.Session {
		return core.OrdersReply{Out: core.Conflict, Report: w.Report()}
	}
	w.Token = orders.Token
	w.execute(orders.Commands)
	return core.OrdersReply{Out: core.OK, Report: w.Report()}
}

func (w *Worker) execute(commands []core.Command) {
	for _, command := range commands {
		switch command.Verb {
		case core.Start:
			w.start(command)
		case core.Stop:
			w.stop(command)
		case core.Forget:
			w.forget(command)
		}
	}
}

// start begins a task. This model has one slot for each task: while an attempt
// is there, another is not even refused.
func (w *Worker) start(command core.Command) {
	if w.Tasks[command.Task] != nil {
		return
	}
	// Until it has got its room it does not count as using any.
	task := &Task{ID: command.Task, Attempt: command.Attempt, State: core.Ended}
	w.Tasks[command.Task] = task
	info, known := w.Jobs(command.Task.Job)
	switch {
	case !known || command.Task.Index >= info.Tasks:
		task.end(core.CauseNoSuch)
	case !w.hasRoomFor(info.Need):
		task.end(core.CauseFull)
	case w.images[info.Image]:
		w.run(task, info)
	default:
		task.State = core.Fetching
		task.Left = w.Fetch
	}
}

func (w *Worker) hasRoomFor(need core.Res) bool {
	used := w.Used()
	return used.CPU+need.CPU <= w.Cap.CPU && used.Mem+need.Mem <= w.Cap.Mem && used.GPU+need.GPU <= w.Cap.GPU
}

// stop ends a task. One that can be saved within the grace is saved first; one
// that is being saved goes on if there is any grace.
func (w *Worker) stop(command core.Command) {
	task := w.Tasks[command.Task]
	if task == nil || task.Attempt != command.Attempt || task.State == core.Ended {
		return
	}
	info, _ := w.Jobs(task.ID.Job)
	grace := core.Time(command.Grace * float64(second))
	canSave := info.Checkpoint && info.Save > 0 && grace >= info.Save
	switch {
	case task.State == core.Running && canSave:
		task.State = core.Saving
		task.Left = info.Save
	case task.State == core.Saving && command.Grace > 0:
	default:
		task.end(core.CauseStopped)
	}
}

// forget drops the account of a task that has ended.
func (w *Worker) forget(command core.Command) {
	task := w.Tasks[command.Task]
	if task != nil && task.Attempt == command.Attempt && task.State == core.Ended {
		delete(w.Tasks, command.Task)
	}
}
