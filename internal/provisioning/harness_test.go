package provisioning

import (
	"fmt"
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/fairshare"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/inventory"
	"stairrelay/internal/messages"
	"stairrelay/internal/ratelimit"
	"stairrelay/internal/scheduling"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// testControllers is the number of controllers in the tests. The other controllers have
// not reported their demands.
const testControllers = 3

// fakeDependencies implements the dependencies of a Provisioner and of its write queue.
type fakeDependencies struct {
	schedulingRequests int
	written            []*state.Machine
	listedOrphans      []cluster.ListedMachine
	corruptKeys        []string
	work               scheduling.PendingWork
	canScaleOut        bool
	loads              fairshare.Snapshot
}

func (h *fakeDependencies) IsFirstReachable() bool             { return true }
func (h *fakeDependencies) CanAnswerWorkers(*state.Shard) bool { return true }
func (h *fakeDependencies) HandleListed(m cluster.ListedMachine) {
	h.listedOrphans = append(h.listedOrphans, m)
}
func (h *fakeDependencies) ForgetUnlisted(map[cluster.MachineID]bool)         {}
func (h *fakeDependencies) HandleForeignWrite(*state.Shard, string, string)   {}
func (h *fakeDependencies) TargetGroupSize() int                              { return 10 }
func (h *fakeDependencies) AddNewGroup(*inventory.NewGroup, cluster.Revision) {}

func (h *fakeDependencies) DropCorruptShard(_ *state.Shard, key, _ string) {
	h.corruptKeys = append(h.corruptKeys, key)
}

func (h *fakeDependencies) WriteMachine(machine *state.Machine, _ writequeue.Priority) {
	h.written = append(h.written, machine)
}

func (h *fakeDependencies) PendingWork(*state.Shard) scheduling.PendingWork {
	return slices.Clone(h.work)
}
func (h *fakeDependencies) PackFreeCapacity(*state.Shard, scheduling.PendingWork) {}
func (h *fakeDependencies) IsAllowedOn(*state.Job, *state.Machine) bool           { return true }
func (h *fakeDependencies) ExpectedSeconds(job *state.Job) float64                { return job.Spec.RuntimeSeconds }
func (h *fakeDependencies) CordonSurplus()                                        {}
func (h *fakeDependencies) AcceptOffers(*state.Shard, scheduling.PendingWork)     {}
func (h *fakeDependencies) CanScaleOut(*state.Shard) bool                         { return h.canScaleOut }
func (h *fakeDependencies) ShardLoads() fairshare.Snapshot                        { return h.loads }

func (h *fakeDependencies) IsOptionAllowed(job *state.Job, option state.ProvisioningOption) bool {
	return job.Spec.Spot || !option.Spot
}

// ClaimOf, HandleDeposed and HandleStored implement writequeue.ShardOwnership.
func (h *fakeDependencies) ClaimOf(cluster.ShardID) writequeue.Claim {
	return writequeue.Claim{Owned: true}
}
func (h *fakeDependencies) HandleDeposed(cluster.ShardID)             {}
func (h *fakeDependencies) HandleStored(writequeue.StoredTransaction) {}

// harness is a Provisioner of the first of three controllers. Its clock starts at 100 s.
type harness struct {
	*Provisioner

	loop  *eventloop.Loop
	state *state.State
	fakes *fakeDependencies
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	nodes := []cluster.NodeID{"n0", "n1", "n2"}
	h := &harness{loop: eventloop.New(), state: state.New(nodes, nil), fakes: &fakeDependencies{canScaleOut: true}}
	h.setTime(100 * second)
	queue := writequeue.New(h.loop, writequeue.Config{
		RequestRPS:    1000,
		WriteRPS:      1000,
		BudgetShare:   0.9,
		MaxTxnOps:     12,
		Controllers:   testControllers,
		ShareByDemand: shareWithUnknownDemand,
	}, h.fakes)
	config := Config{
		Self:                 "n0",
		Nodes:                nodes,
		HeartbeatInterval:    5 * second,
		CloudRPS:             5,
		BudgetShare:          0.9,
		MaxValueBytes:        4096,
		OutOfCapacityBackoff: 15 * second,
		ShareByDemand: func(limit, demand float64) float64 {
			return shareWithUnknownDemand(limit, demand, testControllers)
		},
	}
	h.Provisioner = New(h.loop, h.state, queue, config, Dependencies{
		Members:           h.fakes,
		Ownership:         h.fakes,
		Records:           h.fakes,
		Names:             inventory.NewRecordNames("b0"),
		Orphans:           h.fakes,
		Work:              h.fakes,
		Capacity:          h.fakes,
		Eligibility:       h.fakes,
		Runtimes:          h.fakes,
		Sharing:           h.fakes,
		CountMachineScans: func([]*state.Machine) {},
		RequestScheduling: func() { h.fakes.schedulingRequests++ },
		StretchDelay:      func(delay cluster.Time) cluster.Time { return delay },
	})
	return h
}

// shareWithUnknownDemand returns this controller's share of a limit if the demands of all
// other live controllers are unknown.
func shareWithUnknownDemand(limit, demand float64, live int) float64 {
	return ratelimit.ShareByDemand(limit, demand, live, make([]ratelimit.Demand, live-1))
}

// setTime sets the time and keeps the pending effects.
func (h *harness) setTime(now cluster.Time) {
	effects := h.loop.Effects()
	h.loop.Begin(now, 0)
	for _, effect := range effects {
		h.loop.Emit(effect)
	}
}

// takeEffects removes and returns all pending effects.
func (h *harness) takeEffects() []messages.Effect {
	effects := h.loop.Effects()
	h.loop.Begin(h.loop.Now(), 0)
	return effects
}

// ownShardWithMachines makes the first shard owned and ready, and adds idle machines to it
// in a new group.
func (h *harness) ownShardWithMachines(count int) []*state.Machine {
	shard := h.state.Shards[0]
	shard.Owned, shard.Ready = true, true
	group := h.state.AddGroup(shard, "g", 1)
	var machines []*state.Machine
	for i := range count {
		entry := grouprecord.Machine{ID: cluster.MachineID(fmt.Sprintf("m-%06d", i)), Kind: grouprecord.Kind{Type: "small", Zone: "a"}}
		machines = append(machines, h.state.AddMachine(group, entry, 5, h.loop.Now()))
	}
	return machines
}

// advance advances the time and runs the timers that are due.
func (h *harness) advance(duration cluster.Time) {
	h.setTime(h.loop.Now() + duration)
	h.loop.RunTimers()
}

// takeEffect removes all pending effects and returns the only one of type E. It reports
// false if there is none, and fails the test if there are several.
func takeEffect[E messages.Effect](t *testing.T, h *harness) (E, bool) {
	t.Helper()
	var found []E
	for _, effect := range h.takeEffects() {
		if wanted, ok := effect.(E); ok {
			found = append(found, wanted)
		}
	}
	if len(found) > 1 {
		t.Fatalf("%d effects of type %T, want at most one", len(found), found[0])
	}
	if len(found) == 0 {
		var none E
		return none, false
	}
	return found[0], true
}
