package provisioning

import (
	"encoding/json"
	"maps"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

const (
	// machineTypesKey is where the machine types are stored.
	machineTypesKey = "types"
	// typesFetchInterval is the time between two readings of the cloud's machine
	// types: prices move.
	typesFetchInterval = 60 * second
	// typesFetchRetryDelay is the wait after the cloud has not given them.
	typesFetchRetryDelay = 2 * second
	// typesWriteDelay is the wait before they are stored: the start has more urgent
	// writes.
	typesWriteDelay = 3 * second
	// typesLoadRetryDelay is the wait after the state service has not given them.
	typesLoadRetryDelay = second
)

// MachineTypesRecord is the stored form of the machine types.
type MachineTypesRecord struct {
	Types   []cluster.MachineType `json:"t"`
	WriteID string                `json:"w"`
}

// TypeCache keeps the machine types of the cloud in memory and in the state service.
// Without them no submission can be checked and no task assigned, so a controller that
// starts while the cloud has an outage takes them from the state service, where the
// first reachable controller keeps them. The stored prices may be old; the cloud's next
// answer corrects them.
//
// The stored types are written only after they were read, and at most one write of
// them is in progress.
type TypeCache struct {
	*shared
	rate *RequestRate

	stored      []cluster.MachineType // by name, as last read or written
	modRevision cluster.ModRevision   // of the stored types
	loaded      bool
	writing     bool
}

// Fetch asks the cloud for its machine types, and goes on to do so regularly.
func (t *TypeCache) Fetch() {
	t.rate.ForceCall()
	call := eventloop.Call(t.loop, func(reply messages.MachineTypesReply) {
		if reply.Outcome != messages.OK || len(reply.Types) == 0 {
			t.loop.After(typesFetchRetryDelay, t.Fetch)
			return
		}
		t.apply(reply.Types)
		t.loop.After(typesWriteDelay, t.write)
		t.loop.After(typesFetchInterval, t.Fetch)
	})
	t.loop.Emit(messages.CloudMachineTypes{Call: call})
}

// apply takes in machine types as the cloud or the state service gives them.
func (t *TypeCache) apply(types []cluster.MachineType) {
	for _, machineType := range types {
		t.state.MachineTypes[machineType.Name] = machineType
	}
	t.deps.RequestScheduling()
}

// Load reads the stored machine types, and uses them if the cloud has not given any.
func (t *TypeCache) Load() {
	t.queue.ReadKey(machineTypesKey, func(reply messages.GetReply) {
		switch reply.Outcome { //nolint:exhaustive // all others are failures
		case messages.OK:
			t.applyStored(reply.KV)
		case messages.NotFound:
			t.loaded = true
		default:
			t.loop.After(typesLoadRetryDelay, t.Load)
			return
		}
		t.write()
	})
}

// applyStored takes in the stored record.
func (t *TypeCache) applyStored(kv messages.KV) {
	t.loaded, t.modRevision = true, kv.ModRevision
	var record MachineTypesRecord
	if err := json.Unmarshal(kv.Value, &record); err != nil {
		t.loop.Log(messages.LogError, "unreadable record", "key", kv.Key, "error", err.Error())
		return
	}
	t.stored = record.Types
	if len(t.state.MachineTypes) == 0 && len(record.Types) > 0 {
		t.loop.Log(messages.LogInfo, "machine types loaded from the state service", "types", len(record.Types))
		t.apply(record.Types)
	}
}

// write stores the machine types where they differ from the stored ones in more than
// prices. Only the first reachable controller does, so that one put is spent.
func (t *TypeCache) write() {
	if !t.deps.Members.IsFirstReachable() || !t.loaded || t.writing || len(t.state.MachineTypes) == 0 {
		return
	}
	var types []cluster.MachineType
	for _, name := range slices.Sorted(maps.Keys(t.state.MachineTypes)) {
		types = append(types, t.state.MachineTypes[name])
	}
	if slices.EqualFunc(types, t.stored, equalExceptPrices) {
		return
	}
	t.writing = true
	t.queue.Enqueue(writequeue.PriorityBackground, &writequeue.Write{
		ShardID: cluster.NoShard,
		Keys:    []string{machineTypesKey},
		Build: func(writeID string) ([]messages.TxnOp, []cluster.ModRevision) {
			value, _ := json.Marshal(MachineTypesRecord{Types: types, WriteID: writeID})
			if len(value) > t.config.MaxValueBytes { // the controllers do without
				return nil, nil
			}
			return []messages.TxnOp{{Key: machineTypesKey, Value: value}}, []cluster.ModRevision{t.modRevision}
		},
		OnApplied: func(revision cluster.Revision) {
			t.writing, t.stored, t.modRevision = false, types, cluster.ModRevision(revision)
		},
		OnConflict: func() { // another controller has stored them
			t.writing = false
			t.Load()
		},
	})
}

// equalExceptPrices tells whether two machine types differ in prices alone.
func equalExceptPrices(a, b cluster.MachineType) bool {
	return a.Name == b.Name &&
		a.Capacity == b.Capacity &&
		a.CacheGB == b.CacheGB &&
		a.FetchGBPerSecond == b.FetchGBPerSecond &&
		a.BootSeconds == b.BootSeconds &&
		slices.Equal(a.Zones, b.Zones)
}
