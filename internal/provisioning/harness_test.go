package provisioning

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/inventory"
	"stairrelay/internal/messages"
	"stairrelay/internal/ratelimit"
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
}

func (h *testHost) IsFirstReachable() bool             { return true }
func (h *testHost) RequestScheduling()                 { h.schedulingRequests++ }
func (h *testHost) CanAnswerWorkers(*state.Shard) bool { return true }
func (h *testHost) HandleListed(m cluster.ListedMachine) {
	h.listedOrphans = append(h.listedOrphans, m)
}
func (h *testHost) ForgetUnlisted(map[cluster.MachineID]bool)         {}
func (h *testHost) HandleForeignWrite(*state.Shard, string, string)   {}
func (h *testHost) GiveUpCorrupt(*state.Shard, string, string)        {}
func (h *testHost) AddNewGroup(*inventory.NewGroup, cluster.Revision) {}

func (h *testHost) WriteMachine(machine *state.Machine, _ writequeue.Priority) {
	h.written = append(h.written, machine)
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
	h := &harness{loop: eventloop.New(), state: state.New(nodes, nil), host: &testHost{}}
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
		Self:              "n0",
		Nodes:             nodes,
		HeartbeatInterval: 5 * second,
		CloudRPS:          5,
		BudgetShare:       0.9,
		MaxValueBytes:     4096,
		ShareByDemand: func(limit, demand float64) float64 {
			return shareAmongUnknown(limit, demand, testControllers)
		},
	}
	deps := Dependencies{Members: h.host, Scheduler: h.host, Ownership: h.host, Records: h.host, Names: inventory.NewRecordNames("b0"), Orphans: h.host, RequestScaleOut: func() {}}
	h.Provisioner = New(h.loop, h.state, queue, config, deps)
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
