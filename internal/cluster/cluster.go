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

// The identifiers, counters and quantities are types of their own, so that the
// compiler refuses, for example, a fencing token where an attempt is expected.
type (
	// JobID is the id that a user chose for a job.
	JobID string
	// MachineID is the cloud's name for a machine.
	MachineID string
	// NodeID is the host name of a controller.
	NodeID string
	// ShardID is the number of a shard: a set of teams and machines that one
	// controller owns at a time. Shards are numbered from 0.
	ShardID int
	// Revision is the state service's counter of changes.
	Revision uint64
	// ModRevision is the revision of a key's last change; 0 means that the key is
	// absent.
	ModRevision uint64
	// FencingToken tells a worker which controller may command it: a worker
	// refuses commands with a lower token than the highest that it has seen.
	FencingToken uint64
	// Attempt identifies one start of a task. It consists of the shard claim under
	// which the task was started and a count; see NewAttempt.
	Attempt uint64
	// Incarnation distinguishes the lives of a worker: it rises when the worker's
	// lease runs out.
	Incarnation uint64
	// SequenceNumber orders the heartbeats of one incarnation of a worker.
	SequenceNumber uint64
	// Term counts the claims of a shard; a later owner has a higher term.
	Term uint64
	// Time is the process's steady clock: nanoseconds since the process started.
	Time time.Duration
	// WallTime is the time of day in milliseconds since 1970. It is used for
	// display and ordering only, as the clocks of controllers may differ.
	WallTime int64
	// Amount is a resource quantity in millionths of a CPU, GPU or GB. Whole
	// numbers keep sums exact.
	Amount int64
)

// Millisecond and Second are units of Time.
const (
	Millisecond = Time(time.Millisecond)
	Second      = Time(time.Second)
)

// Seconds returns the time in seconds.
func (t Time) Seconds() float64 { return time.Duration(t).Seconds() }

// AttemptCountBits is the number of low bits of an Attempt that count the starts
// under one shard claim. The bits above them hold the revision at which the shard
// was acquired, or that of a later change by the same owner once the counts of the
// claim are used up.
const AttemptCountBits = 20

// MaxAttemptCount is the largest count that an Attempt can hold.
const MaxAttemptCount = 1<<AttemptCountBits - 1

// NewAttempt returns the attempt with a count, from 0 to MaxAttemptCount, under the
// shard claim that was made at a revision of the store.
func NewAttempt(claim, count uint64) Attempt { return Attempt(claim<<AttemptCountBits | count) }

// Claim returns the revision of the shard claim under which the attempt was counted.
func (a Attempt) Claim() uint64 { return uint64(a) >> AttemptCountBits }

// Count returns the attempt's count among those of its claim.
func (a Attempt) Count() uint64 { return uint64(a) & MaxAttemptCount }

// NoShard stands for a write that belongs to no shard, so that no shard claim
// guards it.
const NoShard ShardID = -1

// AmountsPerUnit is the number of Amounts in one CPU, GPU or GB.
const AmountsPerUnit = 1_000_000

// floorTolerance, in millionths, compensates for binary fractions: 0.3 CPUs are
// 300,000 millionths although the product 0.3*1e6 may be a little less.
const floorTolerance = 1e-4

// FloorAmount converts a quantity in CPUs, GPUs or GB to an Amount and rounds down,
// so that a stated limit is never exceeded.
func FloorAmount(quantity float64) Amount {
	return Amount(math.Floor(quantity*AmountsPerUnit + floorTolerance))
}

// NoLimit is the quota limit of a team that has none. It is far enough below the
// largest Amount that sums of a few limits do not overflow.
const NoLimit Amount = math.MaxInt64 / 4

// Priority is the importance of a job; a higher one is more important.
type Priority int

// The priorities, the least important first.
const (
	BestEffort Priority = iota
	Normal
	Urgent
	Production
)

// TaskID identifies one task of a job. Index counts from 0.
type TaskID struct {
	Job   JobID
	Index int
}

// String returns the id in the form job/index.
func (t TaskID) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// ParseTaskID parses the form that String returns; it reports false for any other
// text. A job's id may contain slashes, so the last one separates the index.
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
