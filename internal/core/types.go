// Package core decides everything stairrelay does and performs none of it.
//
// A Core is a value driven by Step(now, event) -> effects. It has no clock, no
// randomness, no goroutine and no input or output: whatever it needs from
// outside arrives as an event, whatever it wants done leaves as an effect.
// That makes every failure story replayable as a text trace.
package core

import (
	"time"

	"stairrelay/internal/model"
)

// The small types that packages below core share; see package model.
type (
	JobID          = model.JobID
	MachineID      = model.MachineID
	NodeID         = model.NodeID
	ShardID        = model.ShardID
	Revision       = model.Revision
	ModRevision    = model.ModRevision
	FencingToken   = model.FencingToken
	Attempt        = model.Attempt
	Incarnation    = model.Incarnation
	SequenceNumber = model.SequenceNumber
	Term           = model.Term
	Time           = model.Time
	WallTime       = model.WallTime
	Amount         = model.Amount
	Resources      = model.Resources
	Priority       = model.Priority
	TaskID         = model.TaskID
)

// Values of the shared types.
const (
	NoLimit = model.NoLimit
	NoShard = model.NoShard

	BestEffort = model.BestEffort
	Normal     = model.Normal
	Urgent     = model.Urgent
	Production = model.Production
)

// FloorAmount turns a stated quantity that must not be exceeded into an Amount.
func FloorAmount(x float64) Amount { return model.FloorAmount(x) }

// ParseTask reads the form that TaskID's String writes.
func ParseTaskID(s string) (TaskID, bool) { return model.ParseTaskID(s) }

// Ids of what waits for an answer.
type (
	// ReqID names a request that waits for its Respond effect.
	RequestID uint64
	// CallID names an outgoing call that will be answered by an event.
	CallID uint64
)

// JobSpec is what a user submitted, with the protocol's names gone. Its JSON
// form is what jobs/<id> holds, hence the short names.
type JobSpec struct {
	ID                JobID     `json:"-"`
	Class             string    `json:"c"`
	Team              string    `json:"tm"`
	Priority          Priority  `json:"pr"`
	Tasks             int       `json:"n"`
	ResourceRequest   Resources `json:"r"`
	MachineTypes      []string  `json:"ty,omitempty"`
	Zone              string    `json:"z,omitempty"`
	Colocate          bool      `json:"sp,omitempty"`
	Spread            bool      `json:"sc,omitempty"`
	Spot              bool      `json:"so,omitempty"`
	Image             string    `json:"im"`
	ImageGB           float64   `json:"gb"`
	RuntimeSeconds    float64   `json:"rt"`
	CheckpointSeconds float64   `json:"ck,omitempty"`
	SaveSeconds       float64   `json:"sv,omitempty"`
	DeadlineSeconds   float64   `json:"dl,omitempty"`
	SubmittedAt       WallTime  `json:"at"`
	Dependencies      []JobID   `json:"aw,omitempty"` // have to be done before any task of this one starts
}

// TaskState is a task's state in a worker's report.
type TaskState int

// The states of a task, in the order in which it goes through them.
const (
	Fetching TaskState = iota // its image is being fetched
	Running
	Checkpointing // a checkpoint is being written, since it is to be stopped
	Ended
)

// Cause says why a task ended.
type Cause int

// The causes of a task's end.
const (
	CauseNone             Cause = iota // it has not ended
	CauseCompleted                     // it ran to its end
	CauseStopped                       // by a command
	CauseFailed                        // it failed
	CauseNoCapacity                    // the machine has no room for it
	CauseDuplicateAttempt              // another attempt of it is on the machine
	CauseUnknownTask                   // the worker knows no such task
)

// TaskReport is one task in a worker's report.
type TaskStatus struct {
	Task         TaskID
	Attempt      Attempt
	State        TaskState
	Cause        Cause
	Checkpointed bool
}

// Report is a worker's account of itself.
type HeartbeatStatus struct {
	Machine          MachineID
	Addr             string
	Type             string
	Zone             string
	Spot             bool
	Incarnation      Incarnation
	SequenceNumber   SequenceNumber
	FencingToken     FencingToken
	PreemptionNotice float64 // seconds until the cloud takes it; negative: none
	Tasks            []TaskStatus
}

