package jobs

import (
	"encoding/json"
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// readRetryPause is the pause before a failed read of a job's records is repeated.
const readRetryPause = second / 2

// Records takes in the stored records of jobs, and writes those of the owned
// shards' jobs.
type Records struct {
	*shared

	dependencies *dependencyGraph
}

func newRecords(common *shared, sender *notices) *Records {
	records := &Records{shared: common}
	records.dependencies = &dependencyGraph{shared: common, records: records, notices: sender}
	return records
}

// Apply takes in a job's record from the state service, another controller or a
// watch. With loading set, that shard has just been acquired, and the record is
// part of its checkpoint.
func (r *Records) Apply(kv messages.KV, loading *state.Shard) {
	if kv.Value == nil {
		return
	}
	var record Record
	if err := json.Unmarshal(kv.Value, &record); err != nil {
		r.loop.Log(messages.LogError, "unreadable record", "key", kv.Key, "error", err.Error())
		return
	}
	teamName, tasks := record.teamAndTasks()
	team := r.state.Teams[teamName]
	if team == nil || tasks < 1 {
		r.loop.Log(messages.LogError, "job record names no known team", "key", kv.Key)
		return
	}
	id := cluster.JobID(strings.TrimPrefix(kv.Key, state.JobKeyPrefix))
	known := r.state.Jobs.Register(id, team.ShardID, teamName, tasks)
	if record.ResourceRequest != nil {
		known.ResourceRequest = *record.ResourceRequest
	}
	switch {
	case record.FinalStatus.IsFinal():
		known.FinalRecorded = true
		r.dependencies.applyFinalStatus(id, known, record.FinalStatus)
	case record.Spec != nil:
		if known.FinalStatus == "" {
			r.dependencies.add(id, known, record.Spec)
		}
		record.Spec.ID = id
		r.serveUnfinished(kv, &record, known, r.state.Shards[team.ShardID], loading)
	}
}

// serveUnfinished begins to serve a job of an owned shard, unless it is served
// already or is known to have ended.
func (r *Records) serveUnfinished(kv messages.KV, record *Record, known *state.KnownJob, shard, loading *state.Shard) {
	// The end of a job that is cancelled with a dependency has to be stored yet.
	impliedEnd := known.FinalStatus == cluster.JobCancelled && !known.FinalRecorded && len(known.Dependencies) > 0
	if known.FinalStatus != "" && !impliedEnd || !shard.Owned || r.state.Jobs.Owned[record.Spec.ID] != nil {
		return
	}
	if !shard.Ready && shard != loading {
		// The shard is being read, but perhaps its jobs were read before this one
		// was stored: it is applied again when the shard is ready.
		shard.EarlyJobs = append(shard.EarlyJobs, kv)
		return
	}
	job := r.newJob(kv, record, shard.ID)
	job.EffectivePriority = max(job.EffectivePriority, known.EffectivePriority)
	r.state.AddOwnedJob(job)
	if impliedEnd {
		r.dependencies.cancel(job)
		return
	}
	r.dependencies.updateReadiness(job)
	r.Scheduler.RequestScheduling()
	r.Scheduler.RequestScaleOut()
	for chunk := 1; chunk < len(job.ModRevisions); chunk++ {
		job.ChunksLoading++
		r.loadChunk(job, chunk)
	}
	r.writeEndIfComplete(job)
}

// newJob makes a job of its own record.
func (r *Records) newJob(kv messages.KV, record *Record, shard cluster.ShardID) *state.Job {
	job := state.NewJob(*record.Spec, shard, kv.ModRevision, r.loop.Now())
	if job.RestoreCompleted(0, record.CompletedIndexes) {
		return job
	}
	// A task that is started again after it was done ends at once, so it is safe
	// to take all of them as not done.
	r.logCorruptOutcomes(kv.Key)
	return state.NewJob(*record.Spec, shard, kv.ModRevision, r.loop.Now())
}

// loadChunk reads the outcomes of a further chunk of tasks. Nothing of the job is
// scheduled before all are known.
func (r *Records) loadChunk(job *state.Job, chunk int) {
	r.writeQueue.ReadKey(job.ChunkKey(chunk), func(reply messages.GetReply) {
		if !r.state.Jobs.Owns(job) {
			return
		}
		switch reply.Outcome { //nolint:exhaustive // any other outcome is a failure, after which the read is repeated
		case messages.OK:
			r.applyChunk(job, chunk, reply.KV)
		case messages.NotFound: // no outcome of it was stored yet
		default:
			r.loop.After(readRetryPause, func() {
				if r.state.Jobs.Owns(job) {
					r.loadChunk(job, chunk)
				}
			})
			return
		}
		job.ChunksLoading--
		r.Scheduler.RequestScheduling()
		r.writeEndIfComplete(job)
	})
}

func (r *Records) applyChunk(job *state.Job, chunk int, kv messages.KV) {
	var record Record
	if json.Unmarshal(kv.Value, &record) != nil || !job.RestoreCompleted(chunk, record.CompletedIndexes) {
		r.logCorruptOutcomes(kv.Key)
	}
	job.ModRevisions[chunk] = kv.ModRevision
}

func (r *Records) logCorruptOutcomes(key string) {
	r.loop.Log(messages.LogInfo, "corrupt record of completed tasks", "key", key)
}

// writeEndIfComplete stores the end of a job all of whose tasks were done when its
// shard was acquired.
func (r *Records) writeEndIfComplete(job *state.Job) {
	if job.ChunksLoading == 0 && job.CompletedCount == job.Spec.Tasks {
		r.WriteJob(job, writequeue.PriorityAdmission)
	}
}

// load reads all jobs' own records, then follows their changes.
func (r *Records) load() {
	r.writeQueue.ListPrefix(state.JobKeyPrefix, func(reply messages.ListReply) {
		if reply.Outcome != messages.OK {
			r.loop.After(second, r.load)
			return
		}
		for _, kv := range reply.Items {
			r.Apply(kv, nil)
		}
		r.state.Jobs.AppliedRevision = reply.Revision
		r.writeQueue.Watch(writequeue.PrefixWatch{
			Prefix:      state.JobKeyPrefix,
			Position:    &r.state.Jobs.AppliedRevision,
			Pause:       watchPause,
			OnChange:    r.applyWatched,
			OnCompacted: r.load,
		})
	})
}

func (r *Records) applyWatched(kv messages.KV) {
	r.recordWriter(kv)
	r.Apply(kv, nil)
}

// readChanges reads at once what has changed since the last watch; handle gets
// whether that could be read.
func (r *Records) readChanges(handle func(ok bool)) {
	r.writeQueue.ReadChanges(state.JobKeyPrefix, r.state.Jobs.AppliedRevision, func(reply messages.WatchReply) {
		for _, kv := range reply.Items {
			r.Apply(kv, nil)
		}
		handle(reply.Outcome == messages.OK)
	})
}

// recordWriter notes that the controller which wrote a record is alive. One that this
// controller can't call would else count as failed, and lose its shards.
func (s *shared) recordWriter(kv messages.KV) {
	if kv.Value != nil {
		s.Members.RecordWrite(writequeue.WriterOf(kv.Value))
	}
}
