package controller

import (
	"slices"
	"strconv"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"

	"stairrelay/internal/grouprecord"
)

// orphanedMachines holds the machines that no record known here lists: somebody else's,
// a late rental's, or one whose record a crash prevented.
//
// At most one search for owners runs at a time, and serves all reports that
// came in before it began. A machine in enlisting is being inspected or
// written into a record here, and is not taken up a second time meanwhile.
type orphanedMachines struct {
	unrecordedSince map[cluster.MachineID]cluster.Time // shown by the cloud's list and by no record, since when
	candidates      []cluster.ListedMachine            // shown by the list, to be looked for in the records
	heartbeats      []messages.Heartbeat               // from machines whose owner is to be looked for
	searching       bool
	lastSearchAt    cluster.Time
	registering     map[cluster.MachineID]bool
}

const (
	// ownerHintFresh is how long a note of a machine's owner answers its reports.
	ownerHintFresh = 15 * second
	// ownerHintRetention is how long such a note shows that it is somebody's.
	ownerHintRetention = 60 * second
	// ownerSearchDelay is how long reports are gathered for one search.
	ownerSearchDelay = 50 * millisecond
	// ownerSearchInterval is the least time between two searches.
	ownerSearchInterval = 500 * millisecond
)

func newOrphanedMachines() orphanedMachines {
	return orphanedMachines{unrecordedSince: map[cluster.MachineID]cluster.Time{}, registering: map[cluster.MachineID]bool{}}
}

// startSearch tells whether a search has to begin now, and notes that it does.
func (o *orphanedMachines) startSearch() bool {
	if o.searching || len(o.heartbeats) == 0 {
		return false
	}
	o.searching = true
	return true
}

// nextSearchDelay is how long the next search has to wait.
func (o *orphanedMachines) nextSearchDelay(now cluster.Time) cluster.Time {
	return max(ownerSearchDelay, o.lastSearchAt+ownerSearchInterval-now)
}

// takeHeartbeats takes the reports that the search which begins now serves.
func (o *orphanedMachines) takeHeartbeats(now cluster.Time) []messages.Heartbeat {
	batch := o.heartbeats
	o.heartbeats, o.lastSearchAt = nil, now
	return batch
}

// endSearch notes that no search runs any more.
func (o *orphanedMachines) endSearch(now cluster.Time) { o.searching, o.lastSearchAt = false, now }

// addCandidate notes a machine that the cloud's list shows; true: it is the first.
func (o *orphanedMachines) addCandidate(l cluster.ListedMachine) bool {
	o.registering[l.ID] = true
	o.candidates = append(o.candidates, l)
	return len(o.candidates) == 1
}

// takeCandidates takes the machines found so far.
func (o *orphanedMachines) takeCandidates() []cluster.ListedMachine {
	found := o.candidates
	o.candidates = nil
	return found
}

// isTooNew tells whether a machine was first listed without a record less than a
// time ago.
func (o *orphanedMachines) isTooNew(id cluster.MachineID, now, patience cluster.Time) bool {
	first, ok := o.unrecordedSince[id]
	return ok && now-first < patience
}

// handleUnknownHeartbeat answers a worker that this node doesn't own. Who does is known
// from the records; one reading of them serves all that ask meanwhile.
func (c *Controller) handleUnknownHeartbeat(e messages.Heartbeat) {
	if part, ok := c.machineOwners.recent(e.Status.Machine, c.loop.Now(), ownerHintFresh); ok {
		c.redirectToOwner(e.Request, part)
		return
	}
	if c.writeQueue.IsUnavailableFor(500 * millisecond) {
		c.respondError(e.Request, messages.ReplyUnavailable, 0, "")
		return
	}
	c.orphanedMachines.heartbeats = append(c.orphanedMachines.heartbeats, e)
	c.findOwners()
}

// redirectToOwner sends a worker to the holder of a part. While that is this
// node, its machine is about to be learned here.
func (c *Controller) redirectToOwner(req messages.RequestID, part cluster.ShardID) {
	if p := c.state.Shards[part]; !p.Owned {
		c.redirectWorker(req, p.Owner)
		return
	}
	c.respondError(req, messages.ReplyUnavailable, 0, "")
}

