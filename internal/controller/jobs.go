package controller

import (
	"encoding/json"
	"slices"
	"sort"
	"strconv"
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// Task states inside a job.
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

// job of a part held here.
type job struct {
	spec              cluster.JobSpec
	shard             cluster.ShardID
	modRevisions      []cluster.ModRevision // per chunk
	dirtyChunks       []bool
	taskStates        []uint8
	assignedCount     int
	completedCount    int
	firstPendingHint  int // no pending task lies below
	assignments       map[int]*assignment
	listedAssignments map[*assignment]bool // all that machines list of it, ended and doubly listed tasks too

	finalStatus   cluster.JobStatus // stored
	cancelling    bool              // its user has asked for that, or it is stored
	endInFlight   bool              // a write of its end is under way: it may be carried out already
	writeQueued   bool              // a write is queued
	rewriteNeeded bool
	waiters       []func(cluster.JobStatus)

	chunksLoading       int // chunks still to be read; nothing is placed before
	taskErrors          int
	recordTooLarge      bool         // its record with what it asks for is more than the store takes now
	nextCheckpointAt    cluster.Time // not written before, while starts wait for their records: each interval's would take their puts
	failedMachines      map[cluster.MachineID]bool
	effectivePriority   cluster.Priority // its own, or that of a job that needs it
	backoffUntil        cluster.Time
	nextPreemptionAt    cluster.Time      // not before then again
	reservedMachine     cluster.MachineID // kept free for it while it starves
	guaranteeChecked    bool
	initiallyGuaranteed bool // it fitted into its team's guarantee when it came; for the log
	arrivedAt           cluster.Time
	blocked             bool             // for jobs that it awaits
	readySince          cluster.WallTime // its aims' times count from then: its submission, or its release
	restartedTasks      map[int]bool     // tasks that did not end at their first start
	completedRuns       int              // tasks that ran to their end here, and their time in all
	totalRunSeconds     float64
	firstRunAt          cluster.Time
	lastRunAt           cluster.Time
}

type jobRecord struct {
	Spec             *cluster.JobSpec   `json:"s,omitempty"`
	CompletedIndexes string             `json:"d,omitempty"`
	FinalStatus      cluster.JobStatus  `json:"st,omitempty"`
	Team             string             `json:"tm,omitempty"`
	Tasks            int                `json:"n,omitempty"`
	ResourceRequest  *cluster.Resources `json:"r,omitempty"` // a cancelled job's tasks may still use quota
	WriteID          string             `json:"w"`
}

// jobKeyPrefix is where the jobs' own records are stored.
const jobKeyPrefix = "jobs/"

// jobKey is the key of a job's own record.
func jobKey(id cluster.JobID) string { return jobKeyPrefix + string(id) }

func (j *job) chunkKey(chunk int) string {
	if chunk == 0 {
		return jobKey(j.spec.ID)
	}
	return "done/" + string(j.spec.ID) + "/" + strconv.Itoa(chunk)
}

func chunkCount(tasks int) int { return (tasks + tasksPerChunk - 1) / tasksPerChunk }

func newJob(spec cluster.JobSpec, part cluster.ShardID, mark cluster.ModRevision, now cluster.Time) *job {
	n := chunkCount(spec.Tasks)
	j := &job{spec: spec, shard: part, modRevisions: make([]cluster.ModRevision, n), dirtyChunks: make([]bool, n), taskStates: make([]uint8, spec.Tasks),
		assignments: map[int]*assignment{}, listedAssignments: map[*assignment]bool{}, failedMachines: map[cluster.MachineID]bool{}, restartedTasks: map[int]bool{}, arrivedAt: now, readySince: spec.SubmittedAt, effectivePriority: spec.Priority}
	j.modRevisions[0] = mark
	return j
}

func (j *job) pendingCount() int { return j.spec.Tasks - j.assignedCount - j.completedCount }

func (j *job) isActive() bool { return j.finalStatus == "" && !j.cancelling }

func (j *job) nextPendingTask() int {
	for j.firstPendingHint < len(j.taskStates) && j.taskStates[j.firstPendingHint] != taskPending {
		j.firstPendingHint++
	}
	if j.firstPendingHint == len(j.taskStates) {
		return -1
	}
	return j.firstPendingHint
}

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

func (j *job) chunkStates(k int) []uint8 {
	return j.taskStates[k*tasksPerChunk : min((k+1)*tasksPerChunk, len(j.taskStates))]
}

// applyJobRecord takes in a job's record from the store, a peer or the watch. With
// loading set, the part is being taken over and its record is the truth.
func (c *Controller) applyJobRecord(kv messages.KV, loading *shard) {
	id := cluster.JobID(strings.TrimPrefix(kv.Key, jobKeyPrefix))
	if kv.Value == nil {
		return
	}
	var rec jobRecord
	if err := json.Unmarshal(kv.Value, &rec); err != nil {
		c.loop.Log(messages.LogError, "unreadable record", "key", kv.Key)
		return
	}
	name, tasks := rec.Team, rec.Tasks
	if rec.Spec != nil {
		name, tasks = rec.Spec.Team, rec.Spec.Tasks
	}
	t := c.teams[name]
	if t == nil || tasks < 1 {
		c.loop.Log(messages.LogError, "job record of no known team", "key", kv.Key)
		return
	}
	k := c.jobs.register(id, t.shard, name, tasks)
	if rec.ResourceRequest != nil {
		k.resourceRequest = *rec.ResourceRequest
	}
	if rec.FinalStatus.IsFinal() {
		k.finalRecorded = true
		c.applyFinalStatus(id, k, rec.FinalStatus)
		return
	}
	if rec.Spec != nil && k.finalStatus == "" {
		c.applyDependencies(id, k, rec.Spec)
	}
	p := c.shards[t.shard]
	implied := k.finalStatus == cluster.JobCancelled && !k.finalRecorded && len(k.dependencies) > 0 // its own record has to follow
	if k.finalStatus != "" && !implied || !p.owned || c.jobs.owned[id] != nil || rec.Spec == nil {
		return
	}
	if !p.ready && p != loading {
		// The part is being read, but perhaps its jobs were read before this
		// one was stored: it is looked at again when the part is ready.
		p.earlyJobs = append(p.earlyJobs, kv)
		return
	}
	rec.Spec.ID = id
	c.serveJob(c.jobFromRecord(kv, &rec, t.shard), k, implied)
}

// jobFromRecord makes a job of its own record.
func (c *Controller) jobFromRecord(kv messages.KV, rec *jobRecord, part cluster.ShardID) *job {
	j := newJob(*rec.Spec, part, kv.ModRevision, c.loop.Now())
	ok := decodeCompleted(rec.CompletedIndexes, len(j.chunkStates(0)), func(i int) {
		j.taskStates[i] = taskCompletionStored
		j.completedCount++
	})
	if ok {
		return j
	}
	// A task that is started again after it was done ends at once, so to
	// take all of them for not done is safe.
	c.loop.Log(messages.LogInfo, "impossible record", "key", kv.Key, "why", "done ranges")
	return newJob(*rec.Spec, part, kv.ModRevision, c.loop.Now())
}

// serveJob begins to serve a job of a part held here. Where its cancellation is
// implied by that of one that it needs, only its own record has to follow.
func (c *Controller) serveJob(j *job, k *knownJob, implied bool) {
	j.effectivePriority = max(j.effectivePriority, k.effectivePriority)
	c.addOwnedJob(j)
	if implied {
		c.cancelWithDependency(j)
		return
	}
	c.updateReadiness(j)
	c.schedulingTrigger.request()
	c.scheduleScaleOut()
	for n := 1; n < len(j.modRevisions); n++ {
		j.chunksLoading++
		c.loadJobChunk(j, n)
	}
	if j.chunksLoading == 0 && j.completedCount == j.spec.Tasks {
		c.writeJob(j, writequeue.Admit)
	}
}

// loadJobChunk reads a further chunk; the job is held back until it is known.
func (c *Controller) loadJobChunk(j *job, n int) {
	c.writeQueue.ReadKey(j.chunkKey(n), func(r messages.GetReply) {
		if !c.jobs.owns(j) {
			return
		}
		switch r.Outcome {
		case messages.OK:
			var rec jobRecord
			base := n * tasksPerChunk
			if json.Unmarshal(r.KV.Value, &rec) != nil || !decodeCompleted(rec.CompletedIndexes, len(j.chunkStates(n)), func(i int) {
				if j.taskStates[base+i] == taskPending {
					j.taskStates[base+i] = taskCompletionStored
					j.completedCount++
				}
			}) {
				c.loop.Log(messages.LogInfo, "impossible record", "key", r.KV.Key, "why", "done ranges")
			}
			j.modRevisions[n] = r.KV.ModRevision
		case messages.NotFound:
		default:
			c.loop.After(second/2, func() {
				if c.jobs.owns(j) {
					c.loadJobChunk(j, n)
				}
			})
			return
		}
		j.chunksLoading--
		c.schedulingTrigger.request()
		if j.chunksLoading == 0 && j.completedCount == j.spec.Tasks {
			c.writeJob(j, writequeue.Admit)
		}
	})
}

// loadJobs learns of all jobs and then follows the changes at an easy pace;
// it is the safety net under the messages between controllers.
func (c *Controller) loadJobs() {
	c.writeQueue.ListPrefix(jobKeyPrefix, func(r messages.ListReply) {
		if r.Outcome != messages.OK {
			c.loop.After(second, c.loadJobs)
			return
		}
		for _, kv := range r.Items {
			c.applyJobRecord(kv, nil)
		}
		c.jobs.appliedRevision = r.Revision
		c.watchJobs()
	})
}

func (c *Controller) watchJobs() {
	c.watchPrefix(jobKeyPrefix, &c.jobs.appliedRevision, 2*second, func(kv messages.KV) {
		c.recordPeerWrite(kv)
		c.applyJobRecord(kv, nil)
	}, c.loadJobs)
}

// recordPeerWrite notes which controller wrote a record that has just changed.
func (c *Controller) recordPeerWrite(kv messages.KV) {
	if kv.Value == nil {
		return
	}
	c.members.RecordWrite(writeIDInstance(writequeue.WriteIDOf(kv.Value)))
}

func (c *Controller) addOwnedJob(j *job) {
	c.jobs.owned[j.spec.ID] = j
	p := c.shards[j.shard]
	i := sort.Search(len(p.jobs), func(i int) bool { return p.jobs[i].spec.ID >= j.spec.ID })
	p.jobs = slices.Insert(p.jobs, i, j)
	p.queueOrder = nil
}

func (c *Controller) removeOwnedJob(j *job) {
	delete(c.jobs.owned, j.spec.ID)
	p := c.shards[j.shard]
	if i := slices.Index(p.jobs, j); i >= 0 {
		p.jobs = slices.Delete(slices.Clone(p.jobs), i, i+1) // somebody may be walking the old list
		p.queueOrder = slices.DeleteFunc(slices.Clone(p.queueOrder), func(x *job) bool { return x == j })
	}
}

func (c *Controller) abandonJob(j *job) {
	c.removeOwnedJob(j)
	for _, fn := range j.waiters {
		fn("")
	}
	j.waiters = nil
}

// acknowledgeStoredTasks lets machine records forget the tasks whose outcome is stored:
// they have exited, whoever owns the machine may reap them.
func (c *Controller) acknowledgeStoredTasks(j *job) {
	for a := range j.listedAssignments {
		m := c.machines[a.machineID]
		if m == nil || m.assignments[a.task] != a || m.startInDoubt {
			continue
		}
		switch {
		case !a.isCompleted() || a.confirmedAbsent || !c.isOutcomeStored(a):
		case a.removedFromRecord:
			c.removeAssignment(m, a)
		default:
			m.markConfirmedAbsent(a)
			m.endedToAcknowledge[a.taskAttempt()] = true
		}
	}
}

func (c *Controller) handleJobEnd(j *job, end cluster.JobStatus) {
	j.finalStatus = end
	if k := c.jobs.known[j.spec.ID]; k != nil {
		k.finalRecorded = true
		c.applyFinalStatus(j.spec.ID, k, end)
		c.notifyDependentOwners(j.spec.ID, k)
	}
	for _, fn := range j.waiters {
		fn(end)
	}
	j.waiters = nil
	if !c.jobs.owns(j) {
		return
	}
	c.loop.Log(messages.LogDebug, "job over", "job", string(j.spec.ID), "status", string(end), "class", j.spec.Class, "team", j.spec.Team,
		"tasks", j.spec.Tasks, "first_run_s", int((j.firstRunAt-j.arrivedAt)/second), "all_run_s", int((j.lastRunAt-j.arrivedAt)/second),
		"took_s", int((c.loop.Now()-j.arrivedAt)/second), "run_s", int(j.spec.RuntimeSeconds), "due_s", int(j.spec.DeadlineSeconds), "cpu", float64(j.spec.ResourceRequest.CPU)/1e6, "guaranteed", j.initiallyGuaranteed)
	if end == cluster.JobCancelled {
		c.stopAllTasks(j)
	}
	c.schedulingTrigger.request()
	if len(j.assignments) == 0 {
		c.removeOwnedJob(j)
	}
}

// writeBackgroundState stores what can wait: outcomes of tasks whose job goes on, and
// machine records that list more than they need to.
func (c *Controller) writeBackgroundState() {
	for _, j := range c.ownedJobs() {
		if j.writeQueued || j.finalStatus != "" || j.recordTooLarge || c.loop.Now() < j.nextCheckpointAt && len(c.writeQueue.Queued(writequeue.Start)) > 0 {
			continue
		}
		for _, d := range j.dirtyChunks {
			if d {
				j.nextCheckpointAt = c.loop.Now() + 4*c.config.Tuning.CheckpointInterval
				c.writeJob(j, writequeue.Background)
				break
			}
		}
	}
	c.cleanUpGroups()
	c.checkShardProgress()
}

func (c *Controller) ownedJobs() []*job {
	var l []*job
	for _, p := range c.shards {
		l = append(l, p.jobs...)
	}
	return l
}
