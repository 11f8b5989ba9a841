package standin

import (
	"sort"

	"stairrelay/internal/core"
)

// noNotice is the Notice of a machine that the cloud has not called back.
const noPreemptionNotice = -1

// Task is one task on a Worker.
type Task struct {
	ID        core.TaskID
	Attempt   core.Attempt
	State     core.TaskState
	Cause     core.Cause
	Saved     bool
	Remaining core.Time // of the fetch, the run or the saving
}

// JobInfo is what a worker fetches of a job on its own.
type JobInfo struct {
	ResourceRequest core.Resources
	RunDuration     core.Time // how long a task runs
	CanCheckpoint   bool      // tasks can be saved
	SaveDuration    core.Time // how long that takes
	TaskCount       int
	Image           string
	AlwaysFails     bool // every task ends with an error
}

// Worker is a model of one machine's worker.
type FakeWorker struct {
	ID            core.MachineID
	Type          string
	Zone          string
	Spot          bool
	Capacity      core.Resources
	FetchDuration core.Time // how long it fetches an image
	LeaseDuration core.Time
	LookupJob     func(core.JobID) (JobInfo, bool)
	DoneTasks     map[core.TaskID]bool // results are kept outside the machine
	OnStart       func(w *FakeWorker, t *Task)
	OnDone        func(t core.TaskID) // may be nil
	FaultyUntil   core.Time           // fails every task until then

	Incarnation      core.Incarnation
	SequenceNumber   core.SequenceNumber
	FencingToken     core.FencingToken
	PreemptionNotice float64 // seconds until the cloud takes the machine; negative: it does not
	Tasks            map[core.TaskID]*Task
	fetchedImages    map[string]bool // those that have been fetched
	leaseRenewedAt   core.Time       // when the lease was last renewed
	lastAdvanceAt    core.Time       // of the last Advance
}

// Start makes the worker run from now on.
func (w *FakeWorker) Start(now core.Time) {
	w.Incarnation = 1
	w.PreemptionNotice = noPreemptionNotice
	w.leaseRenewedAt = now
	w.lastAdvanceAt = now
	w.Tasks = map[core.TaskID]*Task{}
	w.fetchedImages = map[string]bool{}
}

// Advance lets time pass; it returns true when something changed. While the
// machine hangs it is not called, so that its tasks stand still.
func (w *FakeWorker) Advance(now core.Time) bool {
	elapsed := now - w.lastAdvanceAt
	w.lastAdvanceAt = now
	if now-w.leaseRenewedAt > w.LeaseDuration {
		w.beginIncarnation(now)
		return true
	}
	changed := false
	for _, task := range w.sortedTasks() {
		if task.State == core.Ended {
			continue
		}
		task.Remaining -= elapsed
		if task.Remaining <= 0 {
			w.completeTaskState(task, now)
			changed = true
		}
	}
	return changed
}

// beginSession drops all tasks, since the lease has run out.
func (w *FakeWorker) beginIncarnation(now core.Time) {
	w.Incarnation++
	w.SequenceNumber = 0
	w.Tasks = map[core.TaskID]*Task{}
	w.leaseRenewedAt = now
}

// complete ends a task's present state.
func (w *FakeWorker) completeTaskState(task *Task, now core.Time) {
	info, _ := w.LookupJob(task.ID.Job)
	switch task.State {
	case core.Fetching:
		w.fetchedImages[info.Image] = true
		w.runTask(task, info)
	case core.Running:
		if info.AlwaysFails || now < w.FaultyUntil {
			task.finish(core.CauseFailed)
			return
		}
		task.finish(core.CauseCompleted)
		w.DoneTasks[task.ID] = true
		if w.OnDone != nil {
			w.OnDone(task.ID)
		}
	case core.Checkpointing:
		task.finish(core.CauseStopped)
		task.Saved = true
	}
}

func (t *Task) finish(cause core.Cause) {
	t.State = core.Ended
	t.Cause = cause
}

// run starts a task whose image is there. One that is done already ends at
// once, and so does any on a sick machine.
func (w *FakeWorker) runTask(task *Task, info JobInfo) {
	task.State = core.Running
	task.Remaining = info.RunDuration
	if w.DoneTasks[task.ID] || w.lastAdvanceAt < w.FaultyUntil {
		task.Remaining = 0
	}
	w.OnStart(w, task)
}

// sorted lists the tasks by their names.
func (w *FakeWorker) sortedTasks() []*Task {
	tasks := make([]*Task, 0, len(w.Tasks))
	for _, task := range w.Tasks {
		tasks = append(tasks, task)
	}
	sort.Slice(tasks, func(i, k int) bool { return tasks[i].ID.String() < tasks[k].ID.String() })
	return tasks
}

