package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// shardLoad is the reading of the checkpoint of a part just claimed: the
// records come first, what the workers say is compared with them afterwards.
//
// It ends with its claim. Nothing is taken in before all records were read.
type shardLoad struct {
	controller           *Controller
	shard                *state.Shard
	claimRevision        cluster.Revision
	groups               *messages.ListReply
	provisioningRequests *messages.ListReply
	admissions           *messages.ListReply
	jobs                 *messages.ListReply
}

// loadShard reads the checkpoint of a part.
func (c *Controller) loadShard(p *state.Shard) {
	l := &shardLoad{controller: c, shard: p, claimRevision: p.ClaimRevision}
	l.read("groups/", &l.groups)
	l.read("rentals/", &l.provisioningRequests)
	// The accepts first: what is accepted in between comes by the watch.
	l.read(admissionKeyPrefix, &l.admissions)
	l.read(state.JobKeyPrefix, &l.jobs)
}

// read lists the records with a prefix until that works.
func (l *shardLoad) read(prefix string, to **messages.ListReply) {
	l.controller.writeQueue.ListPrefix(prefix, func(r messages.ListReply) {
		if !l.shard.IsOwnedUnder(l.claimRevision) {
			return
		}
		if r.Outcome != messages.OK {
			l.controller.loop.After(second/3, func() { l.read(prefix, to) })
			return
		}
		*to = &r
		if l.groups != nil && l.provisioningRequests != nil && l.admissions != nil && l.jobs != nil {
			l.finish()
		}
	})
}

// finish takes the records in and begins to serve the part, unless they show
// that it is lost or hold something that makes no sense.
func (l *shardLoad) finish() {
	c, p := l.controller, l.shard
	l.applyRecords()
	if !p.Owned {
		return
	}
	if len(p.Quarantined) > 0 {
		c.inventory.RepairQuarantined(p)
		return
	}
	c.ownership.MarkReady(p)
	early := p.EarlyJobs
	p.EarlyJobs = nil
	for _, kv := range early {
		c.applyJobRecord(kv, nil)
	}
	l.awaitAcknowledgements()
	c.scheduler.Trigger.Request()
	if len(p.Machines)+len(p.ProvisioningRequests) > 0 {
		c.cloudListing.nextReadAt = 0 // the cloud's list shows what the records may lack
	}
	c.loop.Log(messages.LogInfo, "part ready",
		"part", int(p.ID),
		"machines", len(p.Machines),
		"jobs", len(p.Jobs),
		"took_ms", int((c.loop.Now()-p.OwnershipChangedAt)/millisecond))
	c.reconciler.Maintenance.Run()
}

func (l *shardLoad) applyRecords() {
	c, p := l.controller, l.shard
	for _, kv := range l.jobs.Items {
		c.applyJobRecord(kv, p)
	}
	for _, kv := range l.admissions.Items { // after the jobs' own records, which count
		c.applyAdmissionRecord(kv, p)
	}
	for _, kv := range l.groups.Items {
		c.inventory.ApplyRecord(kv, p)
	}
	for _, kv := range l.provisioningRequests.Items {
		c.applyProvisioningRecord(kv, p)
	}
}

// awaitAcknowledgements notes which machines have yet to acknowledge this claim's token,
// and logs after a lease how many did.
func (l *shardLoad) awaitAcknowledgements() {
	c, p := l.controller, l.shard
	p.AwaitingFirstAcknowledgementCount, p.LastAcknowledgedAt = 0, c.loop.Now()
	for _, m := range p.Machines {
		if m.AwaitingFirstAcknowledgement = !m.Booting; m.AwaitingFirstAcknowledgement {
			p.AwaitingFirstAcknowledgementCount++
		}
	}
	taken := p.AwaitingFirstAcknowledgementCount
	if taken == 0 {
		return
	}
	c.loop.After(c.config.WorkerLease, func() {
		if p.IsOwnedUnder(l.claimRevision) {
			c.loop.Log(messages.LogInfo, "machines answered",
				"part", int(p.ID),
				"machines", taken,
				"silent", p.AwaitingFirstAcknowledgementCount,
				"took_ms", int((p.LastAcknowledgedAt-p.OwnershipChangedAt)/millisecond))
		}
	})
}
