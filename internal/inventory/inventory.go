// Package inventory maintains the stored records of the machine groups of the owned
// shards. A record lists the machines of a group and the tasks assigned to them. The
// package writes, checks, splits, merges, transfers and repairs the records, and
// updates machines and assignments once a record is stored.
//
// Invariants:
//
//   - A machine is listed by the record of exactly one group.
//   - A task is started on a machine only after the stored record lists it there, and
//     on another machine only after a stored record no longer lists it.
//   - A machine's fencing token is the revision of a write of its group's record, or
//     of the claim under which its shard was loaded.
//   - At most one write of a group's record is in flight. It is conditional on the mod
//     revision that was last read or written.
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

// Config is the configuration of an Inventory.
type Config struct {
	// ValueLimit is the maximum size of a stored value.
	ValueLimit grouprecord.ValueLimit
	// MaxTxnOps is the maximum number of operations of a transaction.
	MaxTxnOps int
	// CloudListLag is the maximum delay until a change of the machines appears in the
	// cloud's list.
	CloudListLag cluster.Time
	// MaxScaleInMachines is the maximum number of machines that one call to the
	// cloud may terminate.
	MaxScaleInMachines int
}

// Shards manages the ownership of shards.
type Shards interface {
	// RereadClaim reads a shard's claim from the store.
	RereadClaim(*state.Shard)
	// LoadShard reads the records of an owned shard.
	LoadShard(*state.Shard)
	// HandleForeignWrite handles a record of an owned shard that another writer has
	// modified. It reads the shard's claim to find out whether the shard has a new owner.
	HandleForeignWrite(shard *state.Shard, key, reason string)
	// DropCorruptShard drops an owned shard that has an invalid or unexpectedly modified
	// record.
	DropCorruptShard(shard *state.Shard, key, reason string)
}

// Jobs manages the jobs of the owned shards.
type Jobs interface {
	// Abandon removes a job whose shard is no longer owned or is loaded again.
	Abandon(*state.Job)
}

// Workers communicates with the workers.
type Workers interface {
	// ConfirmAbsent records that a task is proven not to be on a machine.
	ConfirmAbsent(*state.Machine, *state.Assignment)
	// QueueCommandPush queues a push of a machine's urgent commands, so that they don't
	// wait for the machine's next heartbeat.
	QueueCommandPush(*state.Machine)
	// RecheckHeldHeartbeat checks again whether a machine's held heartbeat can be
	// answered.
	RecheckHeldHeartbeat(*state.Machine)
	// RedirectWorker answers a heartbeat with the node that the worker should use
	// instead. The node is empty if it is not known.
	RedirectWorker(messages.RequestID, cluster.NodeID)
}

// Scheduler requests scheduling and the maintenance of machines.
type Scheduler interface {
	// RequestScheduling requests a scheduling run for the pending tasks.
	RequestScheduling()
	// MaintainMachines runs the periodic maintenance of the machines immediately.
	MaintainMachines()
}

// Cloud calls the cloud provider.
type Cloud interface {
	// ScheduleScaleIn schedules a call that terminates the machines whose stored
	// records mark them as being released.
	ScheduleScaleIn()
	// ChargeCall counts a call against the cloud's rate limit, even if the limit is
	// exhausted.
	ChargeCall()
	// ListMachines calls handle with the cloud's list of machines. ok is false if the
	// list could not be read.
	ListMachines(handle func(machines []cluster.ListedMachine, ok bool))
}

// Dependencies are the components of the controller that the inventory calls.
type Dependencies struct {
	Shards    Shards
	Jobs      Jobs
	Workers   Workers
	Scheduler Scheduler
	Cloud     Cloud
}

// Inventory manages the records of the machine groups of the owned shards.
type Inventory struct {
	config     Config
	loop       *eventloop.Loop
	state      *state.State
	writes     *writequeue.Queue
	names      *RecordNames
	ownerHints ownerHints

	tokenRaises int // since TakeTokenRaiseCount was last called

	shards    Shards
	jobs      Jobs
	workers   Workers
	scheduler Scheduler
	cloud     Cloud
}

// New returns an inventory of the machine groups in st. It starts no timers.
func New(loop *eventloop.Loop, config Config, st *state.State, writes *writequeue.Queue, names *RecordNames, dependencies Dependencies) *Inventory {
	return &Inventory{
		config:     config,
		loop:       loop,
		state:      st,
		writes:     writes,
		names:      names,
		ownerHints: ownerHints{},
		shards:     dependencies.Shards,
		jobs:       dependencies.Jobs,
		workers:    dependencies.Workers,
		scheduler:  dependencies.Scheduler,
		cloud:      dependencies.Cloud,
	}
}

// Configure replaces the configuration.
func (inv *Inventory) Configure(config Config) { inv.config = config }

// TargetGroupSize returns the maximum number of machines that should be put into a new
// group. The limit does not apply to merges and splits.
func (inv *Inventory) TargetGroupSize() int { return inv.config.ValueLimit.TargetMachines() }

// HasRoom reports whether a group's record can list one more task of a job.
func (inv *Inventory) HasRoom(group *state.MachineGroup, job *state.Job) bool {
	return inv.config.ValueLimit.HasRoom(group.EstimatedSize(), job.Spec.ID)
}
