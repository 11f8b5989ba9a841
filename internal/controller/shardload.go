package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/jobs"
	"stairrelay/internal/messages"
	"stairrelay/internal/provisioning"
	"stairrelay/internal/state"
)

// loadRetryPause is the pause after a shard's records could not be read.
const loadRetryDelay = second / 3

// shardLoad reads the records of a shard that was just acquired. They come first;
// what the workers say is compared with them afterwards.
//
// It ends with its claim. Nothing is applied before all records were read.
type shardLoad struct {
	controller           *Controller
	shard                *state.Shard
	claimRevision        cluster.Revision
	groups               *messages.ListReply
	provisioningRequests *messages.ListReply
	admissions           *messages.ListReply
	jobs                 *messages.ListReply
}

// loadShard reads the records of a shard.
func (c *Controller) loadShard(shard *state.Shard) {
	load := &shardLoad{controller: c, shard: shard, claimRevision: shard.ClaimRevision}
	load.read(state.GroupKeyPrefix, &load.groups)
	load.read(provisioning.RequestKeyPrefix, &load.provisioningRequests)
	// The admissions before the jobs: what is admitted in between comes by the watch.
	load.read(jobs.AdmissionKeyPrefix, &load.admissions)
	load.read(state.JobKeyPrefix, &load.jobs)
}

// read lists the records with a prefix until that works.
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

// isComplete tells whether all records were read.
func (l *shardLoad) isComplete() bool {
	return l.groups != nil && l.provisioningRequests != nil && l.admissions != nil && l.jobs != nil
}

// finish applies the records and begins to serve the shard, unless they show that it
// is lost or some of them make no sense.
func (l *shardLoad) finish() {
	c, shard := l.controller, l.shard
	l.applyRecords()
	if !shard.Owned {
		return
	}
	if len(shard.Quarantined) > 0 {
		c.inventory.RepairQuarantined(shard)
		return
	}
	c.ownership.MarkReady(shard)
	l.applyEarlyJobs()
	l.awaitAcknowledgements()
	c.scheduler.Trigger.Request()
	if len(shard.Machines)+len(shard.ProvisioningRequests) > 0 {
		c.provisioner.List.RequestRead() // the cloud's list shows what the records may lack
	}
	c.loop.Log(messages.LogInfo, "shard ready",
		"shard", int(shard.ID),
		"machines", len(shard.Machines),
		"jobs", len(shard.Jobs),
		"took_ms", l.millisSinceAcquire(c.loop.Now()))
	c.reconciler.Maintenance.Run()
}

// applyRecords applies all records that were read.
func (l *shardLoad) applyRecords() {
	c, shard := l.controller, l.shard
	for _, kv := range l.jobs.Items {
		c.jobs.Records.Apply(kv, shard)
	}
	for _, kv := range l.admissions.Items { // after the jobs' own records, which count
		c.jobs.AdmissionRecords.Apply(kv, shard)
	}
	for _, kv := range l.groups.Items {
		c.inventory.ApplyRecord(kv, shard)
	}
	for _, kv := range l.provisioningRequests.Items {
		c.provisioner.Requests.ApplyRecord(kv, shard)
	}
}

// applyEarlyJobs applies the job records that were seen while the shard was loaded.
func (l *shardLoad) applyEarlyJobs() {
	early := l.shard.EarlyJobs
	l.shard.EarlyJobs = nil
	for _, kv := range early {
		l.controller.jobs.Records.Apply(kv, nil)
	}
}

// awaitAcknowledgements notes which machines have yet to acknowledge this claim's
// fencing token, and logs after a worker lease how many did.
func (l *shardLoad) awaitAcknowledgements() {
	c, shard := l.controller, l.shard
	awaited := shard.AwaitFirstAcknowledgements(c.loop.Now())
	if awaited == 0 {
		return
	}
	c.loop.After(c.config.WorkerLease, func() {
		if shard.IsOwnedUnder(l.claimRevision) {
			c.loop.Log(messages.LogInfo, "machines acknowledged",
				"shard", int(shard.ID),
				"machines", awaited,
				"silent", shard.AwaitingFirstAcknowledgementCount,
				"took_ms", l.millisSinceAcquire(shard.LastAcknowledgedAt))
		}
	})
}

// millisSinceAcquire is how long after the acquire a time was.
func (l *shardLoad) millisSinceAcquire(at cluster.Time) int {
	return int((at - l.shard.OwnershipChangedAt) / millisecond)
}