// Verb is what a command tells a worker to do.
type CommandKind int

// The verbs of commands.
const (
	Start       CommandKind = iota // start an attempt of a task
	Stop                           // stop it, after a grace for saving
	Acknowledge                    // drop the account of one that has ended
)

// Command is sent to a worker.
type Command struct {
	Kind         CommandKind
	Task         TaskID
	Attempt      Attempt
	GraceSeconds float64
}

// MachineType is one kind of machine that the cloud rents.
type MachineType struct {
	Name             string    `json:"Name"`
	Capacity         Resources `json:"Cap"`
	CacheGB          float64   `json:"CacheGB"`
	FetchGBPerSecond float64   `json:"FetchGBs"`
	OnDemandPrice    float64   `json:"Price"`
	SpotPrice        float64   `json:"SpotPrice"`
	BootSeconds      float64   `json:"BootS"`
	Zones            []string  `json:"Zones"`
}

// price is what a machine of the type costs an hour.
func (t MachineType) hourlyPrice(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// Listed is one line of the cloud's machine list.
type ListedMachine struct {
	ID         MachineID
	Addr       string
	Type       string
	Zone       string
	Spot       bool
	Status     string
	AgeSeconds float64
}

// Status is a job's state as users see it.
type JobStatus string

// The states of a job.
const (
	JobPending   JobStatus = "pending"
	JobRunning   JobStatus = "running"
	JobDone      JobStatus = "done"
	JobCancelled JobStatus = "cancelled"
)

// JobView answers a question about a job.
type JobView struct {
	ID      JobID     `cbor:"ID"`
	Status  JobStatus `cbor:"Status"`
	Done    int       `cbor:"Done"`
	Running int       `cbor:"Running"`
}

// Final tells whether the status can never change again.
func (s JobStatus) IsFinal() bool { return s == JobDone || s == JobCancelled }

// Team has a guarantee and a limit.
type Team struct {
	Name            string
	GuaranteedQuota Resources
	QuotaLimit      Resources
}

// Objective is an aim for a class.
type SLO struct {
	Kind, Class    string
	WithinSeconds  float64
	DeadlineFactor float64
}

// Tuning is what operators may set.
type Tuning struct {
	CheckpointInterval   Time
	PingInterval         Time
	PingTimeout          Time
	PingRetries          int
	InitialRetryTimeout  Time
	ProbeInterval        Time
	ProbeCount           int
	ScaleInIdleTime      Time
	OutOfCapacityBackoff Time
	BootTimeoutFactor    float64
	RateBudgetShare      float64
	FailbackDelay        Time
	ShortJobWeight       float64 // a job moves back by this many times what its remaining work would take all of its part
	SpareCapacityShare   float64 // room kept beyond the present need
	FirstTaskTarget      Time    // a job's first task goes before all others after half of this
}

// Config is all that a Core knows from the start.
type Config struct {
	Self              NodeID
	Zone              string
	Nodes             []NodeID // all, sorted; Nodes[i] is the home of part i
	Teams             []Team
	SLOs              []SLO
	HeartbeatInterval Time
	WorkerLease       Time
	CancelDeadline    Time
	StoreRPS          float64
	WriteRPS          float64 // the lowest that the settings name for now or later
	MaxValueBytes     int
	MaxTxnOps         int
	CloudRPS          float64
	CloudListLag      Time
	InstanceID        string // unique to this process
	Tuning            Tuning
	// PresentWriteRPS is used in place of a lower WriteRPS until the store refuses it.
	CurrentWriteRPS float64
}

// DefaultTuning holds the design's starting values.
func DefaultTuning() Tuning {
	s := Time(time.Second)
	return Tuning{
		CheckpointInterval: 2 * s, PingInterval: s, PingTimeout: s, PingRetries: 5, InitialRetryTimeout: s / 10,
		ProbeInterval: s / 2, ProbeCount: 5, ScaleInIdleTime: 30 * s, OutOfCapacityBackoff: 15 * s,
		BootTimeoutFactor: 1.8, RateBudgetShare: 0.9, FailbackDelay: 4 * s, SpareCapacityShare: 0.5, ShortJobWeight: 32, FirstTaskTarget: 240 * s,
	}
}