// Used sums what the tasks take.
func (w *FakeWorker) UsedResources() core.Resources {
	var used core.Resources
	for _, task := range w.Tasks {
		if task.State == core.Ended {
			continue
		}
		info, _ := w.LookupJob(task.ID.Job)
		used.CPU += info.ResourceRequest.CPU
		used.GPU += info.ResourceRequest.GPU
		used.Memory += info.ResourceRequest.Memory
	}
	return used
}

// Report is the next report.
func (w *FakeWorker) NextStatus() core.HeartbeatStatus {
	w.SequenceNumber++
	report := core.HeartbeatStatus{
		Machine:          w.ID,
		Addr:             string(w.ID),
		Type:             w.Type,
		Zone:             w.Zone,
		Spot:             w.Spot,
		Incarnation:      w.Incarnation,
		SequenceNumber:   w.SequenceNumber,
		FencingToken:     w.FencingToken,
		PreemptionNotice: w.PreemptionNotice,
	}
	for _, task := range w.sortedTasks() {
		report.Tasks = append(report.Tasks, core.TaskStatus{
			Task:         task.ID,
			Attempt:      task.Attempt,
			State:        task.State,
			Cause:        task.Cause,
			Checkpointed: task.Saved,
		})
	}
	return report
}

// Answered takes in the answer to the report of a session sent at a time.
func (w *FakeWorker) HandleHeartbeatAnswer(session core.Incarnation, sent core.Time, answer core.HeartbeatResponse) {
	if session != w.Incarnation || answer.FencingToken < w.FencingToken || answer.FencingToken == 0 {
		return
	}
	w.FencingToken = answer.FencingToken
	w.leaseRenewedAt = max(w.leaseRenewedAt, sent)
	w.executeCommands(answer.Commands)
}

// Orders carries out direct commands.
func (w *FakeWorker) HandleCommands(orders core.PushCommands) core.PushCommandsReply {
	if orders.FencingToken < w.FencingToken || orders.Incarnation != w.Incarnation {
		return core.PushCommandsReply{Outcome: core.Conflict, Status: w.NextStatus()}
	}
	w.FencingToken = orders.FencingToken
	w.executeCommands(orders.Commands)
	return core.PushCommandsReply{Outcome: core.OK, Status: w.NextStatus()}
}

func (w *FakeWorker) executeCommands(commands []core.Command) {
	for _, command := range commands {
		switch command.Kind {
		case core.Start:
			w.startTask(command)
		case core.Stop:
			w.stopTask(command)
		case core.Acknowledge:
			w.acknowledgeTask(command)
		}
	}
}

// start begins a task. This model has one slot for each task: while an attempt
// is there, another is not even refused.
func (w *FakeWorker) startTask(command core.Command) {
	if w.Tasks[command.Task] != nil {
		return
	}
	// Until it has got its room it does not count as using any.
	task := &Task{ID: command.Task, Attempt: command.Attempt, State: core.Ended}
	w.Tasks[command.Task] = task
	info, known := w.LookupJob(command.Task.Job)
	switch {
	case !known || command.Task.Index >= info.TaskCount:
		task.finish(core.CauseUnknownTask)
	case !w.hasCapacityFor(info.ResourceRequest):
		task.finish(core.CauseNoCapacity)
	case w.fetchedImages[info.Image]:
		w.runTask(task, info)
	default:
		task.State = core.Fetching
		task.Remaining = w.FetchDuration
	}
}

func (w *FakeWorker) hasCapacityFor(need core.Resources) bool {
	used := w.UsedResources()
	return used.CPU+need.CPU <= w.Capacity.CPU && used.Memory+need.Memory <= w.Capacity.Memory && used.GPU+need.GPU <= w.Capacity.GPU
}

// stop ends a task. One that can be saved within the grace is saved first; one
// that is being saved goes on if there is any grace.
func (w *FakeWorker) stopTask(command core.Command) {
	task := w.Tasks[command.Task]
	if task == nil || task.Attempt != command.Attempt || task.State == core.Ended {
		return
	}
	info, _ := w.LookupJob(task.ID.Job)
	grace := core.Time(command.GraceSeconds * float64(second))
	canSave := info.CanCheckpoint && info.SaveDuration > 0 && grace >= info.SaveDuration
	switch {
	case task.State == core.Running && canSave:
		task.State = core.Checkpointing
		task.Remaining = info.SaveDuration
	case task.State == core.Checkpointing && command.GraceSeconds > 0:
	default:
		task.finish(core.CauseStopped)
	}
}

// forget drops the account of a task that has ended.
func (w *FakeWorker) acknowledgeTask(command core.Command) {
	task := w.Tasks[command.Task]
	if task != nil && task.Attempt == command.Attempt && task.State == core.Ended {
		delete(w.Tasks, command.Task)
	}
}
