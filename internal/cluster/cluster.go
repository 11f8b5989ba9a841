// Package cluster holds the values that all packages share: ids, times, amounts
// and resources, and the descriptions of jobs, machines and workers. It imports
// no other package of the module.
package cluster

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Small types of their own, so that a token can't be passed for an attempt.
type (
	// JobID is the id that a job's user chose.
	JobID string
	// MachineID is the cloud's name for a machine.
	MachineID string
	// NodeID names a controller.
	NodeID string
	// ShardID numbers a part: a set of teams and some machines with one owner.
	ShardID int
	// Revision is the state service's change counter.
	Revision uint64
	// ModRevision is the revision of a key's last change; 0 means the key is absent.
	ModRevision uint64
	// FencingToken says to a worker who is entitled to command it.
	FencingToken uint64
	// Attempt distinguishes the starts of one task.
	Attempt uint64
	// Incarnation counts a worker's lives; it rises when its lease runs out.
	Incarnation uint64
	// SequenceNumber orders a worker's messages within a session.
	SequenceNumber uint64
	// Term counts the claims of a part.
	Term uint64
	// Time is the steady clock, counted from the process's start.
	Time time.Duration
	// WallTime is time of day in milliseconds; used for display and ordering only.
	WallTime int64
	// Amount is a resource quantity in millionths, so that sums are exact.
	Amount int64
)

// Units of Time.
const (
	Millisecond = Time(time.Millisecond)
	Second      = Time(time.Second)
)

// Seconds returns the time in seconds.
func (t Time) Seconds() float64 { return time.Duration(t).Seconds() }

// AttemptCountBits is how many bits of an attempt count the starts under one
// claim of a part. The bits above them are the claim, or a later store change of
// the same holder once the claim's numbers are used up.
const AttemptCountBits = 20

// MaxAttemptCount is the largest count of an attempt.
const MaxAttemptCount = 1<<AttemptCountBits - 1

// NewAttempt numbers a start under the claim that a store change made.
func NewAttempt(claim, count uint64) Attempt { return Attempt(claim<<AttemptCountBits | count) }

// Claim returns the claim under which the attempt was numbered.
func (a Attempt) Claim() uint64 { return uint64(a) >> AttemptCountBits }

// Count returns the attempt's number among those of its claim.
func (a Attempt) Count() uint64 { return uint64(a) & (1<<AttemptCountBits - 1) }

// NoShard is for writes that no claim guards.
const NoShard ShardID = -1

// AmountsPerUnit is how many Amounts make one CPU, GPU or GB.
const AmountsPerUnit = 1_000_000

// floorTolerance makes up for binary fractions: 0.3 of a CPU is 300,000
// millionths though 0.3*1e6 may come out a little below that.
const floorTolerance = 1e-4

// FloorAmount turns a stated quantity that must not be exceeded into an Amount.
func FloorAmount(x float64) Amount { return Amount(math.Floor(x*AmountsPerUnit + floorTolerance)) }

// NoLimit is the limit of a team that has none. Sums with it don't overflow.
const NoLimit Amount = math.MaxInt64 / 4

// Priority of a job, higher is more important.
type Priority int

// The priorities, least first.
const (
	BestEffort Priority = iota
	Normal
	Urgent
	Production
)

// TaskID is one task of a job.
type TaskID struct {
	Job   JobID
	Index int
}

// String returns the task's id as job/index.
func (t TaskID) String() string { return string(t.Job) + "/" + strconv.Itoa(t.Index) }

// ParseTaskID reads the form that String writes.
func ParseTaskID(s string) (TaskID, bool) {
	i := strings.LastIndexByte(s, '/')
	if i <= 0 {
		return TaskID{}, false
	}
	n, err := strconv.Atoi(s[i+1:])
	if err != nil || n < 0 {
		return TaskID{}, false
	}
	return TaskID{JobID(s[:i]), n}, true
}
