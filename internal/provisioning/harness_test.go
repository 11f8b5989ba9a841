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

// testControllers is the number of controllers in the tests, none of which has
// reported its demand.
const testControllers = 3

// testHost implements what a provisioner needs of the other parts of a controller.
type testHost struct {
	schedulingRequests int
	written            []*state.Machine
	listedOrphans      []cluster.ListedMachine
	corruptKeys        []string
	work               scheduling.PendingWork
	canScaleOut        bool
	loads              fairshare.Snapshot
}

func (h *testHost) IsFirstReachable() bool             { return true }
func (h *testHost) CanAnswerWorkers(*state.Shard) bool { return true }
func (h *testHost) HandleListed(m cluster.ListedMachine) {
	h.listedOrphans = append(h.listedOrphans, m)
}
func (h *testHost) ForgetUnlisted(map[cluster.MachineID]bool)         {}
func (h *testHost) HandleForeignWrite(*state.Shard, string, string)   {}
func (h *testHost) TargetGroupSize() int                              { return 10 }
func (h *testHost) AddNewGroup(*inventory.NewGroup, cluster.Revision) {}

func (h *testHost) DropCorruptShard(_ *state.Shard, key, _ string) {
	h.corruptKeys = append(h.corruptKeys, key)
}

func (h *testHost) WriteMachine(machine *state.Machine, _ writequeue.Priority) {
	h.written = append(h.written, machine)
}

func (h *testHost) PendingWork(*state.Shard) scheduling.PendingWork       { return slices.Clone(h.work) }
func (h *testHost) PackFreeCapacity(*state.Shard, scheduling.PendingWork) {}
func (h *testHost) IsAllowedOn(*state.Job, *state.Machine) bool           { return true }
func (h *testHost) ExpectedSeconds(job *state.Job) float64                { return job.Spec.RuntimeSeconds }
func (h *testHost) CordonSurplus()                                        {}
func (h *testHost) AcceptOffers(*state.Shard, scheduling.PendingWork)     {}
func (h *testHost) CanScaleOut(*state.Shard) bool                         { return h.canScaleOut }
func (h *testHost) ShardLoads() fairshare.Snapshot                        { return h.loads }

func (h *testHost) IsOptionAllowed(job *state.Job, option state.ProvisioningOption) bool {
	return job.Spec.Spot || !option.Spot
}

// ClaimOf, HandleDeposed and HandleStored implement writequeue.ShardOwnership.
func (h *testHost) ClaimOf(cluster.ShardID) writequeue.Claim  { return writequeue.Claim{Owned: true} }
func (h *testHost) HandleDeposed(cluster.ShardID)             {}
func (h *testHost) HandleStored(writequeue.StoredTransaction) {}

// harness is a provisioner of the first of three controllers at 100 s.
type harness struct {
	*Provisioner

	loop  *eventloop.Loop
	state *state.State
	host  *testHost
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	nodes := []cluster.NodeID{"n0", "n1", "n2"}
	h := &harness{loop: eventloop.New(), state: state.New(nodes, nil), host: &testHost{canScaleOut: true}}
	h.setTime(100 * second)
	queue := writequeue.New(h.loop, writequeue.Config{
		RequestRPS:    1000,
		WriteRPS:      1000,
		BudgetShare:   0.9,
		MaxTxnOps:     12,
		Controllers:   testControllers,
		ShareByDemand: shareAmongUnknown,
	}, h.host)
	config := Config{
		Self:                 "n0",
		Nodes:                nodes,
		HeartbeatInterval:    5 * second,
		CloudRPS:             5,
		BudgetShare:          0.9,
		MaxValueBytes:        4096,
		OutOfCapacityBackoff: 15 * second,
		ShareByDemand: func(limit, demand float64) float64 {
			return shareAmongUnknown(limit, demand, testControllers)
		},
	}
	h.Provisioner = New(h.loop, h.state, queue, config, Dependencies{
		Members:           h.host,
		Ownership:         h.host,
		Records:           h.host,
		Names:             inventory.NewRecordNames("b0"),
		Orphans:           h.host,
		Work:              h.host,
		Capacity:          h.host,
		Eligibility:       h.host,
		RunTimes:          h.host,
		Sharing:           h.host,
		CountMachineScans: func([]*state.Machine) {},
		RequestScheduling: func() { h.host.schedulingRequests++ },
		StretchDelay:      func(delay cluster.Time) cluster.Time { return delay },
	})
	return h
}

// shareAmongUnknown shares a limit with controllers whose demand is not known.
func shareAmongUnknown(limit, demand float64, live int) float64 {
	return ratelimit.Divide(limit, demand, live, make([]ratelimit.Demand, live-1))
}

// setTime moves the time on within a step.
func (h *harness) setTime(now cluster.Time) {
	effects := h.loop.Effects()
	h.loop.Begin(now, 0)
	for _, effect := range effects {
		h.loop.Emit(effect)
	}
}

// takeEffects returns what was asked for since it was last called.
func (h *harness) takeEffects() []messages.Effect {
	effects := h.loop.Effects()
	h.loop.Begin(h.loop.Now(), 0)
	return effects
}

// addMachines adds idle machines to an owned shard.
func (h *harness) addMachines(count int) []*state.Machine {
	shard := h.state.Shards[0]
	shard.Owned, shard.Ready = true, true
	group := h.state.AddGroup(shard, "g", 1)
	var machines []*state.Machine
	for i := range count {
		line := grouprecord.Machine{ID: cluster.MachineID(fmt.Sprintf("m-%06d", i)), Kind: grouprecord.Kind{Type: "small", Zone: "a"}}
		machines = append(machines, h.state.AddMachine(group, line, 5, h.loop.Now()))
	}
	return machines
}

// pass lets a time pass and runs the timers that are due then.
func (h *harness) pass(duration cluster.Time) {
	h.setTime(h.loop.Now() + duration)
	h.loop.RunTimers()
}

// takeEffect returns the one effect of a type since effects were last taken; false:
// there was none.
func takeEffect[E messages.Effect](t *testing.T, h *harness) (E, bool) {
	t.Helper()
	var found []E
	for _, effect := range h.takeEffects() {
		if wanted, ok := effect.(E); ok {
			found = append(found, wanted)
		}
	}
	if len(found) > 1 {
		t.Fatalf("%d effects of the type %T, want one at most", len(found), found[0])
	}
	if len(found) == 0 {
		var none E
		return none, false
	}
	return found[0], true
}
