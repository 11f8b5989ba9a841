package state

import (
	"sort"
	"strconv"

	"stairrelay/internal/cluster"
)

// The states of a task within its job.
const (
	TaskPending          uint8 = iota
	TaskAssigned               // on, or on its way to, or perhaps still on, a machine
	TaskCompleted              // completed, not stored yet
	TaskCompletionStored       // completed and stored
)

// TasksPerChunk is how many tasks' outcomes one key holds. Chunk 0 lives in the
// job's own record, the others beside it, so that 100,000 tasks fit under any
// value limit from 4 KiB on.
const TasksPerChunk = 16384

// Job is a job of an owned shard.
type Job struct {
	Spec    cluster.JobSpec
	ShardID cluster.ShardID
	Waiters []func(cluster.JobStatus) // called when the job's end is stored

	TaskProgress
	JobRecordState
	JobQueueState
	RuntimeStats
}

// TaskProgress is how far a job's tasks have come.
type TaskProgress struct {
	TaskStates        []uint8
	AssignedCount     int
	CompletedCount    int
	FirstPendingHint  int // no pending task lies below
	Assignments       map[int]*Assignment
	ListedAssignments map[*Assignment]bool // all that machines list of it, ended and doubly listed tasks too
	RestartedTasks    map[int]bool         // that did not end at their first start
	TaskErrors        int
	FailedMachines    map[cluster.MachineID]bool
}

// JobRecordState is what is stored of a job and what is on its way there.
type JobRecordState struct {
	FinalStatus           cluster.JobStatus     // stored; empty: unfinished
	Cancelling            bool                  // its user has asked for that, or it is stored
	ModRevisions          []cluster.ModRevision // by chunk
	DirtyChunks           []bool                // have outcomes that are not stored
	ChunksLoading         int                   // still to be read; nothing is scheduled before
	WriteQueued           bool
	RewriteNeeded         bool
	FinalWriteInFlight    bool         // a write of its end is in flight: it may be carried out already
	RecordTooLarge        bool         // its record with what it asks for is more than the store takes now
	NextBackgroundWriteAt cluster.Time // not written before, while starts wait for their records: each interval's write would take their puts
}

// JobQueueState is a job's place in the queue.
type JobQueueState struct {
	EffectivePriority   cluster.Priority // its own, or that of a job that depends on it
	ArrivedAt           cluster.Time
	Blocked             bool             // by dependencies that are not met
	ReadySince          cluster.WallTime // its objectives' times count from then: its submission, or when its dependencies were met
	BackoffUntil        cluster.Time
	NextPreemptionAt    cluster.Time      // no preemption for it before
	ReservedMachine     cluster.MachineID // kept free for it while it starves
	GuaranteeChecked    bool
	InitiallyGuaranteed bool // it fitted into its team's guaranteed quota when it came; for the log
}

// RunTimes sums up the run times of a job's completed tasks.
type RuntimeStats struct {
	CompletedRuns   int // tasks that ran to their end here
	TotalRunSeconds float64
	FirstRunAt      cluster.Time
	LastRunAt       cluster.Time
}

// JobKeyPrefix is where the jobs' own records are stored.
const JobKeyPrefix = "jobs/"

// JobKey is the key of a job's own record.
func JobKey(id cluster.JobID) string { return JobKeyPrefix + string(id) }

// ChunkKey is where the outcomes of a chunk of tasks are stored.
func (j *Job) ChunkKey(chunk int) string {
	if chunk == 0 {
		return JobKey(j.Spec.ID)
	}
	return "done/" + string(j.Spec.ID) + "/" + strconv.Itoa(chunk)
}

// ChunkCount is the number of chunks of so many tasks.
func ChunkCount(tasks int) int { return (tasks + TasksPerChunk - 1) / TasksPerChunk }

// NewJob makes a job none of whose tasks has been started.
func NewJob(spec cluster.JobSpec, shard cluster.ShardID, modRevision cluster.ModRevision, now cluster.Time) *Job {
	chunks := ChunkCount(spec.Tasks)
	j := &Job{
		Spec:    spec,
		ShardID: shard,
		TaskProgress: TaskProgress{
			TaskStates:        make([]uint8, spec.Tasks),
			Assignments:       map[int]*Assignment{},
			ListedAssignments: map[*Assignment]bool{},
			FailedMachines:    map[cluster.MachineID]bool{},
			RestartedTasks:    map[int]bool{},
		},
		JobRecordState: JobRecordState{
			ModRevisions: make([]cluster.ModRevision, chunks),
			DirtyChunks:  make([]bool, chunks),
		},
		JobQueueState: JobQueueState{
			ArrivedAt:         now,
			ReadySince:        spec.SubmittedAt,
			EffectivePriority: spec.Priority,
		},
	}
	j.ModRevisions[0] = modRevision
	return j
}

// RestoreCompleted takes in which tasks of a chunk are completed by its stored record;
// false: the text makes no sense, and what precedes the fault was taken in.
func (j *Job) RestoreCompleted(chunk int, completedIndexes string) bool {
	taskStates := j.ChunkStates(chunk)
	return DecodeCompleted(completedIndexes, len(taskStates), func(i int) {
		if taskStates[i] == TaskPending {
			taskStates[i] = TaskCompletionStored
			j.CompletedCount++
		}
	})
}

