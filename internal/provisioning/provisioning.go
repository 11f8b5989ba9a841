// Package provisioning requests machines from the cloud for the pending tasks of the
// owned shards, and releases machines that are no longer needed.
//
// A provisioning request is stored before the cloud is called, and retried under the
// same name until it is answered. The transaction that deletes the request also stores
// its machines, so that a crash between two steps loses no machine. A release is stored
// in the machine's record before the cloud is called, so that no other shard acquires
// the machine in the meantime; see ScaleIn.ReleaseBeforeRecorded for the exception. All
// calls to the cloud are charged to this controller's share of the cloud's rate limit.
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

// Config holds the settings of a Provisioner.
type Config struct {
	// Self is this controller's node. Nodes are the nodes of all controllers.
	Self  cluster.NodeID
	Nodes []cluster.NodeID
	// HeartbeatInterval is the interval at which workers send heartbeats.
	HeartbeatInterval cluster.Time
	// CloudRPS is the cloud's limit on requests per second, which all controllers
	// share.
	CloudRPS float64
	// BudgetShare is the fraction of CloudRPS that the controllers use.
	BudgetShare float64
	// CloudListLag is the maximum age of the cloud's machine list.
	CloudListLag cluster.Time
	// MaxValueBytes is the maximum size of a stored value.
	MaxValueBytes int
	// OutOfCapacityBackoff is the initial backoff of an option for which the cloud has
	// no capacity.
	OutOfCapacityBackoff cluster.Time
	// ShareByDemand returns this controller's share of a limit on requests per second
	// that all live controllers have in common, given the rate that this controller
	// could use.
	ShareByDemand func(limit, demand float64) float64
}

// Members shows this controller's place among the reachable controllers.
type Members interface {
	// IsFirstReachable reports whether this controller is the first of the reachable
	// controllers in the order of Config.Nodes.
	IsFirstReachable() bool
}

// ShardOwnership checks the ownership of shards and drops corrupt ones.
type ShardOwnership interface {
	// CanAnswerWorkers reports whether the ownership lease of a shard allows this
	// controller to answer the shard's workers.
	CanAnswerWorkers(*state.Shard) bool
	// HandleForeignWrite handles the finding that a writer other than this controller has
	// changed a record of an owned shard.
	HandleForeignWrite(shard *state.Shard, key, reason string)
	// DropCorruptShard drops a shard that has an invalid record.
	DropCorruptShard(shard *state.Shard, key, reason string)
}

// MachineRecords writes the records of machines.
type MachineRecords interface {
	// WriteMachine enqueues a write of the record that lists the machine.
	WriteMachine(*state.Machine, writequeue.Priority)
	// TargetGroupSize returns the target size of a new group in machines. A new group may be
	// smaller but should not be larger.
	TargetGroupSize() int
	// AddNewGroup adds a group and its machines to the state once the group's first record
	// has been stored.
	AddNewGroup(*inventory.NewGroup, cluster.Revision)
}

// RecordNames generates unique names for new records.
type RecordNames interface {
	NextProvisioningRequest(*state.Shard) string
	NextGroup(*state.Shard) string
}

// Dependencies are the other components of the controller that a Provisioner uses.
type Dependencies struct {
	Members   Members
	Ownership ShardOwnership
	Records   MachineRecords
	Names     RecordNames
	Orphans   Orphans

	Work        WorkQueue
	Capacity    FreeCapacity
	Eligibility Eligibility
	Runtimes    Runtimes
	Sharing     MachineSharing

	// RequestScheduling requests a scheduling run, as pending tasks may now be
	// assignable.
	RequestScheduling func()
	// CountMachineScans adds the number of given machines to the count of machine scans in
	// the periodic log line.
	CountMachineScans func([]*state.Machine)
	// StretchDelay returns the given delay, lengthened while the process is overloaded.
	StretchDelay func(cluster.Time) cluster.Time
}

// Provisioner requests machines from the cloud and releases them. It sets no timers
// before the first call of a method of its components.
type Provisioner struct {
	// RateLimiter keeps calls to the cloud within this controller's share of the rate limit.
	RateLimiter *CloudRateLimiter
	// Types holds the cloud's machine types.
	Types *TypeCache
	// Spot estimates how often spot machines are interrupted.
	Spot *SpotInterruptions
	// List reads the cloud's list of machines.
	List *MachineList
	// ScaleIn releases machines to the cloud.
	ScaleIn *ScaleIn
	// Requests executes provisioning requests.
	Requests *Requests
	// ScaleOut decides which machines to request.
	ScaleOut *ScaleOut
}

// shared holds what all components of a Provisioner use.
type shared struct {
	loop   *eventloop.Loop
	state  *state.State
	queue  *writequeue.Queue
	config *Config
	deps   Dependencies
}

// New returns a Provisioner that knows no machine types.
func New(loop *eventloop.Loop, st *state.State, queue *writequeue.Queue, config Config, deps Dependencies) *Provisioner {
	common := &shared{loop: loop, state: st, queue: queue, config: &config, deps: deps}
	p := &Provisioner{RateLimiter: newCloudRateLimiter(loop, &config), Spot: &SpotInterruptions{}}
	p.Types = &TypeCache{shared: common, rateLimiter: p.RateLimiter}
	p.ScaleIn = &ScaleIn{shared: common, rateLimiter: p.RateLimiter}
	p.List = newMachineList(common, p.RateLimiter, p.ScaleIn)
	p.Requests = &Requests{shared: common, rateLimiter: p.RateLimiter}
	p.ScaleOut = &ScaleOut{shared: common, rateLimiter: p.RateLimiter, list: p.List, requests: p.Requests}
	p.Requests.onAnswered = p.ScaleOut.Schedule
	return p
}
