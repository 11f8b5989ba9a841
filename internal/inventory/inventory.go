// Package inventory keeps the stored records of the machine groups of the owned
// shards in step with what is to run on their machines: it writes, checks, splits,
// merges, transfers and repairs these records, and applies what a stored record
// says to the machines and assignments.
//
// Invariants: a machine is listed by the record of one group; a task is started on a
// machine only after the stored record lists it there, and elsewhere only after a
// stored record no longer does; a machine's fencing token is the revision of a write
// of its group's record, or of the claim under which its shard was loaded; at most one
// write of a group's record is in flight, and each is on condition of the mod
// revision that was last seen.
package inventory

import (
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

const second = cluster.Time(time.Second)

// Config is what the inventory knows from the start.
type Config struct {
	// ValueLimit is how many bytes the state service takes as a value.
	ValueLimit grouprecord.ValueLimit
	// MaxTxnOps is how many changes a transaction may make.
	MaxTxnOps int
	// CloudListLag is how far the cloud's list of machines may lag behind.
	CloudListLag cluster.Time
	// MaxScaleInMachines is how many machines one call may return to the cloud.
	MaxScaleInMachines int
}

// Shards is what the inventory needs of the ownership of shards.
type Shards interface {
	// RereadClaim reads a shard's claim from the state service.
	RereadClaim(*state.Shard)
	// LoadShard reads the records of an owned shard.
	LoadShard(*state.Shard)
	// HandleForeignWrite is called when a record of an owned shard was changed by
	// another writer than its owner.
	HandleForeignWrite(shard *state.Shard, key, reason string)
	// GiveUpCorrupt gives up a shard that a record makes no sense of.
	GiveUpCorrupt(shard *state.Shard, key, reason string)
}

// Jobs is what the inventory needs of the jobs of the owned shards.
type Jobs interface {
	// Abandon forgets a job whose shard is not owned, or is loaded again.
	Abandon(*state.Job)
}

// Workers is what the inventory needs of the exchange with the workers.
type Workers interface {
	// ConfirmAbsent notes that a task is proven not to be on a machine.
	ConfirmAbsent(*state.Machine, *state.Assignment)
	// QueueCommandPush has the commands for a machine sent before its next heartbeat.
	QueueCommandPush(*state.Machine)
	// RecheckHeldHeartbeat has it decided again whether a machine's heartbeat is
	// answered now.
	RecheckHeldHeartbeat(*state.Machine)
	// RedirectWorker answers a heartbeat with the node to turn to; empty: unknown.
	RedirectWorker(messages.RequestID, cluster.NodeID)
}

// Scheduler is what the inventory needs of scheduling and maintenance.
type Scheduler interface {
	// RequestScheduling has it looked for machines for the pending tasks.
	RequestScheduling()
	// MaintainMachines looks after the machines before the next regular time.
	MaintainMachines()
}

// Cloud is what the inventory needs of the cloud.
type Cloud interface {
	// ScheduleScaleIn returns the machines whose records say that they are released.
	ScheduleScaleIn()
	// ForceCall charges a call to the cloud's rate whether or not there is room.
	ChargeCall()
	// ReadList reads the cloud's list of machines; false: it gave none.
	ListMachines(handle func(machines []cluster.ListedMachine, ok bool))
}

// Dependencies are the parts of the controller that the inventory calls.
type Dependencies struct {
	Shards    Shards
	Jobs      Jobs
	Workers   Workers
	Scheduler Scheduler
	Cloud     Cloud
}

// Inventory owns the records of the machine groups of the owned shards.
type Inventory struct {
	config Config
	loop   *eventloop.Loop
	state  *state.State
	writes *writequeue.Queue
	names  *RecordNames
	owners ownerHints

	shards    Shards
	jobs      Jobs
	workers   Workers
	scheduler Scheduler
	cloud     Cloud
}

// New makes an inventory of the groups in a state. It does nothing by itself.
func New(loop *eventloop.Loop, config Config, st *state.State, writes *writequeue.Queue, names *RecordNames, dependencies Dependencies) *Inventory {
	return &Inventory{
		config:    config,
		loop:      loop,
		state:     st,
		writes:    writes,
		names:     names,
		owners:    ownerHints{},
		shards:    dependencies.Shards,
		jobs:      dependencies.Jobs,
		workers:   dependencies.Workers,
		scheduler: dependencies.Scheduler,
		cloud:     dependencies.Cloud,
	}
}

// Configure takes over limits.
func (inv *Inventory) Configure(config Config) { inv.config = config }

// TargetGroupSize is how many machines a group's record is made for.
func (inv *Inventory) TargetGroupSize() int { return inv.config.ValueLimit.TargetMachines() }

// HasRoom tells whether a group's record can list one more task of a job.
func (inv *Inventory) HasRoom(group *state.MachineGroup, job *state.Job) bool {
	return inv.config.ValueLimit.HasRoom(group.EstimatedSize(), job.Spec.ID)
}
