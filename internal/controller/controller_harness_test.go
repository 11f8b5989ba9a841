package controller

import (
	"maps"
	"slices"
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// testStore is an in-memory store.
type testStore struct {
	keys     map[string]messages.KV
	revision cluster.Revision
}

func (s *testStore) commit(transaction messages.StoreTxn) messages.TxnReply {
	for _, condition := range transaction.If {
		if s.keys[condition.Key].ModRevision != condition.ModRevision {
			return messages.TxnReply{Outcome: messages.Conflict, FailedKeys: []string{condition.Key}}
		}
	}
	s.revision++
	for _, operation := range transaction.Then {
		if operation.Value == nil {
			delete(s.keys, operation.Key)
			continue
		}
		s.keys[operation.Key] = messages.KV{Key: operation.Key, Value: operation.Value, ModRevision: cluster.ModRevision(s.revision)}
	}
	return messages.TxnReply{Outcome: messages.OK, Revision: s.revision}
}

func (s *testStore) get(key string) messages.GetReply {
	if kv, ok := s.keys[key]; ok {
		return messages.GetReply{Outcome: messages.OK, KV: kv}
	}
	return messages.GetReply{Outcome: messages.NotFound}
}

func (s *testStore) list(prefix string, since cluster.Revision) []messages.KV {
	var items []messages.KV
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		if kv := s.keys[key]; strings.HasPrefix(key, prefix) && kv.ModRevision > cluster.ModRevision(since) {
			items = append(items, kv)
		}
	}
	return items
}

// controllerHarness runs one of three controllers with an in-memory store. At the start,
// the controller owns all shards.
type controllerHarness struct {
	*Controller
	store            *testStore
	sentResponses    []messages.Respond
	sentTransactions []messages.StoreTxn
	// losesReply reports whether the store's reply to a transaction that it has processed is
	// lost.
	losesReply func(messages.StoreTxn) bool
	// rejectsAsMalformed reports whether the store rejects a transaction as malformed. It
	// may be nil.
	rejectsAsMalformed func(messages.StoreTxn) bool
	// throttles reports whether the store throttles a transaction. It may be nil.
	throttles func(messages.StoreTxn) bool
	// failsListsAndWatches makes lists and watches fail. Reads of single keys succeed.
	failsListsAndWatches bool
}

func newControllerHarness() *controllerHarness {
	return newHarnessWithSetup(func(*Controller) {})
}

// newHarnessWithKnownPeers returns a harness that has received a ping from each peer at
// 50 s, before its shards were last confirmed. The peers have not replied to a ping yet.
func newHarnessWithKnownPeers() *controllerHarness {
	return newHarnessWithSetup(func(c *Controller) {
		setTime(c, 50*second)
		for _, peer := range c.members.Peers() {
			if err := c.members.HandlePing(peer, &messages.Ping{InstanceID: peerInstanceID(peer.ID())}); err != nil {
				panic(err)
			}
		}
	})
}

// peerInstanceID returns the instance ID of a peer of newHarnessWithKnownPeers.
func peerInstanceID(id cluster.NodeID) string { return "boot-" + string(id) }

// newHarnessWithSetup returns a harness whose time is 100 s. It calls setup with the new
// controller before it sets that time.
func newHarnessWithSetup(setup func(*Controller)) *controllerHarness {
	c := New(Config{Self: "n0", Nodes: []cluster.NodeID{"n0", "n1", "n2"}, InstanceID: "b0", HeartbeatInterval: 5 * second, WorkerLease: 26 * second, CancelDeadline: 60 * second,
		StoreRPS: 1000, WriteRPS: 1000, MaxValueBytes: 4096, MaxTxnOps: 12, CloudRPS: 5, Teams: []cluster.Team{{Name: "red", QuotaLimit: cluster.Resources{CPU: 100_000_000}}}, Tuning: DefaultTuning()})
	c.state.MachineTypes["small"] = cluster.MachineType{Name: "small", Capacity: cluster.Resources{CPU: 4_000_000, Memory: 16_000_000}, Zones: []string{"a"}}
	setup(c)
	setTime(c, 100*second)
	c.jobs.AdmissionRecords.ApplyAll(nil, 0)
	h := &controllerHarness{Controller: c, store: &testStore{keys: map[string]messages.KV{}, revision: 30}, losesReply: func(messages.StoreTxn) bool { return false }}
	for _, shard := range c.state.Shards {
		h.ownShard(shard)
	}
	return h
}

