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
	// redirectHintMaxAge is the maximum age of an owner hint that is used to redirect a
	// worker without reading the records.
	redirectHintMaxAge = 15 * second
	// registrationHintMaxAge is the age up to which a machine's owner hint prevents its
	// registration after it was found in the cloud's list.
	registrationHintMaxAge = 60 * second
	// ownerSearchBatchDelay is how long heartbeats are collected for one search, which
	// reads the records of all shards.
	ownerSearchBatchDelay = 50 * millisecond
	// ownerSearchInterval is the minimum time between the end of a search and the start
	// of the next one.
	ownerSearchInterval = 500 * millisecond
	// registrationBatchDelay is how long orphans are collected for one registration.
	registrationBatchDelay = 100 * millisecond
	// maxStoreOutageForSearch is how long the store may be unavailable before a heartbeat
	// that requires a search is rejected with StatusUnavailable.
	maxStoreOutageForSearch = 500 * millisecond
	// maxStoreOutageForRegistration is how long the store may be unavailable before
	// machines from the cloud's list are no longer considered for registration.
	maxStoreOutageForRegistration = second
)

// MachineDirectory finds the shards of machines that this controller does not own.
type MachineDirectory interface {
	// RecentShardOf returns the shard whose record was last seen to list a machine. It
	// returns false if no record was seen to list the machine within the given time.
	RecentShardOf(id cluster.MachineID, within cluster.Time) (cluster.ShardID, bool)
	// LastShardOf returns the shard whose record was last seen to list a machine. It
	// returns false if no record was seen to list the machine.
	LastShardOf(id cluster.MachineID) (cluster.ShardID, bool)
	// ReadRecordedMachines reads the records of all shards and calls handle with the
	// machines that they list and the kinds of machines for which provisioning requests
	// are open. It calls handle with nil if a read fails or a record is invalid.
	ReadRecordedMachines(handle func(*state.RecordedMachines))
}

// MachineRegistrar adds machines to the records.
type MachineRegistrar interface {
	// TargetGroupSize returns the maximum number of machines that should be put into a new
	// group.
	TargetGroupSize() int
	// RegisterMachines adds machines that no record lists to a new group of a shard. It
	// calls done when the write has succeeded or failed.
	RegisterMachines(shard *state.Shard, machines []grouprecord.Machine, done func())
}

