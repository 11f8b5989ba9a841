package provisioning

import (
	"maps"
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
	"stairrelay/internal/scheduling"
	"stairrelay/internal/state"
)

// newScaleOutHarness returns a harness with an owned shard whose pending tasks request one
// CPU each. Large machines cost twice as much per task as small ones, and spot machines
// half as much as on-demand ones.
func newScaleOutHarness(t *testing.T, tasks int, spot bool) (*harness, *state.Shard) {
	t.Helper()
	h := newHarness(t)
	small := cluster.Resources{CPU: 4_000_000, Memory: 16_000_000}
	h.state.MachineTypes["small"] = cluster.MachineType{Name: "small", Capacity: small, Zones: []string{"a", "b"}, OnDemandPrice: 4, SpotPrice: 2, BootSeconds: 30}
	h.state.MachineTypes["large"] = cluster.MachineType{Name: "large", Capacity: small.Times(4), Zones: []string{"a"}, OnDemandPrice: 32, SpotPrice: 16, BootSeconds: 30}
	shard := h.state.Shards[0]
	shard.Owned, shard.Ready = true, true
	shard.ProvisioningRequests = map[string]*state.ProvisioningRequest{}
	shard.OptionBackoffUntil = map[state.ProvisioningOption]cluster.Time{}
	spec := cluster.JobSpec{ID: "j-1", Tasks: tasks, ResourceRequest: cluster.Resources{CPU: 1_000_000}, Spot: spot, RuntimeSeconds: 60}
	h.fakes.work = scheduling.PendingWork{{Job: state.NewJob(spec, shard.ID, 1, h.loop.Now()), Count: tasks}}
	h.RateLimiter.bucket.SetRate(100, 100)
	h.RateLimiter.bucket.Fill()
	return h, shard
}

// requested returns the number of requested machines of a shard by option.
func requested(shard *state.Shard) map[state.ProvisioningOption]int {
	counts := map[state.ProvisioningOption]int{}
	for _, request := range shard.ProvisioningRequests {
		counts[request.Option] += request.Count
	}
	return counts
}

// TestRequestedOptions checks that the cheapest available machines are requested, and only
// for the pending tasks that don't fit on machines that are free or expected.
func TestRequestedOptions(t *testing.T) {
	small := state.ProvisioningOption{Type: "small", Zone: "a"}
	smallOtherZone := state.ProvisioningOption{Type: "small", Zone: "b"}
	large := state.ProvisioningOption{Type: "large", Zone: "a"}
	smallSpot := state.ProvisioningOption{Type: "small", Zone: "a", Spot: true}
	backOff := func(options ...state.ProvisioningOption) func(*harness, *state.Shard) {
		return func(h *harness, shard *state.Shard) {
			for _, option := range options {
				shard.OptionBackoffUntil[option] = h.loop.Now() + second
			}
		}
	}
	for _, test := range []struct {
		name    string
		tasks   int
		spot    bool
		prepare func(*harness, *state.Shard)
		want    map[state.ProvisioningOption]int
	}{
		{"cheapest per task", 9, false, nil, map[state.ProvisioningOption]int{small: 3}},
		{"spot machines where allowed", 9, true, nil, map[state.ProvisioningOption]int{smallSpot: 3}},
		{"another zone if one is out of capacity", 4, false, backOff(small), map[state.ProvisioningOption]int{smallOtherZone: 1}},
		{"another type if one is out of capacity", 4, false, backOff(small, smallOtherZone), map[state.ProvisioningOption]int{large: 1}},
		{"nothing if all options are out of capacity", 4, false, backOff(small, smallOtherZone, large), nil},
		{"at most four requests with one group each", 400, false, nil, map[state.ProvisioningOption]int{small: 40}},
		{"booting machines count", 9, false, func(h *harness, _ *state.Shard) {
			h.ownShardWithMachines(1)[0].Booting = true
		}, map[state.ProvisioningOption]int{small: 2}},
		{"recently acquired machines count", 9, false, func(h *harness, _ *state.Shard) {
			h.ownShardWithMachines(1)
		}, map[state.ProvisioningOption]int{small: 2}},
		{"machines that do not acknowledge their tokens do not count", 9, false, func(h *harness, _ *state.Shard) {
			h.ownShardWithMachines(1)[0].OwnedSince -= acknowledgementTimeout
		}, map[state.ProvisioningOption]int{small: 3}},
		{"machines that are being released do not count", 4, false, func(h *harness, _ *state.Shard) {
			machine := h.ownShardWithMachines(1)[0]
			machine.Booting = true
			machine.BeginRelease()
		}, map[state.ProvisioningOption]int{small: 1}},
		{"requested machines count", 9, false, func(h *harness, shard *state.Shard) {
			h.Requests.Create(shard, smallOtherZone, 2)
		}, map[state.ProvisioningOption]int{smallOtherZone: 2, small: 1}},
		{"nothing while other shards go first", 9, false, func(h *harness, _ *state.Shard) {
			h.fakes.canScaleOut = false
		}, nil},
		{"nothing while the rate limiter denies requests", 9, false, func(h *harness, _ *state.Shard) {
			h.RateLimiter.HandleThrottled()
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, shard := newScaleOutHarness(t, test.tasks, test.spot)
			if test.prepare != nil {
				test.prepare(h, shard)
			}
			h.ScaleOut.RunShard(shard)
			if got := requested(shard); !maps.Equal(got, test.want) {
				t.Errorf("requested %v, want %v", got, test.want)
			}
		})
	}
}

