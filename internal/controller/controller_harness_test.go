package controller

import (
	"maps"
	"slices"
	"strings"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"

	"stairrelay/internal/grouprecord"
)

// testStore is a store that a test plays by hand; what it carries out is real.
type testStore struct {
	keys     map[string]messages.KV
	revision cluster.Revision
}

func (s *testStore) commit(f messages.StoreTxn) messages.TxnReply {
	for _, w := range f.If {
		if s.keys[w.Key].ModRevision != w.ModRevision {
			return messages.TxnReply{Outcome: messages.Conflict, FailedKeys: []string{w.Key}}
		}
	}
	s.revision++
	for _, o := range f.Then {
		if s.keys[o.Key] = (messages.KV{Key: o.Key, Value: o.Value, ModRevision: cluster.ModRevision(s.revision)}); o.Value == nil {
			delete(s.keys, o.Key)
		}
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
	var l []messages.KV
	for _, k := range slices.Sorted(maps.Keys(s.keys)) {
		if kv := s.keys[k]; strings.HasPrefix(k, prefix) && kv.ModRevision > cluster.ModRevision(since) {
			l = append(l, kv)
		}
	}
	return l
}

// controllerHarness is one controller among three, which holds part 0, with its store.
type controllerHarness struct {
	*Controller
	store            *testStore
	sentResponses    []messages.Respond
	sentTransactions []messages.StoreTxn
	// losesReply tells whether a transaction's answer is lost.
	losesReply         func(messages.StoreTxn) bool
	rejectsAsMalformed func(messages.StoreTxn) bool // as malformed; nil: none
	throttles          func(messages.StoreTxn) bool // as beyond the rate; nil: none
	failsReads         bool
}

func newControllerHarness() *controllerHarness {
	return newPreparedHarness(func(*Controller) {})
}

// newHarnessWithKnownPeers is a harness whose peers' present processes were first
// heard of at 50 s, before its shards were last confirmed. They have answered no
// ping yet.
func newHarnessWithKnownPeers() *controllerHarness {
	return newPreparedHarness(func(c *Controller) {
		setTime(c, 50*second)
		for _, peer := range c.members.Peers() {
			if err := c.members.HandlePing(peer, &messages.Ping{InstanceID: knownInstance(peer.ID())}); err != nil {
				panic(err)
			}
		}
	})
}

// knownInstance is the present process of a peer of newHarnessWithKnownPeers.
func knownInstance(id cluster.NodeID) string { return "boot-" + string(id) }

// newPreparedHarness is a harness at 100 s, prepared before that.
func newPreparedHarness(prepare func(*Controller)) *controllerHarness {
	c := New(Config{Self: "n0", Nodes: []cluster.NodeID{"n0", "n1", "n2"}, InstanceID: "b0", HeartbeatInterval: 5 * second, WorkerLease: 26 * second, CancelDeadline: 60 * second,
		StoreRPS: 1000, WriteRPS: 1000, MaxValueBytes: 4096, MaxTxnOps: 12, CloudRPS: 5, Teams: []cluster.Team{{Name: "red", QuotaLimit: cluster.Resources{CPU: 100_000_000}}}, Tuning: DefaultTuning()})
	c.state.MachineTypes["small"] = cluster.MachineType{Name: "small", Capacity: cluster.Resources{CPU: 4_000_000, Memory: 16_000_000}, Zones: []string{"a"}}
	prepare(c)
	setTime(c, 100*second)
	c.jobs.AdmissionRecords.ApplyAll(nil, 0)
	b := &controllerHarness{Controller: c, store: &testStore{keys: map[string]messages.KV{}, revision: 30}, losesReply: func(messages.StoreTxn) bool { return false }}
	for _, p := range c.state.Shards {
		p.Owned, p.Ready, p.Owner, p.ClaimRevision, p.ModRevision, p.Term, p.ConfirmedAt = true, true, "n0", 30, 30, 1, c.loop.Now()
		p.ProvisioningRequests, p.OutOfCapacityUntil = map[string]*state.ProvisioningRequest{}, map[state.ProvisioningOption]cluster.Time{}
		b.store.keys[p.Key()] = messages.KV{Key: p.Key(), Value: []byte(`{"holder":"n0","term":1,"w":"b0-1"}`), ModRevision: 30}
	}
	return b
}

// runFor lets time pass and the store answer; what it was asked for is kept.
func (b *controllerHarness) runFor(d cluster.Time) {
	for end := b.loop.Now() + d; b.loop.Now() <= end; setTime(b.Controller, b.loop.Now()+20*millisecond) {
		b.loop.RunTimers()
		b.writeQueue.Dispatch()
		out := takeEffects(b.Controller)
		for _, f := range out {
			switch f := f.(type) {
			case messages.StoreTxn:
				b.sentTransactions = append(b.sentTransactions, f)
				if b.rejectsAsMalformed != nil && b.rejectsAsMalformed(f) {
					b.loop.Deliver(messages.Reply{Call: f.Call, Body: messages.TxnReply{Outcome: messages.Invalid}})
				} else if b.throttles != nil && b.throttles(f) {
					b.loop.Deliver(messages.Reply{Call: f.Call, Body: messages.TxnReply{Outcome: messages.Throttled}})
				} else if r := b.store.commit(f); b.losesReply(f) {
					b.loop.Deliver(messages.Reply{Call: f.Call, Body: messages.TxnReply{Outcome: messages.UnknownOutcome}})
				} else {
					b.loop.Deliver(messages.Reply{Call: f.Call, Body: r})
				}
			case messages.StoreGet:
				b.loop.Deliver(messages.Reply{Call: f.Call, Body: b.store.get(f.Key)})
			case messages.StoreList:
				if b.failsReads {
					b.loop.Deliver(messages.Reply{Call: f.Call, Body: messages.ListReply{Outcome: messages.UnknownOutcome}})
					continue
				}
				b.loop.Deliver(messages.Reply{Call: f.Call, Body: messages.ListReply{Outcome: messages.OK, Items: b.store.list(f.Prefix, 0), Revision: b.store.revision}})
			case messages.StoreWatch:
				if f.Timeout == 0 && b.failsReads {
					b.loop.Deliver(messages.Reply{Call: f.Call, Body: messages.WatchReply{Outcome: messages.UnknownOutcome}})
				} else if f.Timeout == 0 {
					b.loop.Deliver(messages.Reply{Call: f.Call, Body: messages.WatchReply{Outcome: messages.OK, Items: b.store.list(f.Prefix, f.SinceRevision), Revision: b.store.revision}})
				}
			case messages.Respond:
				b.sentResponses = append(b.sentResponses, f)
			}
		}
	}
}

func (b *controllerHarness) addTestJob(id cluster.JobID, tasks int) *state.Job {
	spec := cluster.JobSpec{ID: id, Team: "red", Tasks: tasks, ResourceRequest: cluster.Resources{CPU: 1_000_000}}
	j := state.NewJob(spec, 0, 0, b.loop.Now())
	b.state.AddOwnedJob(j)
	b.state.Jobs.Known[id] = &state.KnownJob{ShardID: 0, Tasks: tasks, Team: "red"}
	return j
}

// addRunningMachine is a machine that runs the first task of a job.
func (b *controllerHarness) addRunningMachine(j *state.Job) (*state.Machine, *state.Assignment) {
	m := b.inventory.AddMachine(b.state.AddGroup(b.state.Shards[0], "g", 31), grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: "m-1"}, 31)
	m.TokenAcknowledged, m.Incarnation, m.SequenceNumber, m.LastHeartbeat = true, 1, 1, b.loop.Now()
	a := &state.Assignment{Task: cluster.TaskID{Job: j.Spec.ID, Index: 0}, Job: j, ResourceRequest: j.Spec.ResourceRequest, MachineID: m.ID, Attempt: 7, Phase: state.PhaseAcknowledged, State: cluster.Running}
	m.AddAssignment(a)
	j.SetAssigned(0, a)
	return m, a
}