// Orphans handles machines that this controller does not know. It redirects the workers of
// machines that belong to another owner, and registers orphans. An orphan is a machine that
// no record lists, because the reply to a provisioning request came late or a controller
// crashed before it wrote the record.
//
// At most one search for owners runs at a time. It covers all heartbeats that arrived
// before it began. The map registering contains the machines that are being checked,
// queried or registered, so that no machine is registered twice.
type Orphans struct {
	*shared
	reconciler *Reconciler

	unrecordedSince   map[cluster.MachineID]cluster.Time // when first seen in the cloud's list but in no record
	candidates        []cluster.ListedMachine            // in the cloud's list, to be checked against the records
	pendingHeartbeats []messages.Heartbeat               // whose machines the next search looks up
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

// HandleHeartbeat handles the heartbeat of a machine that this controller does not know. If
// a recent owner hint exists, it redirects the worker to the owner. Otherwise it keeps the
// heartbeat for the next search, or rejects it if the store is unavailable.
func (o *Orphans) HandleHeartbeat(heartbeat messages.Heartbeat) {
	if shard, ok := o.deps.Directory.RecentShardOf(heartbeat.Status.Machine, redirectHintMaxAge); ok {
		o.redirectToOwner(heartbeat.Request, shard)
		return
	}
	if o.queue.IsUnavailableFor(maxStoreOutageForSearch) {
		o.respondUnavailable(heartbeat.Request)
		return
	}
	o.pendingHeartbeats = append(o.pendingHeartbeats, heartbeat)
	o.startSearch()
}

// redirectToOwner redirects a worker to the owner of a shard. If this controller owns the
// shard, it rejects the heartbeat so that the worker retries, because the machine may be
// about to be loaded or registered.
func (o *Orphans) redirectToOwner(request messages.RequestID, id cluster.ShardID) {
	if shard := o.state.Shards[id]; !shard.Owned {
		o.redirect(request, shard.Owner)
		return
	}
	o.respondUnavailable(request)
}

// startSearch schedules a search for the owners of the machines with pending heartbeats,
// unless there are none or a search is already running.
func (o *Orphans) startSearch() {
	if o.searching || len(o.pendingHeartbeats) == 0 {
		return
	}
	o.searching = true
	delay := max(ownerSearchBatchDelay, o.lastSearchAt+ownerSearchInterval-o.loop.Now())
	o.loop.After(delay, o.search)
}

// search reads the records of all shards and answers the pending heartbeats.
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

// answer answers a heartbeat after a search. The argument recorded is nil if the records
// could not be read. A machine that no record lists may be registered, but only by the owner
// of the shard that ShardFor returns, so that two controllers never register the machine.
func (o *Orphans) answer(heartbeat messages.Heartbeat, recorded *state.RecordedMachines) {
	id := heartbeat.Status.Machine
	switch {
	case o.state.Machines[id] != nil: // became known during the search
		o.reconciler.Heartbeats.Handle(heartbeat)
	case recorded == nil:
		o.respondUnavailable(heartbeat.Request)
	case recorded.Listed[id]:
		shard, _ := o.deps.Directory.LastShardOf(id) // always known, because the record was just read
		o.redirectToOwner(heartbeat.Request, shard)
	default:
		shard := o.ShardFor(id)
		o.redirectToOwner(heartbeat.Request, shard.ID)
		if shard.Owned {
			o.registerIfResponding(shard, &heartbeat.Status, recorded)
		}
	}
}

// registerIfResponding requests the status of an orphan from its worker and queues the
// machine's registration if the worker replies. The heartbeat alone is not sufficient,
// because it may be a delayed copy from a machine that no longer exists. Nothing is requested
// if an open provisioning request may be for the machine.
func (o *Orphans) registerIfResponding(shard *state.Shard, status *cluster.HeartbeatStatus, recorded *state.RecordedMachines) {
	id := status.Machine
	kind := grouprecord.Kind{Type: status.Type, Zone: status.Zone, Spot: status.Spot}
	if !shard.Ready || recorded.RequestedKinds[kind] || o.registering[id] || status.Addr == "" {
		return
	}
	o.registering[id] = true
	address := status.Addr
	call := eventloop.Call(o.loop, func(reply messages.WorkerReply) {
		if reply.Outcome != messages.OK || reply.Status.Machine != id || !shard.Owned || !shard.Ready {
			delete(o.registering, id)
			return
		}
		o.queueRegistration(shard, grouprecord.Machine{ID: id, Kind: kind, Address: address})
	})
	o.loop.Emit(messages.QueryWorkerStatus{Addr: address, Call: call})
}

// minAge returns how long a machine must have been in the cloud's list but in no record
// before it is registered. The list lags, so it may still contain machines that were
// released or have failed.
func (o *Orphans) minAge() cluster.Time { return 3*o.config.CloudListLag + 45*second }

// isTooNew reports whether less than minAge has passed since a machine was first found to be
// in no record.
func (o *Orphans) isTooNew(id cluster.MachineID) bool {
	first, ok := o.unrecordedSince[id]
	return ok && o.loop.Now()-first < o.minAge()
}

// HandleListed handles a machine that is in the cloud's list but not known to this
// controller. If an owned shard is responsible for the machine, it queues a check against
// the records, after which the machine may be registered. It ignores new machines, whose
// records may not be written yet.
func (o *Orphans) HandleListed(listed cluster.ListedMachine) {
	if listed.AgeSeconds < 3*float64(o.config.CloudListLag)/float64(second)+20 {
		return
	}
	if _, ok := o.deps.Directory.RecentShardOf(listed.ID, registrationHintMaxAge); ok {
		return
	}
	shard := o.ShardFor(listed.ID)
	if !shard.Owned || !shard.Ready || o.queue.IsUnavailableFor(maxStoreOutageForRegistration) {
		return
	}
	if o.isTooNew(listed.ID) || o.registering[listed.ID] {
		return
	}
	o.registering[listed.ID] = true
	o.candidates = append(o.candidates, listed)
	if len(o.candidates) == 1 {
		o.loop.After(0, o.registerCandidates)
	}
}

// ForgetUnlisted removes a machine from unrecordedSince if it is no longer in the cloud's
// list or has become known to this controller.
func (o *Orphans) ForgetUnlisted(listed map[cluster.MachineID]bool) {
	for id := range o.unrecordedSince {
		if !listed[id] || o.state.Machines[id] != nil {
			delete(o.unrecordedSince, id)
		}
	}
}

// registerCandidates reads the records and queues the registration of the candidates that
// have been in no record for at least minAge. The age of a machine in the cloud's list is not
// sufficient: a machine that another shard has just released may still be in the list.
func (o *Orphans) registerCandidates() {
	candidates := o.candidates
	o.candidates = nil
	o.deps.Directory.ReadRecordedMachines(func(recorded *state.RecordedMachines) {
		for _, candidate := range candidates {
			o.registerIfOrphaned(candidate, recorded)
		}
	})
}

// registerIfOrphaned queues the registration of a machine from the cloud's list if the
// machine has been in no record for at least minAge.
func (o *Orphans) registerIfOrphaned(listed cluster.ListedMachine, recorded *state.RecordedMachines) {
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
	o.loop.Log(messages.LogInfo, "machine in the cloud's list is in no record; registering it", "machine", string(listed.ID))
	o.queueRegistration(shard, grouprecord.Machine{ID: listed.ID, Kind: kind, Address: listed.Addr})
}

// queueRegistration adds a machine to the next registration of a shard. The machine stays
// in registering until the registration has succeeded or failed.
func (o *Orphans) queueRegistration(shard *state.Shard, machine grouprecord.Machine) {
	o.registering[machine.ID] = true
	shard.PendingRegistrations = append(shard.PendingRegistrations, machine)
	if len(shard.PendingRegistrations) > 1 {
		return
	}
	claim := shard.ClaimRevision
	o.loop.After(registrationBatchDelay, func() { o.registerQueued(shard, claim) })
}

// registerQueued registers the queued machines of a shard, in groups of at most the
// target size. If the shard is no longer owned under the given claim, it drops the machines
// instead. Each time the registration of a group has succeeded or failed or a group was
// dropped, it runs the maintenance of the owned machines.
func (o *Orphans) registerQueued(shard *state.Shard, claim cluster.Revision) {
	waiting := shard.PendingRegistrations
	shard.PendingRegistrations = nil
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

// ShardFor returns the shard that is responsible for an unknown machine. The shard is
// determined by the trailing digits of the machine's ID.
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
