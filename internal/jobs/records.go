package jobs

import (
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/exactjson"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// readRetryDelay is the delay before a failed read of a job's records is retried.
const readRetryDelay = second / 2

// Records applies the stored records of jobs, and writes those of the jobs of owned
// shards.
type Records struct {
	*shared

	dependencies *dependencyGraph
}

func newRecords(common *shared, notices *noticeSender) *Records {
	records := &Records{shared: common}
	records.dependencies = &dependencyGraph{
		shared:  common,
		records: records,
		notices: notices,
		urgency: &urgencyPropagation{shared: common},
	}
	return records
}

// Apply applies a job's record, which was read from the store, delivered by a watch or
// sent by another controller. It registers the job, applies a final status, and adds an
// unfinished job of an owned shard to the owned jobs. An invalid record is logged and
// otherwise ignored. If the record was read to load a shard that this controller has
// acquired, loading is that shard; otherwise it is nil.
func (r *Records) Apply(kv messages.KV, loading *state.Shard) {
	if kv.Value == nil {
		return
	}
	var record Record
	if err := exactjson.Unmarshal(kv.Value, &record); err != nil {
		r.loop.Log(messages.LogError, "cannot decode job record; ignoring it", "key", kv.Key, "error", err.Error())
		return
	}
	teamName, tasks := record.teamAndTasks()
	team := r.state.Teams[teamName]
	if team == nil || tasks < 1 {
		r.loop.Log(messages.LogError, "ignoring job record with an unknown team or without tasks", "key", kv.Key)
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
		r.dependencies.applyFinalStatus(id, record.FinalStatus)
	case record.Spec != nil:
		if known.FinalStatus == "" {
			r.dependencies.add(id, known, record.Spec)
		}
		record.Spec.ID = id
		r.addOwnedJob(kv, &record, known, r.state.Shards[team.ShardID], loading)
	}
}

// PropagateUrgency passes the urgency of the jobs that were added in this step on to the
// jobs that they depend on.
func (r *Records) PropagateUrgency() { r.dependencies.urgency.run() }

// addOwnedJob adds an unfinished job to the owned jobs if its shard is owned. It does
// nothing if the job is already owned or is known to have finished.
func (r *Records) addOwnedJob(kv messages.KV, record *Record, known *state.KnownJob, shard, loading *state.Shard) {
	// A job that is cancelled because of a dependency is added nevertheless, so that
	// its own record is written.
	impliedCancellation := known.FinalStatus == cluster.JobCancelled && !known.FinalRecorded && len(known.Dependencies) > 0
	if known.FinalStatus != "" && !impliedCancellation || !shard.Owned || r.state.Jobs.Owned[record.Spec.ID] != nil {
		return
	}
	if !shard.Ready && shard != loading {
		// The shard is being loaded, and its jobs may have been read before this one was
		// stored. The record is applied again when the shard is ready.
		shard.DeferredJobRecords = append(shard.DeferredJobRecords, kv)
		return
	}
	job := r.newJob(kv, record, shard.ID)
	job.EffectivePriority = max(job.EffectivePriority, known.EffectivePriority)
	r.state.AddOwnedJob(job)
	if impliedCancellation {
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

// newJob creates a job from its own record. If the record's list of completed tasks is
// malformed, it logs this and treats all tasks as not completed.
func (r *Records) newJob(kv messages.KV, record *Record, shard cluster.ShardID) *state.Job {
	job := state.NewJob(*record.Spec, shard, kv.ModRevision, r.loop.Now())
	if job.RestoreCompleted(0, record.CompletedIndexes) {
		return job
	}
	// Starting a completed task again is safe, because it exits immediately.
	r.logCorruptIndexes(kv.Key)
	return state.NewJob(*record.Spec, shard, kv.ModRevision, r.loop.Now())
}

// loadChunk reads the completed tasks of a chunk other than the first. No task of the job
// is scheduled until all chunks are read.
func (r *Records) loadChunk(job *state.Job, chunk int) {
	r.writeQueue.ReadKey(job.ChunkKey(chunk), func(reply messages.GetReply) {
		if !r.state.Jobs.Owns(job) {
			return
		}
		switch reply.Outcome { //nolint:exhaustive // any other outcome is a failure, after which the read is retried
		case messages.OK:
			r.applyChunk(job, chunk, reply.KV)
		case messages.NotFound: // no completed task of the chunk was stored yet
		default:
			r.loop.After(readRetryDelay, func() {
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
	if exactjson.Unmarshal(kv.Value, &record) != nil || !job.RestoreCompleted(chunk, record.CompletedIndexes) {
		r.logCorruptIndexes(kv.Key)
	}
	job.ModRevisions[chunk] = kv.ModRevision
}

func (r *Records) logCorruptIndexes(key string) {
	r.loop.Log(messages.LogInfo, "cannot decode completed tasks of job; rerunning those not known to be completed", "key", key)
}

// writeEndIfComplete enqueues a write of the final status of a job whose tasks were all
// completed when its shard was acquired.
func (r *Records) writeEndIfComplete(job *state.Job) {
	if job.ChunksLoading == 0 && job.CompletedCount == job.Spec.Tasks {
		r.WriteJob(job, writequeue.PriorityAdmission)
	}
}

// load reads all jobs' own records, and then follows their changes.
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
			Delay:       watchDelay,
			OnChange:    r.applyWatched,
			OnCompacted: r.load,
		})
	})
}

func (r *Records) applyWatched(kv messages.KV) {
	r.markWriterAlive(kv)
	r.Apply(kv, nil)
}

// readChanges applies the changes since the applied revision without waiting for the
// next watch, and calls handle with whether they could be read.
func (r *Records) readChanges(handle func(ok bool)) {
	r.writeQueue.ReadChanges(state.JobKeyPrefix, r.state.Jobs.AppliedRevision, func(reply messages.WatchReply) {
		for _, kv := range reply.Items {
			r.Apply(kv, nil)
		}
		handle(reply.Outcome == messages.OK)
	})
}

// markWriterAlive records that the controller that wrote a record is alive. Otherwise a
// live controller that this one cannot reach could be considered failed and lose its
// shards.
func (s *shared) markWriterAlive(kv messages.KV) {
	if kv.Value != nil {
		s.Members.RecordWrite(writequeue.WriterOf(kv.Value))
	}
}