// findOwners reads which machines the records list. Only the holder of the part
// that an orphan's number points to may enlist it, and so nobody else does at
// the same time.
func (c *Controller) findOwners() {
	o := &c.orphanedMachines
	if !o.startSearch() {
		return
	}
	c.loop.After(o.nextSearchDelay(c.loop.Now()), func() {
		reports := o.takeHeartbeats(c.loop.Now())
		c.readRecordedMachines(func(rec *recordedMachines) {
			o.endSearch(c.loop.Now())
			for _, e := range reports {
				c.answerUnknownHeartbeat(e, rec)
			}
			c.findOwners()
		})
	})
}

// answerUnknownHeartbeat answers a worker whose machine was looked for in the records.
func (c *Controller) answerUnknownHeartbeat(e messages.Heartbeat, rec *recordedMachines) {
	id := e.Status.Machine
	switch {
	case c.state.Machines[id] != nil: // learned meanwhile
		c.handleHeartbeat(e)
	case rec == nil:
		c.respondError(e.Request, messages.ReplyUnavailable, 0, "")
	case rec.listed[id]:
		c.redirectToOwner(e.Request, c.machineOwners[id].shardID)
	default:
		p := c.shardForMachine(id)
		c.redirectToOwner(e.Request, p.ID)
		if p.Owned {
			c.queryOrphanStatus(p, &e.Status, rec)
		}
	}
}

