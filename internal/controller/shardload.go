package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/jobs"
	"stairrelay/internal/messages"
	"stairrelay/internal/provisioning"
	"stairrelay/internal/state"
)

// loadRetryDelay is the delay before a failed read of a shard's records is retried.
const loadRetryDelay = second / 3

// shardLoad loads the records of a newly acquired shard. The workers' heartbeats are
// reconciled with the records only after the load.
//
// A load is abandoned if this controller loses the shard, even if it acquires the shard
// again under another claim. No record is applied before all records were read.
type shardLoad struct {
	controller           *Controller
	shard                *state.Shard
	claimRevision        cluster.Revision
	groups               *messages.ListReply
	provisioningRequests *messages.ListReply
	admissions           *messages.ListReply
	jobs                 *messages.ListReply
}

// loadShard starts to load the records of a shard.
func (c *Controller) loadShard(shard *state.Shard) {
	load := &shardLoad{controller: c, shard: shard, claimRevision: shard.ClaimRevision}
	load.read(state.GroupKeyPrefix, &load.groups)
	load.read(provisioning.RequestKeyPrefix, &load.provisioningRequests)
	// Admissions are listed before jobs. A job that is admitted between the two reads is
	// delivered by the watch.
	load.read(jobs.AdmissionKeyPrefix, &load.admissions)
	load.read(state.JobKeyPrefix, &load.jobs)
}

// read stores a list of the records with a prefix in result. It retries a failed read
// unless the shard was lost, and calls finish once all records of the load were read.
func (l *shardLoad) read(prefix string, result **messages.ListReply) {
	l.controller.writeQueue.ListPrefix(prefix, func(reply messages.ListReply) {
		if !l.shard.IsOwnedUnder(l.claimRevision) {
			return
		}
		if reply.Outcome != messages.OK {
			l.controller.loop.After(loadRetryDelay, func() { l.read(prefix, result) })
			return
		}
		*result = &reply
		if l.isComplete() {
			l.finish()
		}
	})
}

// isComplete reports whether all records were read.
func (l *shardLoad) isComplete() bool {
	return l.groups != nil && l.provisioningRequests != nil && l.admissions != nil && l.jobs != nil
}

// finish applies the records and marks the shard as ready. If applying them shows that
// the shard was lost, it does nothing more. If some group records are corrupt, it starts
// their repair instead, after which the shard is loaded again.
func (l *shardLoad) finish() {
	c, shard := l.controller, l.shard
	l.applyRecords()
	if !shard.Owned {
		return
	}
	if len(shard.QuarantinedGroups) > 0 {
		c.inventory.RepairQuarantined(shard)
		return
	}
	c.ownership.MarkReady(shard)
	l.applyDeferredJobs()
	l.awaitAcknowledgements()
	c.scheduler.Trigger.Request()
	if len(shard.Machines)+len(shard.ProvisioningRequests) > 0 {
		c.provisioner.List.RequestRead() // finds machines that no record lists
	}
	c.loop.Log(messages.LogInfo, "shard ready",
		"shard", int(shard.ID),
		"machines", len(shard.Machines),
		"jobs", len(shard.Jobs),
		"took_ms", l.millisSinceAcquire(c.loop.Now()))
	c.reconciler.Maintenance.Run()
}

// applyRecords applies all records that were read. A job's own record takes precedence
// over its admission record.
func (l *shardLoad) applyRecords() {
	c, shard := l.controller, l.shard
	for _, kv := range l.jobs.Items {
		c.jobs.Records.Apply(kv, shard)
	}
	for _, kv := range l.admissions.Items {
		c.jobs.AdmissionRecords.Apply(kv, shard)
	}
	for _, kv := range l.groups.Items {
		c.inventory.ApplyRecord(kv, shard)
	}
	for _, kv := range l.provisioningRequests.Items {
		c.provisioner.Requests.ApplyRecord(kv, shard)
	}
}

// applyDeferredJobs applies the job records that were received while the shard was loaded.
func (l *shardLoad) applyDeferredJobs() {
	deferred := l.shard.DeferredJobRecords
	l.shard.DeferredJobRecords = nil
	for _, kv := range deferred {
		l.controller.jobs.Records.Apply(kv, nil)
	}
}

// awaitAcknowledgements marks the shard's booted machines as not having acknowledged this
// claim's fencing token. One worker lease later, it logs how many machines were awaited,
// how many of these are still silent, and how long after the acquisition the last one
// acknowledged its token. If all are silent, the logged time is that of the load.
func (l *shardLoad) awaitAcknowledgements() {
	c, shard := l.controller, l.shard
	awaited := shard.AwaitFirstAcknowledgements(c.loop.Now())
	if awaited == 0 {
		return
	}
	c.loop.After(c.config.WorkerLease, func() {
		if shard.IsOwnedUnder(l.claimRevision) {
			c.loop.Log(messages.LogInfo, "waited one worker lease for machines to acknowledge their new fencing tokens",
				"shard", int(shard.ID),
				"machines", awaited,
				"silent", shard.AwaitingFirstAcknowledgementCount,
				"took_ms", l.millisSinceAcquire(shard.LastAcknowledgedAt))
		}
	})
}

// millisSinceAcquire returns the milliseconds from the acquisition of the shard to at.
func (l *shardLoad) millisSinceAcquire(at cluster.Time) int {
	return int((at - l.shard.OwnershipChangedAt) / millisecond)
}
