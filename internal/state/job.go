package state

import (
	"sort"
	"strconv"

	"stairrelay/internal/cluster"
)

// The states of a task within its job.
const (
	TaskPending   uint8 = iota
	TaskAssigned        // assigned to a machine on which it may be running
	TaskCompleted       // completed, but the completion is not stored yet
	TaskCompletionStored
)

// TasksPerChunk is the number of tasks whose outcomes are stored under one key. Chunk 0
// is part of the job's own record and the others have keys of their own, so that a job
// of 100,000 tasks fits under any value limit of at least 4 KiB.
const TasksPerChunk = 16384

// Job is a job of an owned shard.
type Job struct {
	Spec    cluster.JobSpec
	ShardID cluster.ShardID
	Waiters []func(cluster.JobStatus) // called when the job's final status is stored

	TaskProgress
	JobRecordState
	JobQueueState
	RuntimeStats
}

// TaskProgress is the progress of a job's tasks.
type TaskProgress struct {
	TaskStates        []uint8
	AssignedCount     int
	CompletedCount    int
	FirstPendingHint  int // no task with a lower index is pending
	Assignments       map[int]*Assignment
	ListedAssignments map[*Assignment]bool // assignments that machines list, including ended ones and several of the same task
	RequeuedTasks     map[int]bool         // tasks that became pending again after they had been assigned
	TaskErrors        int
	FailedMachines    map[cluster.MachineID]bool
}

// JobRecordState tracks what is stored of a job and which writes are pending.
type JobRecordState struct {
	FinalStatus           cluster.JobStatus     // as stored; empty while unfinished
	Cancelling            bool                  // cancellation has been requested or is stored
	ModRevisions          []cluster.ModRevision // by chunk
	DirtyChunks           []bool                // chunks with outcomes that are not stored yet
	ChunksLoading         int                   // number of chunks still to be read; nothing is scheduled until it is 0
	WriteQueued           bool
	RewriteNeeded         bool
	FinalWriteInFlight    bool         // a write of the final status is in flight and may have been applied already
	RecordTooLarge        bool         // the store rejected the record with its outcomes as too large
	NextBackgroundWriteAt cluster.Time // earliest time of the next background write as long as record writes for task starts are queued
}

// JobQueueState is what determines a job's place in the queue.
type JobQueueState struct {
	EffectivePriority      cluster.Priority // highest priority among the job and all its dependents
	ArrivedAt              cluster.Time
	Blocked                bool             // by unmet dependencies
	ReadySince             cluster.WallTime // when the job was submitted or its dependencies were met; all SLO times but deadlines count from here
	BackoffUntil           cluster.Time
	PreemptionBackoffUntil cluster.Time      // no tasks are preempted for the job before this time
	ReservedMachine        cluster.MachineID // kept free for the job while it is starving
	GuaranteeChecked       bool              // InitiallyGuaranteed has been determined
	InitiallyGuaranteed    bool              // the job fitted into its team's guaranteed quota when it was first schedulable; for logging
}

// RuntimeStats records when a job's tasks began to run, and for how long the completed ones
// ran.
type RuntimeStats struct {
	CompletedRuns   int // number of completed tasks whose whole run this controller observed
	TotalRunSeconds float64
	FirstRunAt      cluster.Time // when a heartbeat first showed a task running
	LastRunAt       cluster.Time // when the last task to start was first shown running
}

// JobKeyPrefix is the key prefix of the jobs' own records.
const JobKeyPrefix = "jobs/"

// JobKey returns the key of a job's own record.
func JobKey(id cluster.JobID) string { return JobKeyPrefix + string(id) }

// ChunkKey returns the key under which the outcomes of a chunk of tasks are stored.
func (j *Job) ChunkKey(chunk int) string {
	if chunk == 0 {
		return JobKey(j.Spec.ID)
	}
	return "done/" + string(j.Spec.ID) + "/" + strconv.Itoa(chunk)
}

// ChunkCount returns the number of chunks of a job with the given number of tasks.
func ChunkCount(tasks int) int { return (tasks + TasksPerChunk - 1) / TasksPerChunk }

// NewJob returns a job none of whose tasks has been started.
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
			RequeuedTasks:     map[int]bool{},
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

