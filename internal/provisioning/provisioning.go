// Package provisioning gets machines from the cloud for the pending tasks of the owned
// shards, and gives them back.
//
// Invariants: a provisioning request is recorded before the cloud is called, and
// repeated under its name until it is answered; its machines are recorded in the
// transaction that deletes it, so no crash between two steps loses a machine. A machine
// is released in its record before the cloud is told, so that no other shard takes it
// meanwhile. All calls of the cloud are charged to this controller's share of the
// cloud's request rate.
package provisioning

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/inventory"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

const (
	second      = cluster.Second
	millisecond = cluster.Millisecond
)

// Config is what provisioning knows from the start.
type Config struct {
	// Self is this controller's node, and Nodes are those of all controllers.
	Self  cluster.NodeID
	Nodes []cluster.NodeID
	// HeartbeatInterval is how often workers report.
	HeartbeatInterval cluster.Time
	// CloudRPS is the limit on requests a second to the cloud of all controllers
	// together.
	CloudRPS float64
	// BudgetShare is how much of the limit is used.
	BudgetShare float64
	// CloudListLag is how old the cloud's machine list may be.
	CloudListLag cluster.Time
	// MaxValueBytes is how long a stored value may be.
	MaxValueBytes int
	// OutOfCapacityBackoff is how long an option is not requested after the cloud had
	// no machines of it for the first time.
	OutOfCapacityBackoff cluster.Time
	// ShareByDemand returns this controller's part of a limit on requests a second
	// that all live controllers share, given what it could use itself.
	ShareByDemand func(limit, demand float64) float64
}

// Members is what provisioning needs of the other controllers.
type Members interface {
	// IsFirstReachable tells whether this is the first of the controllers that are
	// reachable.
	IsFirstReachable() bool
}

// ShardOwnership is what provisioning needs of the ownership of shards.
type ShardOwnership interface {
	// CanAnswerWorkers tells whether this controller may answer the shard's workers.
	CanAnswerWorkers(*state.Shard) bool
	// HandleForeignWrite is called when a record of an owned shard was changed by
	// another writer than its owner.
	HandleForeignWrite(shard *state.Shard, key, reason string)
	// DropCorruptShard gives up a shard with a record that makes no sense.
	DropCorruptShard(shard *state.Shard, key, reason string)
}

// MachineRecords writes the records of machines.
type MachineRecords interface {
	// WriteMachine has the record that lists a machine written.
	WriteMachine(*state.Machine, writequeue.Priority)
	// TargetGroupSize is how many machines a new group should list at most.
	TargetGroupSize() int
	// AddNewGroup is called when the first record of a group was stored.
	AddNewGroup(*inventory.NewGroup, cluster.Revision)
}

// RecordNames gives names to new records, each of them once.
type RecordNames interface {
	NextProvisioningRequest(*state.Shard) string
	NextGroup(*state.Shard) string
}

// Dependencies are the other parts of the controller that provisioning uses.
type Dependencies struct {
	Members   Members
	Ownership ShardOwnership
	Records   MachineRecords
	Names     RecordNames
	Orphans   Orphans

	Work        WorkQueue
	Capacity    FreeCapacity
	Eligibility Eligibility
	RunTimes    RunTimes
	Sharing     MachineSharing

	// RequestScheduling has tasks assigned soon, as there may be more that can be.
	RequestScheduling func()
	// CountMachineScans counts a look at each of some machines, for the periodic log
	// line.
	CountMachineScans func([]*state.Machine)
	// StretchDelay lengthens a pause while the process is overloaded.
	StretchDelay func(cluster.Time) cluster.Time
}

// Provisioner requests machines and gives them back. It sets no timers before its
// periodic methods are first called by the owner of the loop.
type Provisioner struct {
	// Rate is this controller's share of the cloud's request rate.
	Rate *RequestRate
	// Types keeps the cloud's machine types.
	Types *TypeCache
	// Spot measures how often spot machines are lost.
	Spot *SpotInterruptions
	// List reads the cloud's list of machines.
	List *MachineList
	// ScaleIn gives machines back.
	ScaleIn *ScaleIn
	// Requests carries out provisioning requests.
	Requests *Requests
	// ScaleOut decides which machines are requested.
	ScaleOut *ScaleOut
}

// shared is what the parts of a Provisioner use.
type shared struct {
	loop   *eventloop.Loop
	state  *state.State
	queue  *writequeue.Queue
	config *Config
	deps   Dependencies
}

// New makes a provisioner that knows of no machine types.
func New(loop *eventloop.Loop, st *state.State, queue *writequeue.Queue, config Config, deps Dependencies) *Provisioner {
	base := &shared{loop: loop, state: st, queue: queue, config: &config, deps: deps}
	p := &Provisioner{Rate: newRequestRate(loop, &config), Spot: &SpotInterruptions{}}
	p.Types = &TypeCache{shared: base, rate: p.Rate}
	p.ScaleIn = &ScaleIn{shared: base, rate: p.Rate}
	p.List = newMachineList(base, p.Rate, p.ScaleIn)
	p.Requests = &Requests{shared: base, rate: p.Rate}
	p.ScaleOut = &ScaleOut{shared: base, rate: p.Rate, list: p.List, requests: p.Requests}
	p.Requests.handleAnswer = p.ScaleOut.Schedule
	return p
}