// PendingCount is the number of tasks that are on no machine and not completed.
func (j *Job) PendingCount() int { return j.Spec.Tasks - j.AssignedCount - j.CompletedCount }

// IsActive tells whether the job is neither finished nor being cancelled.
func (j *Job) IsActive() bool { return j.FinalStatus == "" && !j.Cancelling }

// NextPendingTask is the first task that waits for a machine; -1: none does.
func (j *Job) NextPendingTask() int {
	for j.FirstPendingHint < len(j.TaskStates) && j.TaskStates[j.FirstPendingHint] != TaskPending {
		j.FirstPendingHint++
	}
	if j.FirstPendingHint == len(j.TaskStates) {
		return -1
	}
	return j.FirstPendingHint
}

// SetAssigned records that a task is assigned to a machine.
func (j *Job) SetAssigned(i int, a *Assignment) {
	j.TaskStates[i] = TaskAssigned
	j.AssignedCount++
	j.Assignments[i] = a
}

// SetPending makes a task that is on no machine any more wait again.
func (j *Job) SetPending(i int) {
	if j.TaskStates[i] != TaskAssigned {
		return
	}
	j.TaskStates[i] = TaskPending
	j.RestartedTasks[i] = true
	j.AssignedCount--
	delete(j.Assignments, i)
	j.FirstPendingHint = min(j.FirstPendingHint, i)
}

// Unassign notes that a machine no longer lists a task of the job. Two machines may be
// listed with one task after a failover: then it waits for the other one too.
func (j *Job) Unassign(a *Assignment) {
	delete(j.ListedAssignments, a)
	if j.Assignments[a.Task.Index] != a {
		return
	}
	j.SetPending(a.Task.Index)
	var other *Assignment
	for b := range j.ListedAssignments {
		if b.Task == a.Task && (other == nil || b.MachineID < other.MachineID) {
			other = b
		}
	}
	if other != nil {
		j.SetAssigned(a.Task.Index, other)
	}
}

// SetCompleted records that a task has run to its end.
func (j *Job) SetCompleted(i int) {
	switch j.TaskStates[i] {
	case TaskAssigned:
		j.AssignedCount--
		delete(j.Assignments, i)
	case TaskPending:
	default:
		return
	}
	j.TaskStates[i] = TaskCompleted
	j.CompletedCount++
	j.DirtyChunks[i/TasksPerChunk] = true
}

// View is the job's state as users see it.
func (j *Job) View() cluster.JobView {
	v := cluster.JobView{ID: j.Spec.ID, Status: cluster.JobPending, Done: j.CompletedCount}
	switch {
	case j.FinalStatus != "":
		v.Status = j.FinalStatus
		return v
	default:
		for _, a := range j.Assignments {
			if a.Phase == PhaseAcknowledged {
				v.Running++
			}
		}
		if v.Running > 0 || j.CompletedCount > 0 {
			v.Status = cluster.JobRunning
		}
	}
	return v
}

// ChunkStates are the states of a chunk's tasks.
func (j *Job) ChunkStates(k int) []uint8 {
	return j.TaskStates[k*TasksPerChunk : min((k+1)*TasksPerChunk, len(j.TaskStates))]
}

// CurrentFinalStatus is the final state that a job is in by what is known here, or "".
func (j *Job) CurrentFinalStatus() cluster.JobStatus {
	switch {
	case j.CompletedCount == j.Spec.Tasks:
		return cluster.JobDone
	case j.Cancelling:
		return cluster.JobCancelled
	}
	return ""
}

// RecomputeDirtyChunks works out which chunks have outcomes that are not stored.
func (j *Job) RecomputeDirtyChunks() {
	for chunk := range j.DirtyChunks {
		j.DirtyChunks[chunk] = false
	}
	for i, state := range j.TaskStates {
		if state == TaskCompleted {
			j.DirtyChunks[i/TasksPerChunk] = true
		}
	}
}

// SelectWriteKeys picks the keys that a write of a job may set, within the changes that
// a transaction may have: its own record, and further chunks that have changed or
// exist. What does not fit has its turn in the next write.
func (j *Job) SelectWriteKeys(ops int) ([]string, []int) {
	keys, chunks := []string{j.ChunkKey(0)}, []int{0}
	for _, changed := range []bool{true, false} {
		for k := 1; k < len(j.ModRevisions) && len(keys) < ops; k++ {
			if j.DirtyChunks[k] == changed && (changed || j.ModRevisions[k] != 0) {
				keys, chunks = append(keys, j.ChunkKey(k)), append(chunks, k)
			}
		}
	}
	return keys, chunks
}

// SortedAssignments lists a job's tasks that are, or may be, on machines.
func (j *Job) SortedAssignments() []*Assignment {
	l := make([]*Assignment, 0, len(j.ListedAssignments))
	for a := range j.ListedAssignments {
		l = append(l, a)
	}
	sort.Slice(l, func(i, k int) bool {
		a, b := l[i], l[k]
		return a.Task.Index < b.Task.Index || a.Task.Index == b.Task.Index && a.MachineID < b.MachineID
	})
	return l
}