// queryOrphanStatus asks a machine that is nobody's for its state, and enlists it
// when it answers: a report may be an old copy from one that is long gone.
func (c *Controller) queryOrphanStatus(p *state.Shard, r *cluster.HeartbeatStatus, rec *recordedMachines) {
	id, kind := r.Machine, grouprecord.Kind{Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	if !p.Ready || rec.requestedKinds[kind] || c.orphanedMachines.registering[id] || r.Addr == "" {
		return
	}
	c.orphanedMachines.registering[id] = true
	c.loop.Emit(messages.QueryWorkerStatus{Addr: r.Addr, Call: eventloop.Call(c.loop, func(reply messages.PushCommandsReply) {
		if reply.Outcome != messages.OK || reply.Status.Machine != id || !p.Owned || !p.Ready {
			delete(c.orphanedMachines.registering, id)
			return
		}
		c.queueRegistration(p, grouprecord.Machine{ID: id, Kind: kind, Address: r.Addr})
	})})
}

// minOrphanAge is how long a machine must have been in the list and in no record:
// the list still shows for a while what has been returned or has died.
func (c *Controller) minOrphanAge() cluster.Time { return 3*c.config.CloudListLag + 45*second }

// handleUnrecordedMachine follows a machine in the cloud's list that is not held here.
// The lag must be over, or a record that is being written would be missed.
func (c *Controller) handleUnrecordedMachine(l cluster.ListedMachine) {
	if l.AgeSeconds < 3*float64(c.config.CloudListLag)/float64(second)+20 {
		return
	}
	if _, ok := c.machineOwners.recent(l.ID, c.loop.Now(), ownerHintRetention); ok {
		return
	}
	p := c.shardForMachine(l.ID)
	if !p.Owned || !p.Ready || c.writeQueue.IsUnavailableFor(second) {
		return
	}
	if c.orphanedMachines.isTooNew(l.ID, c.loop.Now(), c.minOrphanAge()) || c.orphanedMachines.registering[l.ID] {
		return
	}
	if c.orphanedMachines.addCandidate(l) {
		c.loop.After(0, c.adoptCandidates)
	}
}

// adoptCandidates looks whether records list the machines that the cloud shows, and
// takes those that have been nobody's for long enough. That they were listed
// long ago says nothing: they may have been somebody's until now, and then a
// machine just returned would be taken in though it is gone.
func (c *Controller) adoptCandidates() {
	found := c.orphanedMachines.takeCandidates()
	c.readRecordedMachines(func(rec *recordedMachines) {
		for _, l := range found {
			c.adoptOrphan(l, rec)
		}
	})
}

// adoptOrphan enlists a machine from the cloud's list if no record lists it still.
func (c *Controller) adoptOrphan(l cluster.ListedMachine, rec *recordedMachines) {
	o := &c.orphanedMachines
	delete(o.registering, l.ID)
	p := c.shardForMachine(l.ID)
	kind := grouprecord.Kind{Type: l.Type, Zone: l.Zone, Spot: l.Spot}
	if rec == nil || rec.listed[l.ID] || rec.requestedKinds[kind] || c.state.Machines[l.ID] != nil || !p.Owned || !p.Ready {
		delete(o.unrecordedSince, l.ID)
		return
	}
	if _, ok := o.unrecordedSince[l.ID]; !ok {
		o.unrecordedSince[l.ID] = c.loop.Now()
		return
	}
	if o.isTooNew(l.ID, c.loop.Now(), c.minOrphanAge()) {
		return
	}
	c.loop.Log(messages.LogInfo, "adopted stray machine", "machine", string(l.ID))
	c.queueRegistration(p, grouprecord.Machine{ID: l.ID, Kind: kind, Address: l.Addr})
}

// queueRegistration gathers what is to be enlisted within a moment. Until that is
// stored or has failed, the machine is not enlisted a second time.
func (c *Controller) queueRegistration(p *state.Shard, l grouprecord.Machine) {
	c.orphanedMachines.registering[l.ID] = true
	p.ToRegister = append(p.ToRegister, l)
	if len(p.ToRegister) > 1 {
		return
	}
	claim := p.ClaimRevision
	c.loop.After(100*millisecond, func() {
		all := p.ToRegister
		p.ToRegister = nil
		for n := c.groupMachines(); len(all) > 0; {
			ms := all[:min(n, len(all))]
			all = all[len(ms):]
			done := func() {
				for _, l := range ms {
					delete(c.orphanedMachines.registering, l.ID)
				}
				c.maintainMachines()
			}
			if !p.IsOwnedUnder(claim) {
				done()
				continue
			}
			c.registerMachines(p, slices.Clone(ms), done)
		}
	})
}

// shardForMachine spreads unknown machines over the parts by their number.
func (c *Controller) shardForMachine(id cluster.MachineID) *state.Shard {
	n := 0
	for i := len(id) - 1; i >= 0 && id[i] >= '0' && id[i] <= '9'; i-- {
		v, _ := strconv.Atoi(string(id[i:]))
		n = v
		if len(id)-i > 9 {
			break
		}
	}
	return c.state.Shards[n%len(c.state.Shards)]
}

// registerMachines writes machines that no record lists into a new group of a part. done
// is called when that is stored, or has failed.
func (c *Controller) registerMachines(p *state.Shard, ms []grouprecord.Machine, done func()) {
	claim := p.ClaimRevision
	id := c.nextMachineGroupName(p)
	size := 0
	c.writeQueue.Enqueue(writequeue.ScaleOut, &writequeue.Write{
		ShardID: p.ID, Keys: []string{"groups/" + id},
		Build: func(nonce string) ([]messages.TxnOp, []cluster.ModRevision) {
			ms = slices.DeleteFunc(ms, func(l grouprecord.Machine) bool { return c.state.Machines[l.ID] != nil })
			if len(ms) == 0 {
				done()
				return nil, nil
			}
			v := grouprecord.Encode(grouprecord.Record{ShardID: p.ID, Machines: ms, WriteID: nonce})
			size = len(v)
			return []messages.TxnOp{{Key: "groups/" + id, Value: v}}, []cluster.ModRevision{0}
		},
		OnApplied: func(e cluster.Revision) {
			if p.IsOwnedUnder(claim) {
				c.addRegisteredGroup(p, id, ms, size, e)
			}
			done()
		},
		OnConflict:      done,
		OnOwnershipLost: done,
	})
}

// addRegisteredGroup follows the first record of machines that only this claim has owned.
func (c *Controller) addRegisteredGroup(p *state.Shard, id string, ms []grouprecord.Machine, size int, e cluster.Revision) {
	g := c.newGroup(p, id, cluster.ModRevision(e))
	g.RecordSize = size
	for _, l := range ms {
		if c.state.Machines[l.ID] == nil {
			m := c.addMachine(g, l, cluster.FencingToken(e))
			m.InitialToken = m.Token
		}
	}
	c.schedulingTrigger.request()
}
