package controller

import (
	"encoding/json"
	"strings"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

type jobRecord struct {
	Spec             *cluster.JobSpec   `json:"s,omitempty"`
	CompletedIndexes string             `json:"d,omitempty"`
	FinalStatus      cluster.JobStatus  `json:"st,omitempty"`
	Team             string             `json:"tm,omitempty"`
	Tasks            int                `json:"n,omitempty"`
	ResourceRequest  *cluster.Resources `json:"r,omitempty"` // a cancelled job's tasks may still use quota
	WriteID          string             `json:"w"`
}

// applyJobRecord takes in a job's record from the store, a peer or the watch. With
// loading set, the part is being taken over and its record is the truth.
func (c *Controller) applyJobRecord(kv messages.KV, loading *state.Shard) {
	id := cluster.JobID(strings.TrimPrefix(kv.Key, state.JobKeyPrefix))
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
	t := c.state.Teams[name]
	if t == nil || tasks < 1 {
		c.loop.Log(messages.LogError, "job record of no known team", "key", kv.Key)
		return
	}
	k := c.state.Jobs.Register(id, t.ShardID, name, tasks)
	if rec.ResourceRequest != nil {
		k.ResourceRequest = *rec.ResourceRequest
	}
	if rec.FinalStatus.IsFinal() {
		k.FinalRecorded = true
		c.applyFinalStatus(id, k, rec.FinalStatus)
		return
	}
	if rec.Spec != nil && k.FinalStatus == "" {
		c.applyDependencies(id, k, rec.Spec)
	}
	p := c.state.Shards[t.ShardID]
	implied := k.FinalStatus == cluster.JobCancelled && !k.FinalRecorded && len(k.Dependencies) > 0 // its own record has to follow
	if k.FinalStatus != "" && !implied || !p.Owned || c.state.Jobs.Owned[id] != nil || rec.Spec == nil {
		return
	}
	if !p.Ready && p != loading {
		// The part is being read, but perhaps its jobs were read before this
		// one was stored: it is looked at again when the part is ready.
		p.EarlyJobs = append(p.EarlyJobs, kv)
		return
	}
	rec.Spec.ID = id
	c.serveJob(c.jobFromRecord(kv, &rec, t.ShardID), k, implied)
}

// jobFromRecord makes a job of its own record.
func (c *Controller) jobFromRecord(kv messages.KV, rec *jobRecord, part cluster.ShardID) *state.Job {
	j := state.NewJob(*rec.Spec, part, kv.ModRevision, c.loop.Now())
	ok := state.DecodeCompleted(rec.CompletedIndexes, len(j.ChunkStates(0)), func(i int) {
		j.TaskStates[i] = state.TaskCompletionStored
		j.CompletedCount++
	})
	if ok {
		return j
	}
	// A task that is started again after it was done ends at once, so to
	// take all of them for not done is safe.
	c.loop.Log(messages.LogInfo, "impossible record", "key", kv.Key, "why", "done ranges")
	return state.NewJob(*rec.Spec, part, kv.ModRevision, c.loop.Now())
}

// serveJob begins to serve a job of a part held here. Where its cancellation is
// implied by that of one that it needs, only its own record has to follow.
func (c *Controller) serveJob(j *state.Job, k *state.KnownJob, implied bool) {
	j.EffectivePriority = max(j.EffectivePriority, k.EffectivePriority)
	c.state.AddOwnedJob(j)
	if implied {
		c.cancelWithDependency(j)
		return
	}
	c.updateReadiness(j)
	c.scheduler.Trigger.Request()
	c.scheduleScaleOut()
	for n := 1; n < len(j.ModRevisions); n++ {
		j.ChunksLoading++
		c.loadJobChunk(j, n)
	}
	if j.ChunksLoading == 0 && j.CompletedCount == j.Spec.Tasks {
		c.writeJob(j, writequeue.Admit)
	}
}

// loadJobChunk reads a further chunk; the job is held back until it is known.
func (c *Controller) loadJobChunk(j *state.Job, n int) {
	c.writeQueue.ReadKey(j.ChunkKey(n), func(r messages.GetReply) {
		if !c.state.Jobs.Owns(j) {
			return
		}
		switch r.Outcome {
		case messages.OK:
			var rec jobRecord
			base := n * state.TasksPerChunk
			if json.Unmarshal(r.KV.Value, &rec) != nil || !state.DecodeCompleted(rec.CompletedIndexes, len(j.ChunkStates(n)), func(i int) {
				if j.TaskStates[base+i] == state.TaskPending {
					j.TaskStates[base+i] = state.TaskCompletionStored
					j.CompletedCount++
				}
			}) {
				c.loop.Log(messages.LogInfo, "impossible record", "key", r.KV.Key, "why", "done ranges")
			}
			j.ModRevisions[n] = r.KV.ModRevision
		case messages.NotFound:
		default:
			c.loop.After(second/2, func() {
				if c.state.Jobs.Owns(j) {
					c.loadJobChunk(j, n)
				}
			})
			return
		}
		j.ChunksLoading--
		c.scheduler.Trigger.Request()
		if j.ChunksLoading == 0 && j.CompletedCount == j.Spec.Tasks {
			c.writeJob(j, writequeue.Admit)
		}
	})
}

// loadJobs learns of all jobs and then follows the changes at an easy pace;
// it is the safety net under the messages between controllers.
func (c *Controller) loadJobs() {
	c.writeQueue.ListPrefix(state.JobKeyPrefix, func(r messages.ListReply) {
		if r.Outcome != messages.OK {
			c.loop.After(second, c.loadJobs)
			return
		}
		for _, kv := range r.Items {
			c.applyJobRecord(kv, nil)
		}
		c.state.Jobs.AppliedRevision = r.Revision
		c.watchJobs()
	})
}

// recordWatchPause is the time between two requests of the watches on jobs and
// admissions.
const recordWatchPause = 2 * second

func (c *Controller) watchJobs() {
	c.writeQueue.Watch(writequeue.PrefixWatch{
		Prefix:   state.JobKeyPrefix,
		Position: &c.state.Jobs.AppliedRevision,
		Pause:    recordWatchPause,
		OnChange: func(kv messages.KV) {
			c.recordPeerWrite(kv)
			c.applyJobRecord(kv, nil)
		},
		OnCompacted: c.loadJobs,
	})
}

// recordPeerWrite notes which controller wrote a record that has just changed.
func (c *Controller) recordPeerWrite(kv messages.KV) {
	if kv.Value == nil {
		return
	}
	c.members.RecordWrite(writequeue.WriterOf(kv.Value))
}

func (c *Controller) abandonJob(j *state.Job) {
	c.state.RemoveOwnedJob(j)
	for _, fn := range j.Waiters {
		fn("")
	}
	j.Waiters = nil
}

// acknowledgeStoredTasks lets machine records forget the tasks whose outcome is stored:
// they have exited, whoever owns the machine may reap them.
func (c *Controller) acknowledgeStoredTasks(j *state.Job) {
	for a := range j.ListedAssignments {
		m := c.state.Machines[a.MachineID]
		if m == nil || m.Assignments[a.Task] != a || m.StartInDoubt {
			continue
		}
		switch {
		case !a.IsCompleted() || a.ConfirmedAbsent || !a.IsOutcomeStored():
		case a.RemovedFromRecord:
			c.inventory.RemoveAssignment(m, a)
		default:
			m.MarkConfirmedAbsent(a)
			m.EndedToAcknowledge[a.TaskAttempt()] = true
		}
	}
}

func (c *Controller) handleJobEnd(j *state.Job, end cluster.JobStatus) {
	j.FinalStatus = end
	if k := c.state.Jobs.Known[j.Spec.ID]; k != nil {
		k.FinalRecorded = true
		c.applyFinalStatus(j.Spec.ID, k, end)
		c.notifyDependentOwners(j.Spec.ID, k)
	}
	for _, fn := range j.Waiters {
		fn(end)
	}
	j.Waiters = nil
	if !c.state.Jobs.Owns(j) {
		return
	}
	c.loop.Log(messages.LogDebug, "job over", "job", string(j.Spec.ID), "status", string(end), "class", j.Spec.Class, "team", j.Spec.Team,
		"tasks", j.Spec.Tasks, "first_run_s", int((j.FirstRunAt-j.ArrivedAt)/second), "all_run_s", int((j.LastRunAt-j.ArrivedAt)/second),
		"took_s", int((c.loop.Now()-j.ArrivedAt)/second), "run_s", int(j.Spec.RuntimeSeconds), "due_s", int(j.Spec.DeadlineSeconds), "cpu", float64(j.Spec.ResourceRequest.CPU)/1e6, "guaranteed", j.InitiallyGuaranteed)
	if end == cluster.JobCancelled {
		c.reconciler.Stops.StopJob(j)
	}
	c.scheduler.Trigger.Request()
	if len(j.Assignments) == 0 {
		c.state.RemoveOwnedJob(j)
	}
}

// writeBackgroundState stores what can wait: outcomes of tasks whose job goes on, and
// machine records that list more than they need to.
func (c *Controller) writeBackgroundState() {
	for _, j := range c.state.OwnedJobs() {
		if j.WriteQueued || j.FinalStatus != "" || j.RecordTooLarge || c.loop.Now() < j.NextCheckpointAt && len(c.writeQueue.Queued(writequeue.Start)) > 0 {
			continue
		}
		for _, d := range j.DirtyChunks {
			if d {
				j.NextCheckpointAt = c.loop.Now() + 4*c.config.Tuning.CheckpointInterval
				c.writeJob(j, writequeue.Background)
				break
			}
		}
	}
	c.cleanUpGroups()
	c.checkShardProgress()
}
