package controller

import (
	"sort"
	"strconv"

	"stairrelay/internal/cluster"
)

// The states of a task within its job.
const (
	taskPending          uint8 = iota
	taskAssigned               // on, or on its way to, or perhaps still on, a machine
	taskCompleted              // completed, not stored yet
	taskCompletionStored       // completed and stored
)

// tasksPerChunk is how many tasks' outcomes one key holds. Chunk 0 lives in the
// job's own record, the others beside it, so that 100,000 tasks fit under any
// value limit from 4 KiB on.
const tasksPerChunk = 16384

// job is a job of an owned shard.
type job struct {
	spec    cluster.JobSpec
	shard   cluster.ShardID
	waiters []func(cluster.JobStatus) // called when the job's end is stored

	taskProgress
	jobRecordState
	jobQueueState
	runTimes
}

// taskProgress is how far a job's tasks have come.
type taskProgress struct {
	taskStates        []uint8
	assignedCount     int
	completedCount    int
	firstPendingHint  int // no pending task lies below
	assignments       map[int]*assignment
	listedAssignments map[*assignment]bool // all that machines list of it, ended and doubly listed tasks too
	restartedTasks    map[int]bool         // that did not end at their first start
	taskErrors        int
	failedMachines    map[cluster.MachineID]bool
}

// jobRecordState is what is stored of a job and what is on its way there.
type jobRecordState struct {
	finalStatus      cluster.JobStatus     // stored; empty: unfinished
	cancelling       bool                  // its user has asked for that, or it is stored
	modRevisions     []cluster.ModRevision // by chunk
	dirtyChunks      []bool                // have outcomes that are not stored
	chunksLoading    int                   // still to be read; nothing is scheduled before
	writeQueued      bool
	rewriteNeeded    bool
	endInFlight      bool         // a write of its end is in flight: it may be carried out already
	recordTooLarge   bool         // its record with what it asks for is more than the store takes now
	nextCheckpointAt cluster.Time // not written before, while starts wait for their records: each interval's write would take their puts
}

// jobQueueState is a job's place in the queue.
type jobQueueState struct {
	effectivePriority   cluster.Priority // its own, or that of a job that depends on it
	arrivedAt           cluster.Time
	blocked             bool             // by dependencies that are not met
	readySince          cluster.WallTime // its objectives' times count from then: its submission, or when its dependencies were met
	backoffUntil        cluster.Time
	nextPreemptionAt    cluster.Time      // no preemption for it before
	reservedMachine     cluster.MachineID // kept free for it while it starves
	guaranteeChecked    bool
	initiallyGuaranteed bool // it fitted into its team's guaranteed quota when it came; for the log
}

// runTimes sums up the run times of a job's completed tasks.
type runTimes struct {
	completedRuns   int // tasks that ran to their end here
	totalRunSeconds float64
	firstRunAt      cluster.Time
	lastRunAt       cluster.Time
}

// jobKeyPrefix is where the jobs' own records are stored.
const jobKeyPrefix = "jobs/"

// jobKey is the key of a job's own record.
func jobKey(id cluster.JobID) string { return jobKeyPrefix + string(id) }

// chunkKey is where the outcomes of a chunk of tasks are stored.
func (j *job) chunkKey(chunk int) string {
	if chunk == 0 {
		return jobKey(j.spec.ID)
	}
	return "done/" + string(j.spec.ID) + "/" + strconv.Itoa(chunk)
}

// chunkCount is the number of chunks of so many tasks.
func chunkCount(tasks int) int { return (tasks + tasksPerChunk - 1) / tasksPerChunk }

// newJob makes a job none of whose tasks has been started.
func newJob(spec cluster.JobSpec, shard cluster.ShardID, modRevision cluster.ModRevision, now cluster.Time) *job {
	chunks := chunkCount(spec.Tasks)
	j := &job{
		spec:  spec,
		shard: shard,
		taskProgress: taskProgress{
			taskStates:        make([]uint8, spec.Tasks),
			assignments:       map[int]*assignment{},
			listedAssignments: map[*assignment]bool{},
			failedMachines:    map[cluster.MachineID]bool{},
			restartedTasks:    map[int]bool{},
		},
		jobRecordState: jobRecordState{
			modRevisions: make([]cluster.ModRevision, chunks),
			dirtyChunks:  make([]bool, chunks),
		},
		jobQueueState: jobQueueState{
			arrivedAt:         now,
			readySince:        spec.SubmittedAt,
			effectivePriority: spec.Priority,
		},
	}
	j.modRevisions[0] = modRevision
	return j
}

