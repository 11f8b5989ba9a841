// Package cluster defines the values that all packages share: identifiers, times,
// amounts and resources, and the descriptions of jobs, machines and workers. It
// imports no other package of the module.
package cluster

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Identifiers, counters and quantities have distinct types so that the compiler rejects,
// for example, a fencing token where an attempt is expected.
type (
	// JobID is the ID of a job, chosen by its user.
	JobID string
	// MachineID is the ID of a machine, assigned by the cloud.
	MachineID string
	// NodeID is the host name of a controller.
	NodeID string
	// ShardID is the number of a shard, counted from 0. A shard is a set of teams and
	// machines that one controller owns at a time.
	ShardID int
	// Revision is a revision of the consensus-backed key-value store, which increases
	// with every change.
	Revision uint64
	// ModRevision is the revision at which a key was last modified, or 0 if the key is
	// absent.
	ModRevision uint64
	// FencingToken increases with each new owner of a machine. A worker rejects commands
	// with a lower token than the highest that it has seen.
	FencingToken uint64
	// Attempt identifies one start of a task. It combines a base revision, which no other
	// owner of the shard uses, with a count; see AttemptCountBits.
	Attempt uint64
	// Incarnation identifies a period between two lease expiries of a worker. It
	// increases whenever the worker's lease expires.
	Incarnation uint64
	// SequenceNumber orders the heartbeats of one incarnation of a worker.
	SequenceNumber uint64
	// Term numbers the claims of a shard. A later owner has a higher term.
	Term uint64
	// Time is a monotonic time, in nanoseconds since the process started, or a duration.
	Time time.Duration
	// WallTime is a Unix time in milliseconds. It is used only for display and ordering,
	// as the clocks of controllers may differ.
	WallTime int64
	// Amount is a resource quantity in millionths of a CPU, GPU or GB. Integers keep sums
	// exact.
	Amount int64
)

// Millisecond and Second are units of Time.
const (
	Millisecond = Time(time.Millisecond)
	Second      = Time(time.Second)
)

// Seconds returns the time in seconds.
func (t Time) Seconds() float64 { return time.Duration(t).Seconds() }

// AttemptCountBits is the number of low bits of an Attempt that hold the count. The bits
// above them hold the base revision, which is that of the shard claim or, once all counts
// are used up, that of a later transaction of the same owner.
const AttemptCountBits = 20

// MaxAttemptCount is the largest count that an Attempt can hold.
const MaxAttemptCount = 1<<AttemptCountBits - 1

// NewAttempt returns the attempt with the given base revision and count. The count must
// not exceed MaxAttemptCount.
func NewAttempt(baseRevision, count uint64) Attempt {
	return Attempt(baseRevision<<AttemptCountBits | count)
}

// BaseRevision returns the attempt's base revision.
func (a Attempt) BaseRevision() uint64 { return uint64(a) >> AttemptCountBits }

// Count returns the attempt's count among the attempts with the same base revision.
func (a Attempt) Count() uint64 { return uint64(a) & MaxAttemptCount }

// NoShard is the shard ID of a write that belongs to no shard. Such a write does not
// depend on a shard claim.
const NoShard ShardID = -1

// AmountsPerUnit is the number of Amounts in one CPU, GPU or GB.
const AmountsPerUnit = 1_000_000

// floorTolerance, in millionths, compensates for binary rounding: 0.3 CPUs are 300,000
// millionths even if 0.3*1e6 is slightly less.
const floorTolerance = 1e-4

// FloorAmount converts a quantity in CPUs, GPUs or GB to an Amount. It rounds down, so
// that a limit is never exceeded.
func FloorAmount(quantity float64) Amount {
	return Amount(math.Floor(quantity*AmountsPerUnit + floorTolerance))
}

// NoLimit is the quota limit of a team without one. It is small enough that a few limits
// can be added without overflow.
const NoLimit Amount = math.MaxInt64 / 4

// Priority is the importance of a job. Higher values are more important.
type Priority int

// The priorities, from the lowest to the highest.
const (
	BestEffort Priority = iota
	Normal
	Urgent
	Production
)

// TaskID identifies a task of a job. The index counts from 0.
type TaskID struct {
	Job   JobID
	Index int
}

// String returns the ID in the form job/index.
func (t TaskID) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// ParseTaskID parses the form that String returns. It returns false if the job ID is
// empty or the index is not a non-negative integer. A job ID may contain slashes, so the
// last slash separates the index.
func ParseTaskID(text string) (TaskID, bool) {
	separator := strings.LastIndexByte(text, '/')
	if separator <= 0 {
		return TaskID{}, false
	}
	index, err := strconv.Atoi(text[separator+1:])
	if err != nil || index < 0 {
		return TaskID{}, false
	}
	return TaskID{Job: JobID(text[:separator]), Index: index}, true
}
