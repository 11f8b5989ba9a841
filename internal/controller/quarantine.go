package controller

import (
	"maps"
	"slices"

	"stairrelay/internal/provisioning"
	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"

	"stairrelay/internal/grouprecord"
)

// What a record that makes no sense lists is unknown, and guessing could run a
// task twice. The part's other records are kept; its machines are returned to
// the cloud, after which nothing that they held can still run, and the record
// is dropped. Until then users are answered from the store.

// quarantineRecord notes a group's record that makes no sense.
func (c *Controller) quarantineRecord(p *state.Shard, kv messages.KV, why string) {
	c.loop.Log(messages.LogInfo, "impossible record", "key", kv.Key, "why", why)
	if p.Quarantined == nil {
		p.Quarantined = map[string]cluster.ModRevision{}
	}
	p.Quarantined[kv.Key] = kv.ModRevision
	for _, g := range slices.Sorted(maps.Keys(c.state.Groups)) {
		if c.state.Groups[g].Key() == kv.Key {
			c.dropTransferredGroup(c.state.Groups[g], cluster.NoShard)
		}
	}
}

// repairQuarantined returns every machine that the cloud lists and no readable record
// does, then drops the records set aside and reads the part again. The list may
// be as old as twice its lag: only one that must show all that existed at the
// claim will do.
func (c *Controller) repairQuarantined(p *state.Shard) {
	claim := p.ClaimRevision
	again := func(d cluster.Time) {
		c.loop.After(d, func() {
			if p.Owned && p.ClaimRevision == claim && !p.Ready {
				c.repairQuarantined(p)
			}
		})
	}
	if wait := p.OwnershipChangedAt + 2*c.config.CloudListLag + 3*second - c.loop.Now(); wait > 0 {
		again(wait)
		return
	}
	c.provisioner.Rate.ForceCall()
	c.provisioner.List.Read(func(listedByCloud []cluster.ListedMachine, ok bool) {
		if !ok {
			again(2 * second)
			return
		}
		c.writeQueue.ListPrefix("groups/", func(l messages.ListReply) {
			if l.Outcome != messages.OK {
				again(second)
				return
			}
			listed := map[cluster.MachineID]bool{}
			for _, kv := range l.Items {
				if _, bad := p.Quarantined[kv.Key]; bad {
					continue
				}
				if rec, err := grouprecord.Decode(kv.Value); err == nil {
					for i := range rec.Machines {
						listed[rec.Machines[i].ID] = true
					}
				}
			}
			var lost []cluster.MachineID
			for _, x := range listedByCloud {
				if !listed[x.ID] {
					lost = append(lost, x.ID)
				}
			}
			c.releaseUnlistedMachines(p, claim, lost, again)
		})
	})
}

func (c *Controller) releaseUnlistedMachines(p *state.Shard, claim cluster.Revision, lost []cluster.MachineID, again func(cluster.Time)) {
	if !p.Owned || p.ClaimRevision != claim {
		return
	}
	if len(lost) == 0 {
		c.deleteQuarantinedRecords(p, claim)
		return
	}
	n := min(len(lost), provisioning.MaxMachinesPerScaleIn)
	c.provisioner.Rate.ForceCall()
	c.loop.Emit(messages.CloudScaleIn{IDs: lost[:n], Call: eventloop.Call(c.loop, func(reply messages.ScaleInReply) {
		if reply.Outcome != messages.OK {
			again(2 * second)
			return
		}
		c.releaseUnlistedMachines(p, claim, lost[n:], again)
	})})
}

func (c *Controller) deleteQuarantinedRecords(p *state.Shard, claim cluster.Revision) {
	keys := slices.Sorted(maps.Keys(p.Quarantined))
	keys = keys[:min(len(keys), c.config.MaxTxnOps)]
	c.writeQueue.Enqueue(writequeue.ScaleOut, &writequeue.Write{
		ShardID: p.ID, Keys: keys,
		Build: func(string) ([]messages.TxnOp, []cluster.ModRevision) {
			var ops []messages.TxnOp
			var marks []cluster.ModRevision
			for _, k := range keys {
				ops, marks = append(ops, messages.TxnOp{Key: k, Value: nil}), append(marks, p.Quarantined[k])
			}
			return ops, marks
		},
		OnApplied: func(cluster.Revision) {
			if p.Owned && p.ClaimRevision == claim {
				c.loop.Log(messages.LogInfo, "impossible records dropped", "part", int(p.ID), "records", len(keys))
				c.reloadShard(p)
			}
		},
		OnConflict: func() { // another part's holder was faster, or an earlier sending was carried out
			if p.Owned && p.ClaimRevision == claim {
				c.reloadShard(p)
			}
		},
	})
}

// reloadShard reads a part's records anew.
func (c *Controller) reloadShard(p *state.Shard) {
	p.Quarantined = nil
	for _, m := range slices.Clone(p.Machines) {
		c.dropMachine(m)
	}
	for _, j := range slices.Clone(p.Jobs) {
		c.abandonJob(j)
	}
	for _, id := range slices.Sorted(maps.Keys(c.state.Groups)) {
		if c.state.Groups[id].ShardID == p.ID {
			delete(c.state.Groups, id)
		}
	}
	p.ProvisioningRequests = map[string]*state.ProvisioningRequest{}
	c.loadShard(p)
}

// groupRecordShard reads at least whose a record is that makes no sense otherwise.
func groupRecordShard(v []byte, parts int) (cluster.ShardID, bool) {
	part, ok := grouprecord.ShardOf(v)
	if !ok || part < 0 || int(part) >= parts {
		return 0, false
	}
	return part, true
}