// pendingCount is the number of tasks that are on no machine and not completed.
func (j *job) pendingCount() int { return j.spec.Tasks - j.assignedCount - j.completedCount }

// isActive tells whether the job is neither finished nor being cancelled.
func (j *job) isActive() bool { return j.finalStatus == "" && !j.cancelling }

// nextPendingTask is the first task that waits for a machine; -1: none does.
func (j *job) nextPendingTask() int {
	for j.firstPendingHint < len(j.taskStates) && j.taskStates[j.firstPendingHint] != taskPending {
		j.firstPendingHint++
	}
	if j.firstPendingHint == len(j.taskStates) {
		return -1
	}
	return j.firstPendingHint
}

// setAssigned records that a task is assigned to a machine.
func (j *job) setAssigned(i int, a *assignment) {
	j.taskStates[i] = taskAssigned
	j.assignedCount++
	j.assignments[i] = a
}

// setPending makes a task that is on no machine any more wait again.
func (j *job) setPending(i int) {
	if j.taskStates[i] != taskAssigned {
		return
	}
	j.taskStates[i] = taskPending
	j.restartedTasks[i] = true
	j.assignedCount--
	delete(j.assignments, i)
	j.firstPendingHint = min(j.firstPendingHint, i)
}

// setCompleted records that a task has run to its end.
func (j *job) setCompleted(i int) {
	switch j.taskStates[i] {
	case taskAssigned:
		j.assignedCount--
		delete(j.assignments, i)
	case taskPending:
	default:
		return
	}
	j.taskStates[i] = taskCompleted
	j.completedCount++
	j.dirtyChunks[i/tasksPerChunk] = true
}

// view is the job's state as users see it.
func (j *job) view() cluster.JobView {
	v := cluster.JobView{ID: j.spec.ID, Status: cluster.JobPending, Done: j.completedCount}
	switch {
	case j.finalStatus != "":
		v.Status = j.finalStatus
		return v
	default:
		for _, a := range j.assignments {
			if a.phase == phaseAcknowledged {
				v.Running++
			}
		}
		if v.Running > 0 || j.completedCount > 0 {
			v.Status = cluster.JobRunning
		}
	}
	return v
}

// chunkStates are the states of a chunk's tasks.
func (j *job) chunkStates(k int) []uint8 {
	return j.taskStates[k*tasksPerChunk : min((k+1)*tasksPerChunk, len(j.taskStates))]
}

// currentFinalStatus is the final state that a job is in by what is known here, or "".
func (j *job) currentFinalStatus() cluster.JobStatus {
	switch {
	case j.completedCount == j.spec.Tasks:
		return cluster.JobDone
	case j.cancelling:
		return cluster.JobCancelled
	}
	return ""
}

// recomputeDirtyChunks works out which chunks have outcomes that are not stored.
func (j *job) recomputeDirtyChunks() {
	for chunk := range j.dirtyChunks {
		j.dirtyChunks[chunk] = false
	}
	for i, state := range j.taskStates {
		if state == taskCompleted {
			j.dirtyChunks[i/tasksPerChunk] = true
		}
	}
}

// selectWriteKeys picks the keys that a write of a job may set, within the changes that
// a transaction may have: its own record, and further chunks that have changed or
// exist. What does not fit has its turn in the next write.
func (j *job) selectWriteKeys(ops int) ([]string, []int) {
	keys, chunks := []string{j.chunkKey(0)}, []int{0}
	for _, changed := range []bool{true, false} {
		for k := 1; k < len(j.modRevisions) && len(keys) < ops; k++ {
			if j.dirtyChunks[k] == changed && (changed || j.modRevisions[k] != 0) {
				keys, chunks = append(keys, j.chunkKey(k)), append(chunks, k)
			}
		}
	}
	return keys, chunks
}

// sortedAssignments lists a job's tasks that are, or may be, on machines.
func (j *job) sortedAssignments() []*assignment {
	l := make([]*assignment, 0, len(j.listedAssignments))
	for a := range j.listedAssignments {
		l = append(l, a)
	}
	sort.Slice(l, func(i, k int) bool {
		a, b := l[i], l[k]
		return a.task.Index < b.task.Index || a.task.Index == b.task.Index && a.machineID < b.machineID
	})
	return l
}
