package provisioning

import (
	"encoding/json"
	"maps"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/exactjson"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

const (
	// machineTypesKey is the key of the stored machine types.
	machineTypesKey = "types"
	// typesFetchInterval is the interval at which machine types are fetched from the
	// cloud, as prices change.
	typesFetchInterval = 60 * second
	// typesFetchRetryDelay is the delay before a failed fetch is retried.
	typesFetchRetryDelay = 2 * second
	// typesWriteDelay is the delay before fetched types are stored. More urgent writes
	// go first when a controller starts.
	typesWriteDelay = 3 * second
	// typesLoadRetryDelay is the delay before a failed read of the stored types is retried.
	typesLoadRetryDelay = second
)

// MachineTypesRecord is the stored form of the machine types.
type MachineTypesRecord struct {
	Types   []cluster.MachineType `json:"t"`
	WriteID string                `json:"w"`
}

// TypeCache keeps the machine types of the cloud in memory and in the store. Without
// machine types no submission can be validated and no task assigned, so a controller
// that starts during an outage of the cloud loads them from the store, where the first
// reachable controller puts them. The stored prices may be out of date until the cloud's
// next reply.
//
// The stored types are written only after they were read, and at most one write of them
// is in flight.
type TypeCache struct {
	*shared
	rateLimiter *CloudRateLimiter

	stored      []cluster.MachineType // sorted by name, as last read or written
	modRevision cluster.ModRevision   // of the stored types
	loaded      bool
	writing     bool
}

// Fetch fetches the machine types from the cloud. It then repeats the fetch at regular
// intervals, or sooner after a failure.
func (t *TypeCache) Fetch() {
	t.rateLimiter.ForceAcquire()
	call := eventloop.Call(t.loop, func(reply messages.ListMachineTypesReply) {
		if reply.Outcome != messages.OK || len(reply.Types) == 0 {
			t.loop.After(typesFetchRetryDelay, t.Fetch)
			return
		}
		t.apply(reply.Types)
		t.loop.After(typesWriteDelay, t.write)
		t.loop.After(typesFetchInterval, t.Fetch)
	})
	t.loop.Emit(messages.CloudListMachineTypes{Call: call})
}

// apply adds machine types from the cloud or the store to the state and requests a
// scheduling run.
func (t *TypeCache) apply(types []cluster.MachineType) {
	for _, machineType := range types {
		t.state.MachineTypes[machineType.Name] = machineType
	}
	t.deps.RequestScheduling()
}

// Load reads the stored machine types, and retries that until it succeeds. The stored types
// are used if the cloud has not returned any yet. Load then enqueues a write of the known
// types if one is needed.
func (t *TypeCache) Load() {
	t.queue.ReadKey(machineTypesKey, func(reply messages.GetReply) {
		switch reply.Outcome { //nolint:exhaustive // all other outcomes are failures
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

// applyStored applies the stored machine types if none are known yet. It ignores a record
// that can't be decoded.
func (t *TypeCache) applyStored(kv messages.KV) {
	t.loaded, t.modRevision = true, kv.ModRevision
	var record MachineTypesRecord
	if err := exactjson.Unmarshal(kv.Value, &record); err != nil {
		t.loop.Log(messages.LogError, "cannot decode stored machine types; ignoring them", "key", kv.Key, "error", err.Error())
		return
	}
	t.stored = record.Types
	if len(t.state.MachineTypes) == 0 && len(record.Types) > 0 {
		t.loop.Log(messages.LogInfo, "machine types loaded from the store", "types", len(record.Types))
		t.apply(record.Types)
	}
}

// write enqueues a write of the machine types if they differ from the stored ones in more
// than prices. Only the first reachable controller does so, as one write is enough.
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
			if len(value) > t.config.MaxValueBytes { // too large to store
				return nil, nil
			}
			return []messages.TxnOp{{Key: machineTypesKey, Value: value}}, []cluster.ModRevision{t.modRevision}
		},
		OnApplied: func(revision cluster.Revision) {
			t.writing, t.stored, t.modRevision = false, types, cluster.ModRevision(revision)
		},
		OnConflict: func() { // another controller has stored machine types
			t.writing = false
			t.Load()
		},
	})
}

// equalExceptPrices reports whether two machine types are equal apart from their
// prices.
func equalExceptPrices(a, b cluster.MachineType) bool {
	return a.Name == b.Name &&
		a.Capacity == b.Capacity &&
		a.CacheGB == b.CacheGB &&
		a.FetchGBPerSecond == b.FetchGBPerSecond &&
		a.BootSeconds == b.BootSeconds &&
		slices.Equal(a.Zones, b.Zones)
}