// TestMachinesForSmallTasks checks that as many machines are requested as the heartbeats need
// to list all tasks, and that booting and requested machines count with what theirs can list.
func TestMachinesForSmallTasks(t *testing.T) {
	perMachine := cluster.MaxTasksPerHeartbeat(0)
	small := state.ProvisioningOption{Type: "small", Zone: "a"}
	for name, prepare := range map[string]func(*harness, *state.Shard){
		"no machines":   func(*harness, *state.Shard) {},
		"one booting":   func(h *harness, _ *state.Shard) { h.ownShardWithMachines(1)[0].Booting = true },
		"one acquired":  func(h *harness, _ *state.Shard) { h.ownShardWithMachines(1) },
		"one requested": func(h *harness, shard *state.Shard) { h.Requests.Create(shard, small, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			h, shard := newScaleOutHarness(t, 2*perMachine+1, false)
			h.fakes.work[0].Job.Spec.ResourceRequest = cluster.Resources{CPU: 1000}
			prepare(h, shard)
			h.ScaleOut.RunShard(shard)
			if total := requested(shard)[small] + len(shard.Machines); total != 3 {
				t.Errorf("%d machines requested or present, want 3", total)
			}
		})
	}
}

// TestOnDemandFallback checks that, without spot machines, on-demand ones are requested only
// if the existing capacity would need longer for the work than a machine takes to boot.
func TestOnDemandFallback(t *testing.T) {
	for _, test := range []struct {
		name      string
		available cluster.Amount
		want      int
	}{
		{"8 CPUs are busy for 60 s", 8_000_000, 2},
		{"32 CPUs are busy for 15 s", 32_000_000, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, shard := newScaleOutHarness(t, 8, true)
			for _, machineType := range []string{"small", "large"} {
				for _, zone := range []string{"a", "b"} {
					option := state.ProvisioningOption{Type: machineType, Zone: zone, Spot: true}
					shard.OptionBackoffUntil[option] = h.loop.Now() + second
				}
			}
			load := h.fakes.loads[shard.ID]
			load.Available = test.available
			h.fakes.loads = fairshare.Snapshot{shard.ID: load}
			h.ScaleOut.RunShard(shard)
			total := 0
			for count := range maps.Values(requested(shard)) {
				total += count
			}
			if total != test.want {
				t.Errorf("%d machines requested, want %d", total, test.want)
			}
		})
	}
}

// TestScheduledScaleOutRunsOnce checks that several calls of Schedule lead to one run.
func TestScheduledScaleOutRunsOnce(t *testing.T) {
	h, shard := newScaleOutHarness(t, 4, false)
	h.ScaleOut.Schedule()
	h.ScaleOut.Schedule()
	h.advance(scaleOutDelay)
	if names := slices.Collect(maps.Keys(shard.ProvisioningRequests)); len(names) != 1 {
		t.Errorf("requests %v, want one", names)
	}
	if h.ScaleOut.scheduled {
		t.Error("a run is still scheduled")
	}
}
