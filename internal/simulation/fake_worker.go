package simulation

import (
	"sort"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// noPreemptionNotice is the PreemptionNotice of a machine that the cloud is not going
// to take.
const noPreemptionNotice = -1

// Task is one task on a worker.
type Task struct {
	ID        cluster.TaskID
	Attempt   cluster.Attempt
	State     cluster.TaskState
	Cause     cluster.Cause
	Saved     bool         // its checkpoint is saved
	Remaining cluster.Time // of its present state
}

// JobInfo is what a worker fetches of a job on its own.
type JobInfo struct {
	ResourceRequest cluster.Resources
	RunDuration     cluster.Time // how long a task runs
	CanCheckpoint   bool         // tasks can be saved
	SaveDuration    cluster.Time // how long that takes
	TaskCount       int
	Image           string
	AlwaysFails     bool // every task ends with an error
}

// FakeWorker is a fake of one machine's worker.
type FakeWorker struct {
	ID            cluster.MachineID
	Type          string
	Zone          string
	Spot          bool
	Capacity      cluster.Resources
	FetchDuration cluster.Time // how long it fetches an image
	LeaseDuration cluster.Time
	LookupJob     func(cluster.JobID) (JobInfo, bool)
	DoneTasks     map[cluster.TaskID]bool // results are kept outside the machine
	OnStart       func(w *FakeWorker, t *Task)
	OnDone        func(t cluster.TaskID) // may be nil
	FaultyUntil   cluster.Time           // fails every task until then

	Incarnation      cluster.Incarnation
	SequenceNumber   cluster.SequenceNumber
	FencingToken     cluster.FencingToken
	PreemptionNotice float64 // seconds until the cloud takes the machine; negative: it does not
	Tasks            map[cluster.TaskID]*Task
	fetchedImages    map[string]bool
	leaseRenewedAt   cluster.Time // when the lease was last renewed
	lastAdvanceAt    cluster.Time // of the last Advance
}

// Start makes the worker run from now on, in its first incarnation.
func (w *FakeWorker) Start(now cluster.Time) {
	w.Incarnation = 1
	w.PreemptionNotice = noPreemptionNotice
	w.leaseRenewedAt = now
	w.lastAdvanceAt = now
	w.Tasks = map[cluster.TaskID]*Task{}
	w.fetchedImages = map[string]bool{}
}

// Advance lets time pass; it returns true when something changed. While the
// machine hangs it is not called, so that its tasks stand still.
func (w *FakeWorker) Advance(now cluster.Time) bool {
	elapsed := now - w.lastAdvanceAt
	w.lastAdvanceAt = now
	if now-w.leaseRenewedAt > w.LeaseDuration {
		w.beginIncarnation(now)
		return true
	}
	changed := false
	for _, task := range w.sortedTasks() {
		if task.State == cluster.Ended {
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

// beginIncarnation drops all tasks, since the lease has run out.
func (w *FakeWorker) beginIncarnation(now cluster.Time) {
	w.Incarnation++
	w.SequenceNumber = 0
	w.Tasks = map[cluster.TaskID]*Task{}
	w.leaseRenewedAt = now
}

// completeTaskState ends a task's present state.
func (w *FakeWorker) completeTaskState(task *Task, now cluster.Time) {
	info, _ := w.LookupJob(task.ID.Job)
	switch task.State {
	case cluster.Fetching:
		w.fetchedImages[info.Image] = true
		w.runTask(task, info)
	case cluster.Running:
		if info.AlwaysFails || now < w.FaultyUntil {
			task.finish(cluster.CauseFailed)
			return
		}
		task.finish(cluster.CauseCompleted)
		w.DoneTasks[task.ID] = true
		if w.OnDone != nil {
			w.OnDone(task.ID)
		}
	case cluster.Checkpointing:
		task.finish(cluster.CauseStopped)
		task.Saved = true
	case cluster.Ended:
		// No state follows.
	}
}

func (t *Task) finish(cause cluster.Cause) {
	t.State = cluster.Ended
	t.Cause = cause
}

// runTask starts a task whose image is there. One that is done already ends at
// once, and so does any on a faulty machine.
func (w *FakeWorker) runTask(task *Task, info JobInfo) {
	task.State = cluster.Running
	task.Remaining = info.RunDuration
	if w.DoneTasks[task.ID] || w.lastAdvanceAt < w.FaultyUntil {
		task.Remaining = 0
	}
	w.OnStart(w, task)
}

// sortedTasks lists the tasks in the order of their IDs.
func (w *FakeWorker) sortedTasks() []*Task {
	tasks := make([]*Task, 0, len(w.Tasks))
	for _, task := range w.Tasks {
		tasks = append(tasks, task)
	}
	sort.Slice(tasks, func(i, k int) bool { return tasks[i].ID.String() < tasks[k].ID.String() })
	return tasks
}

// UsedResources adds up what the tasks request.
func (w *FakeWorker) UsedResources() cluster.Resources {
	var used cluster.Resources
	for _, task := range w.Tasks {
		if task.State == cluster.Ended {
			continue
		}
		info, _ := w.LookupJob(task.ID.Job)
		used = used.Plus(info.ResourceRequest)
	}
	return used
}

// NextStatus is the status for the next heartbeat.
func (w *FakeWorker) NextStatus() cluster.HeartbeatStatus {
	w.SequenceNumber++
	status := cluster.HeartbeatStatus{
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
		status.Tasks = append(status.Tasks, cluster.TaskStatus{
			Task:         task.ID,
			Attempt:      task.Attempt,
			State:        task.State,
			Cause:        task.Cause,
			Checkpointed: task.Saved,
		})
	}
	return status
}

// HandleHeartbeatAnswer takes in the answer to a heartbeat that an incarnation sent
// at a time.
func (w *FakeWorker) HandleHeartbeatAnswer(incarnation cluster.Incarnation, sentAt cluster.Time, answer messages.HeartbeatResponse) {
	if incarnation != w.Incarnation || answer.FencingToken < w.FencingToken || answer.FencingToken == 0 {
		return
	}
	w.FencingToken = answer.FencingToken
	w.leaseRenewedAt = max(w.leaseRenewedAt, sentAt)
	w.executeCommands(answer.Commands)
}

// HandleCommands carries out pushed commands.
func (w *FakeWorker) HandleCommands(pushed messages.PushCommands) messages.WorkerReply {
	if pushed.FencingToken < w.FencingToken || pushed.Incarnation != w.Incarnation {
		return messages.WorkerReply{Outcome: messages.Conflict, Status: w.NextStatus()}
	}
	w.FencingToken = pushed.FencingToken
	w.executeCommands(pushed.Commands)
	return messages.WorkerReply{Outcome: messages.OK, Status: w.NextStatus()}
}

func (w *FakeWorker) executeCommands(commands []cluster.Command) {
	for _, command := range commands {
		switch command.Kind {
		case cluster.Start:
			w.startTask(command)
		case cluster.Stop:
			w.stopTask(command)
		case cluster.Acknowledge:
			w.acknowledgeTask(command)
		}
	}
}

// startTask starts a task. This worker keeps one attempt of each task: while one is
// there, another is not even refused.
func (w *FakeWorker) startTask(command cluster.Command) {
	if w.Tasks[command.Task] != nil {
		return
	}
	// Until it has got its room it does not count as using any.
	task := &Task{ID: command.Task, Attempt: command.Attempt, State: cluster.Ended}
	w.Tasks[command.Task] = task
	info, known := w.LookupJob(command.Task.Job)
	switch {
	case !known || command.Task.Index >= info.TaskCount:
		task.finish(cluster.CauseUnknownTask)
	case !w.hasCapacityFor(info.ResourceRequest):
		task.finish(cluster.CauseNoCapacity)
	case w.fetchedImages[info.Image]:
		w.runTask(task, info)
	default:
		task.State = cluster.Fetching
		task.Remaining = w.FetchDuration
	}
}

func (w *FakeWorker) hasCapacityFor(request cluster.Resources) bool {
	used := w.UsedResources()
	return used.Plus(request).FitsIn(w.Capacity)
}

// stopTask ends a task. One that can save a checkpoint within the grace does so
// first; one that is saving goes on if there is any grace.
func (w *FakeWorker) stopTask(command cluster.Command) {
	task := w.Tasks[command.Task]
	if task == nil || task.Attempt != command.Attempt || task.State == cluster.Ended {
		return
	}
	info, _ := w.LookupJob(task.ID.Job)
	grace := cluster.Time(command.GraceSeconds * float64(second))
	canSave := info.CanCheckpoint && info.SaveDuration > 0 && grace >= info.SaveDuration
	switch {
	case task.State == cluster.Running && canSave:
		task.State = cluster.Checkpointing
		task.Remaining = info.SaveDuration
	case task.State == cluster.Checkpointing && command.GraceSeconds > 0:
	default:
		task.finish(cluster.CauseStopped)
	}
}

// acknowledgeTask forgets a task that has ended.
func (w *FakeWorker) acknowledgeTask(command cluster.Command) {
	task := w.Tasks[command.Task]
	if task != nil && task.Attempt == command.Attempt && task.State == cluster.Ended {
		delete(w.Tasks, command.Task)
	}
}
