package simulation

import (
	"sort"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// noPreemptionNotice is the PreemptionNotice of a machine that is not being preempted.
const noPreemptionNotice = -1

// Task is a task on a worker.
type Task struct {
	ID           cluster.TaskID
	Attempt      cluster.Attempt
	State        cluster.TaskState
	Cause        cluster.Cause
	Checkpointed bool         // a checkpoint was saved
	Remaining    cluster.Time // time left in the current state
}

// JobInfo is the information about a job that a worker needs to run tasks of the job.
type JobInfo struct {
	ResourceRequest cluster.Resources
	RunDuration     cluster.Time // run time of a task
	CanCheckpoint   bool         // tasks can save checkpoints
	SaveDuration    cluster.Time // time to save a checkpoint
	TaskCount       int
	Image           string
	AlwaysFails     bool // every task fails
}

// FakeWorker is a fake of the worker on a machine.
type FakeWorker struct {
	ID            cluster.MachineID
	Type          string
	Zone          string
	Spot          bool
	Capacity      cluster.Resources
	FetchDuration cluster.Time // time to fetch an image
	LeaseDuration cluster.Time
	LookupJob     func(cluster.JobID) (JobInfo, bool)
	DoneTasks     map[cluster.TaskID]bool // tasks that are done; shared by all workers, since results outlive the machine
	OnStart       func(w *FakeWorker, t *Task)
	OnDone        func(t cluster.TaskID) // optional
	FaultyUntil   cluster.Time           // every task fails until then
	FieldOverhead int                    // of the encoding of heartbeats; see cluster.FieldOverhead

	Incarnation      cluster.Incarnation
	SequenceNumber   cluster.SequenceNumber
	FencingToken     cluster.FencingToken
	PreemptionNotice float64 // seconds until the machine is preempted; negative if it is not
	Tasks            map[cluster.TaskID]*Task
	fetchedImages    map[string]bool
	leaseRenewedAt   cluster.Time // when the lease was last renewed
	lastAdvanceAt    cluster.Time // time of the last Advance
}

// Start initializes the worker with its first incarnation.
func (w *FakeWorker) Start(now cluster.Time) {
	w.Incarnation = 1
	w.PreemptionNotice = noPreemptionNotice
	w.leaseRenewedAt = now
	w.lastAdvanceAt = now
	w.Tasks = map[cluster.TaskID]*Task{}
	w.fetchedImages = map[string]bool{}
}

// Advance advances the tasks to the current time and reports whether anything
// changed. If the lease has expired, it drops all tasks and begins a new incarnation.
// It must not be called while the machine hangs.
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

// beginIncarnation drops all tasks and begins a new incarnation.
func (w *FakeWorker) beginIncarnation(now cluster.Time) {
	w.Incarnation++
	w.SequenceNumber = 0
	w.Tasks = map[cluster.TaskID]*Task{}
	w.leaseRenewedAt = now
}

// completeTaskState moves a task to the state that follows its current one, and calls
// OnDone if the task is done.
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
		task.Checkpointed = true
	case cluster.Ended:
		// Ended is the final state.
	}
}

func (t *Task) finish(cause cluster.Cause) {
	t.State = cluster.Ended
	t.Cause = cause
}

// runTask runs a task whose image has been fetched, and calls OnStart. The run time is 0
// if the task was done before or the machine is faulty.
func (w *FakeWorker) runTask(task *Task, info JobInfo) {
	task.State = cluster.Running
	task.Remaining = info.RunDuration
	if w.DoneTasks[task.ID] || w.lastAdvanceAt < w.FaultyUntil {
		task.Remaining = 0
	}
	w.OnStart(w, task)
}

// sortedTasks returns the tasks, sorted by ID.
func (w *FakeWorker) sortedTasks() []*Task {
	tasks := make([]*Task, 0, len(w.Tasks))
	for _, task := range w.Tasks {
		tasks = append(tasks, task)
	}
	sort.Slice(tasks, func(i, k int) bool { return tasks[i].ID.String() < tasks[k].ID.String() })
	return tasks
}

// UsedResources returns the total resource requests of the tasks that have not ended.
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

// NextStatus returns the status for the next heartbeat, with a new sequence number.
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
		FieldOverhead:    w.FieldOverhead,
	}
	for _, task := range w.sortedTasks() {
		status.Tasks = append(status.Tasks, cluster.TaskStatus{
			Task:         task.ID,
			Attempt:      task.Attempt,
			State:        task.State,
			Cause:        task.Cause,
			Checkpointed: task.Checkpointed,
		})
	}
	return status
}

// HandleHeartbeatResponse handles the response to a heartbeat that was sent at sentAt. It
// adopts the fencing token, renews the lease and executes the commands. It ignores a
// response for another incarnation, with an older fencing token or without a token.
func (w *FakeWorker) HandleHeartbeatResponse(incarnation cluster.Incarnation, sentAt cluster.Time, response messages.HeartbeatResponse) {
	if incarnation != w.Incarnation || response.FencingToken < w.FencingToken || response.FencingToken == 0 {
		return
	}
	w.FencingToken = response.FencingToken
	w.leaseRenewedAt = max(w.leaseRenewedAt, sentAt)
	w.executeCommands(response.Commands)
}

// HandleCommands adopts the fencing token of pushed commands and executes them. If the
// token is older or the incarnation differs, it does neither and the outcome is
// messages.Conflict.
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

// startTask starts a task. The task ends immediately if it is unknown or does not fit on
// the machine. The worker keeps a single attempt of each task, and ignores a start command
// while it has one.
func (w *FakeWorker) startTask(command cluster.Command) {
	if w.Tasks[command.Task] != nil {
		return
	}
	// The initial state is Ended, so that hasCapacityFor does not count the task itself.
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

// stopTask stops a task. A running task first saves a checkpoint if it can and the grace
// period suffices. A task that is already saving a checkpoint continues unless the grace
// period is 0.
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

// acknowledgeTask removes a task that has ended. It ignores a command for another attempt.
func (w *FakeWorker) acknowledgeTask(command cluster.Command) {
	task := w.Tasks[command.Task]
	if task != nil && task.Attempt == command.Attempt && task.State == cluster.Ended {
		delete(w.Tasks, command.Task)
	}
}