// ownShard makes the controller the owner of a shard without machines.
func (h *controllerHarness) ownShard(shard *state.Shard) {
	shard.Owned, shard.Ready, shard.Owner, shard.Term = true, true, "n0", 1
	shard.ClaimRevision, shard.ModRevision, shard.ConfirmedAt = 30, 30, h.loop.Now()
	shard.ProvisioningRequests = map[string]*state.ProvisioningRequest{}
	shard.OptionBackoffUntil = map[state.ProvisioningOption]cluster.Time{}
	h.store.keys[shard.Key()] = messages.KV{Key: shard.Key(), Value: []byte(`{"holder":"n0","term":1,"w":"b0-1"}`), ModRevision: 30}
}

// runFor advances the time by a duration, runs the timers that are due and handles the
// effects.
func (h *controllerHarness) runFor(duration cluster.Time) {
	for end := h.loop.Now() + duration; h.loop.Now() <= end; setTime(h.Controller, h.loop.Now()+20*millisecond) {
		h.loop.RunTimers()
		h.writeQueue.Dispatch()
		for _, effect := range takeEffects(h.Controller) {
			h.handleEffect(effect)
		}
	}
}

// handleEffect records responses and transactions, and replies to requests to the store.
func (h *controllerHarness) handleEffect(effect messages.Effect) {
	switch effect := effect.(type) {
	case messages.StoreTxn:
		h.sentTransactions = append(h.sentTransactions, effect)
		h.loop.Deliver(messages.Reply{Call: effect.Call, Body: h.commit(effect)})
	case messages.StoreGet:
		h.loop.Deliver(messages.Reply{Call: effect.Call, Body: h.store.get(effect.Key)})
	case messages.StoreList:
		h.loop.Deliver(messages.Reply{Call: effect.Call, Body: h.list(effect)})
	case messages.StoreWatch:
		if effect.Timeout == 0 { // a long poll gets no reply
			h.loop.Deliver(messages.Reply{Call: effect.Call, Body: h.readChanges(effect)})
		}
	case messages.Respond:
		h.sentResponses = append(h.sentResponses, effect)
	}
}

// commit applies a transaction unless the harness is set to reject or throttle it. The
// outcome in the reply is unknown if the harness is set to lose the reply.
func (h *controllerHarness) commit(transaction messages.StoreTxn) messages.TxnReply {
	if h.rejectsAsMalformed != nil && h.rejectsAsMalformed(transaction) {
		return messages.TxnReply{Outcome: messages.Invalid}
	}
	if h.throttles != nil && h.throttles(transaction) {
		return messages.TxnReply{Outcome: messages.Throttled}
	}
	reply := h.store.commit(transaction)
	if h.losesReply(transaction) {
		return messages.TxnReply{Outcome: messages.UnknownOutcome}
	}
	return reply
}

func (h *controllerHarness) list(request messages.StoreList) messages.ListReply {
	if h.failsListsAndWatches {
		return messages.ListReply{Outcome: messages.UnknownOutcome}
	}
	return messages.ListReply{Outcome: messages.OK, Items: h.store.list(request.Prefix, 0), Revision: h.store.revision}
}

func (h *controllerHarness) readChanges(request messages.StoreWatch) messages.WatchReply {
	if h.failsListsAndWatches {
		return messages.WatchReply{Outcome: messages.UnknownOutcome}
	}
	items := h.store.list(request.Prefix, request.SinceRevision)
	return messages.WatchReply{Outcome: messages.OK, Items: items, Revision: h.store.revision}
}

func (h *controllerHarness) addTestJob(id cluster.JobID, tasks int) *state.Job {
	spec := cluster.JobSpec{ID: id, Team: "red", Tasks: tasks, ResourceRequest: cluster.Resources{CPU: 1_000_000}}
	job := state.NewJob(spec, 0, 0, h.loop.Now())
	h.state.AddOwnedJob(job)
	h.state.Jobs.Known[id] = &state.KnownJob{ShardID: 0, Tasks: tasks, Team: "red"}
	return job
}

// addRunningMachine adds a machine that is running the first task of a job.
func (h *controllerHarness) addRunningMachine(job *state.Job) (*state.Machine, *state.Assignment) {
	group := h.state.AddGroup(h.state.Shards[0], "g", 31)
	machine := h.inventory.AddMachine(group, grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a"}, Address: "m-1"}, 31)
	machine.TokenAcknowledged, machine.Incarnation, machine.SequenceNumber, machine.LastHeartbeat = true, 1, 1, h.loop.Now()
	assignment := &state.Assignment{
		Task:            cluster.TaskID{Job: job.Spec.ID, Index: 0},
		Job:             job,
		ResourceRequest: job.Spec.ResourceRequest,
		MachineID:       machine.ID,
		Attempt:         7,
		Phase:           state.PhaseAcknowledged,
		State:           cluster.Running,
	}
	machine.AddAssignment(assignment)
	job.SetAssigned(0, assignment)
	return machine, assignment
}