// RestoreCompleted marks the tasks that the stored record of a chunk lists as completed.
// It returns false if the list is malformed; the tasks before the error are marked.
func (j *Job) RestoreCompleted(chunk int, completedIndexes string) bool {
	taskStates := j.ChunkStates(chunk)
	return DecodeCompleted(completedIndexes, len(taskStates), func(i int) {
		if taskStates[i] == TaskPending {
			taskStates[i] = TaskCompletionStored
			j.CompletedCount++
		}
	})
}

// PendingCount returns the number of tasks that are neither assigned nor completed.
func (j *Job) PendingCount() int { return j.Spec.Tasks - j.AssignedCount - j.CompletedCount }

// IsActive reports whether the job is neither finished nor being cancelled.
func (j *Job) IsActive() bool { return j.FinalStatus == "" && !j.Cancelling }

// NextPendingTask returns the index of the first pending task, or -1 if there is none.
func (j *Job) NextPendingTask() int {
	for j.FirstPendingHint < len(j.TaskStates) && j.TaskStates[j.FirstPendingHint] != TaskPending {
		j.FirstPendingHint++
	}
	if j.FirstPendingHint == len(j.TaskStates) {
		return -1
	}
	return j.FirstPendingHint
}

// SetAssigned records the assignment of a task to a machine.
func (j *Job) SetAssigned(i int, a *Assignment) {
	j.TaskStates[i] = TaskAssigned
	j.AssignedCount++
	j.Assignments[i] = a
}

// SetPending makes an assigned task pending again. It does nothing if the task
// is not assigned.
func (j *Job) SetPending(i int) {
	if j.TaskStates[i] != TaskAssigned {
		return
	}
	j.TaskStates[i] = TaskPending
	j.RequeuedTasks[i] = true
	j.AssignedCount--
	delete(j.Assignments, i)
	j.FirstPendingHint = min(j.FirstPendingHint, i)
}

// Unassign records that a machine no longer lists a task of the job. If the task was
// assigned to this machine, it becomes pending again, unless other machines also list it, as
// may happen after a failover. It is then assigned to the one of these with the lowest ID.
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

// SetCompleted records that a task ran to completion and that this is not stored yet. It
// does nothing if the task is already completed.
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

// View returns the job as shown to users.
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

// ChunkStates returns the states of a chunk's tasks.
func (j *Job) ChunkStates(chunk int) []uint8 {
	return j.TaskStates[chunk*TasksPerChunk : min((chunk+1)*TasksPerChunk, len(j.TaskStates))]
}

// CurrentFinalStatus returns the final status that the job has reached, whether stored
// or not, or "" if it has reached none.
func (j *Job) CurrentFinalStatus() cluster.JobStatus {
	switch {
	case j.CompletedCount == j.Spec.Tasks:
		return cluster.JobDone
	case j.Cancelling:
		return cluster.JobCancelled
	}
	return ""
}

// RecomputeDirtyChunks updates DirtyChunks from the states of the tasks.
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

// SelectWriteKeys returns the keys that a write of the job may change and the chunks stored
// under them, at most maxOps of each: the job's own record, then the other dirty chunks,
// then stored chunks without changes, which a write of the final status deletes. Chunks that
// do not fit are left to the next write.
func (j *Job) SelectWriteKeys(maxOps int) ([]string, []int) {
	keys, chunks := []string{j.ChunkKey(0)}, []int{0}
	for _, changed := range []bool{true, false} {
		for chunk := 1; chunk < len(j.ModRevisions) && len(keys) < maxOps; chunk++ {
			if j.DirtyChunks[chunk] == changed && (changed || j.ModRevisions[chunk] != 0) {
				keys, chunks = append(keys, j.ChunkKey(chunk)), append(chunks, chunk)
			}
		}
	}
	return keys, chunks
}

// SortedAssignments returns the job's listed assignments sorted by task and machine.
func (j *Job) SortedAssignments() []*Assignment {
	sorted := make([]*Assignment, 0, len(j.ListedAssignments))
	for a := range j.ListedAssignments {
		sorted = append(sorted, a)
	}
	sort.Slice(sorted, func(i, k int) bool {
		a, b := sorted[i], sorted[k]
		return a.Task.Index < b.Task.Index || a.Task.Index == b.Task.Index && a.MachineID < b.MachineID
	})
	return sorted
}
