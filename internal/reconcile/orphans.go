package reconcile

import (
	"slices"
	"strconv"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

const (
	// ownerHintFresh is how long a note of a machine's owner answers its heartbeats.
	redirectHintMaxAge = 15 * second
	// ownerHintRetention is how long such a note shows that it is somebody's.
	adoptionHintMaxAge = 60 * second
	// ownerSearchDelay is how long heartbeats are gathered for one search.
	ownerSearchBatchDelay = 50 * millisecond
	// ownerSearchInterval is the least time between two searches.
	ownerSearchInterval = 500 * millisecond
	// registrationDelay is how long orphans are gathered for one record.
	registrationBatchDelay = 100 * millisecond
	// storeSilence is how long the state service may be silent before a worker
	// that needs it for its answer is told to ask again.
	ownerSearchStoreTimeout = 500 * millisecond
	// adoptionStoreSilence is the same for the adoption of orphans.
	adoptionStoreTimeout = second
)

// MachineDirectory tells whose machines are that this controller does not own.
type MachineDirectory interface {
	// RecentShardOf returns the shard whose record was seen to list a machine within a
	// time.
	RecentShardOf(id cluster.MachineID, within cluster.Time) (cluster.ShardID, bool)
	// LastShardOf returns the shard whose record was last seen to list a machine.
	LastShardOf(id cluster.MachineID) (cluster.ShardID, bool)
	// ReadRecordedMachines calls handle with what the records list; nil: the state
	// service does not answer, or a record can't be read.
	ReadRecordedMachines(handle func(*state.RecordedMachines))
}

// MachineRegistrar writes machines into records.
type MachineRegistrar interface {
	// TargetGroupSize is how many machines are put into one record.
	TargetGroupSize() int
	// RegisterMachines writes machines that no record lists into a new group of a
	// shard. It calls done when that is stored, or has failed.
	RegisterMachines(shard *state.Shard, machines []grouprecord.Machine, done func())
}

// Orphans are the machines that no record known here lists: another owner's, one of
// a provisioning request answered late, or one whose record a crash prevented.
//
// At most one search for owners runs at a time, and it serves all heartbeats that
// came in before it began. A machine in registering is being queried or written
// into a record here, and is not taken up a second time meanwhile.
type Orphans struct {
	*shared
	reconciler *Reconciler

	unrecordedSince   map[cluster.MachineID]cluster.Time // in the cloud's list and in no record, since when
	candidates        []cluster.ListedMachine            // in the cloud's list, to be looked for in the records
	pendingHeartbeats []messages.Heartbeat               // from machines whose owner is to be looked for
	searching         bool
	lastSearchAt      cluster.Time
	registering       map[cluster.MachineID]bool
}

func newOrphans(s *shared, r *Reconciler) *Orphans {
	return &Orphans{
		shared:          s,
		reconciler:      r,
		unrecordedSince: map[cluster.MachineID]cluster.Time{},
		registering:     map[cluster.MachineID]bool{},
	}
}

// HandleHeartbeat answers a worker whose machine this controller does not own. The
// records show who does; one reading of them serves all workers that ask meanwhile.
func (o *Orphans) HandleHeartbeat(heartbeat messages.Heartbeat) {
	if shard, ok := o.deps.Directory.RecentShardOf(heartbeat.Status.Machine, redirectHintMaxAge); ok {
		o.redirectToOwner(heartbeat.Request, shard)
		return
	}
	if o.queue.IsUnavailableFor(ownerSearchStoreTimeout) {
		o.respondUnavailable(heartbeat.Request)
		return
	}
	o.pendingHeartbeats = append(o.pendingHeartbeats, heartbeat)
	o.startSearch()
}

// redirectToOwner sends a worker to the owner of a shard. While that is this
// controller, the machine is about to become known here.
func (o *Orphans) redirectToOwner(request messages.RequestID, id cluster.ShardID) {
	if shard := o.state.Shards[id]; !shard.Owned {
		o.redirect(request, shard.Owner)
		return
	}
	o.respondUnavailable(request)
}

// startSearch reads which machines the records list, unless that is being done
// already. Only the owner of the shard that an orphan's number points to may
// register it, so that nobody else does at the same time.
func (o *Orphans) startSearch() {
	if o.searching || len(o.pendingHeartbeats) == 0 {
		return
	}
	o.searching = true
	delay := max(ownerSearchBatchDelay, o.lastSearchAt+ownerSearchInterval-o.loop.Now())
	o.loop.After(delay, o.search)
}

func (o *Orphans) search() {
	heartbeats := o.pendingHeartbeats
	o.pendingHeartbeats, o.lastSearchAt = nil, o.loop.Now()
	o.deps.Directory.ReadRecordedMachines(func(recorded *state.RecordedMachines) {
		o.searching, o.lastSearchAt = false, o.loop.Now()
		for _, heartbeat := range heartbeats {
			o.answer(heartbeat, recorded)
		}
		o.startSearch()
	})
}

// answer answers a worker whose machine was looked for in the records.
func (o *Orphans) answer(heartbeat messages.Heartbeat, recorded *state.RecordedMachines) {
	id := heartbeat.Status.Machine
	switch {
	case o.state.Machines[id] != nil: // became known meanwhile
		o.reconciler.Heartbeats.Handle(heartbeat)
	case recorded == nil:
		o.respondUnavailable(heartbeat.Request)
	case recorded.Listed[id]:
		shard, _ := o.deps.Directory.LastShardOf(id) // the record that lists it was just read
		o.redirectToOwner(heartbeat.Request, shard)
	default:
		shard := o.ShardFor(id)
		o.redirectToOwner(heartbeat.Request, shard.ID)
		if shard.Owned {
			o.queryStatus(shard, &heartbeat.Status, recorded)
		}
	}
}

// queryStatus asks an orphaned machine for its status, and registers it when it
// answers. A heartbeat alone proves nothing: it may be an old copy from a machine
// that is long gone.
func (o *Orphans) queryStatus(shard *state.Shard, status *cluster.HeartbeatStatus, recorded *state.RecordedMachines) {
	id := status.Machine
	kind := grouprecord.Kind{Type: status.Type, Zone: status.Zone, Spot: status.Spot}
	if !shard.Ready || recorded.RequestedKinds[kind] || o.registering[id] || status.Addr == "" {
		return
	}
	o.registering[id] = true
	address := status.Addr
	call := eventloop.Call(o.loop, func(reply messages.PushCommandsReply) {
		if reply.Outcome != messages.OK || reply.Status.Machine != id || !shard.Owned || !shard.Ready {
			delete(o.registering, id)
			return
		}
		o.queueRegistration(shard, grouprecord.Machine{ID: id, Kind: kind, Address: address})
	})
	o.loop.Emit(messages.QueryWorkerStatus{Addr: address, Call: call})
}

// minAge is how long a machine must have been in the cloud's list and in no record
// before it is adopted: the list still shows for a while what has been released or
// has died.
func (o *Orphans) minAge() cluster.Time { return 3*o.config.CloudListLag + 45*second }

// isTooNew tells whether a machine was first listed without a record less than the
// minimum age ago.
func (o *Orphans) isTooNew(id cluster.MachineID) bool {
	first, ok := o.unrecordedSince[id]
	return ok && o.loop.Now()-first < o.minAge()
}

// HandleListed follows a machine in the cloud's list that is not known here. It must
// be older than the list may be behind, or a record that is being written would be
// missed.
func (o *Orphans) HandleListed(listed cluster.ListedMachine) {
	if listed.AgeSeconds < 3*float64(o.config.CloudListLag)/float64(second)+20 {
		return
	}
	if _, ok := o.deps.Directory.RecentShardOf(listed.ID, adoptionHintMaxAge); ok {
		return
	}
	shard := o.ShardFor(listed.ID)
	if !shard.Owned || !shard.Ready || o.queue.IsUnavailableFor(adoptionStoreTimeout) {
		return
	}
	if o.isTooNew(listed.ID) || o.registering[listed.ID] {
		return
	}
	o.registering[listed.ID] = true
	o.candidates = append(o.candidates, listed)
	if len(o.candidates) == 1 {
		o.loop.After(0, o.adoptCandidates)
	}
}

// ForgetUnlisted forgets the orphans that the cloud's list shows no more, and those
// that have become known.
func (o *Orphans) ForgetUnlisted(listed map[cluster.MachineID]bool) {
	for id := range o.unrecordedSince {
		if !listed[id] || o.state.Machines[id] != nil {
			delete(o.unrecordedSince, id)
		}
	}
}

// adoptCandidates looks whether records list the machines that the cloud shows, and
// adopts those that no record has listed for long enough. That the cloud listed them
// long ago says nothing: another shard may have owned them until now, and then a
// machine just released would be adopted though it is gone.
func (o *Orphans) adoptCandidates() {
	candidates := o.candidates
	o.candidates = nil
	o.deps.Directory.ReadRecordedMachines(func(recorded *state.RecordedMachines) {
		for _, candidate := range candidates {
			o.adopt(candidate, recorded)
		}
	})
}

// adopt registers a machine from the cloud's list if still no record lists it.
func (o *Orphans) adopt(listed cluster.ListedMachine, recorded *state.RecordedMachines) {
	delete(o.registering, listed.ID)
	shard := o.ShardFor(listed.ID)
	kind := grouprecord.Kind{Type: listed.Type, Zone: listed.Zone, Spot: listed.Spot}
	if recorded == nil || recorded.Listed[listed.ID] || recorded.RequestedKinds[kind] ||
		o.state.Machines[listed.ID] != nil || !shard.Owned || !shard.Ready {
		delete(o.unrecordedSince, listed.ID)
		return
	}
	if _, ok := o.unrecordedSince[listed.ID]; !ok {
		o.unrecordedSince[listed.ID] = o.loop.Now()
		return
	}
	if o.isTooNew(listed.ID) {
		return
	}
	o.loop.Log(messages.LogInfo, "orphaned machine adopted", "machine", string(listed.ID))
	o.queueRegistration(shard, grouprecord.Machine{ID: listed.ID, Kind: kind, Address: listed.Addr})
}

// queueRegistration gathers what is to be registered within a moment. Until that is
// stored or has failed, the machine is not registered a second time.
func (o *Orphans) queueRegistration(shard *state.Shard, machine grouprecord.Machine) {
	o.registering[machine.ID] = true
	shard.ToRegister = append(shard.ToRegister, machine)
	if len(shard.ToRegister) > 1 {
		return
	}
	claim := shard.ClaimRevision
	o.loop.After(registrationBatchDelay, func() { o.registerQueued(shard, claim) })
}

// registerQueued writes the gathered machines into records, a group of the
// target size in each.
func (o *Orphans) registerQueued(shard *state.Shard, claim cluster.Revision) {
	waiting := shard.ToRegister
	shard.ToRegister = nil
	for limit := o.deps.Registrar.TargetGroupSize(); len(waiting) > 0; {
		machines := waiting[:min(limit, len(waiting))]
		waiting = waiting[len(machines):]
		done := func() {
			for _, machine := range machines {
				delete(o.registering, machine.ID)
			}
			o.reconciler.Maintenance.Run()
		}
		if !shard.IsOwnedUnder(claim) {
			done()
			continue
		}
		o.deps.Registrar.RegisterMachines(shard, slices.Clone(machines), done)
	}
}

// ShardFor spreads unknown machines over the shards by the number in their name.
func (o *Orphans) ShardFor(id cluster.MachineID) *state.Shard {
	const maxDigits = 10
	number := 0
	for i := len(id) - 1; i >= 0 && id[i] >= '0' && id[i] <= '9'; i-- {
		number, _ = strconv.Atoi(string(id[i:]))
		if len(id)-i >= maxDigits {
			break
		}
	}
	return o.state.Shards[number%len(o.state.Shards)]
}
