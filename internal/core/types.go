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
	JobID     = model.JobID
	MachineID = model.MachineID
	NodeID    = model.NodeID
	Part      = model.Part
	Epoch     = model.Epoch
	Mark      = model.Mark
	Token     = model.Token
	Attempt   = model.Attempt
	Session   = model.Session
	Stamp     = model.Stamp
	Term      = model.Term
	Time      = model.Time
	Wall      = model.Wall
	Amount    = model.Amount
	Res       = model.Res
	Priority  = model.Priority
	TaskID    = model.TaskID
)

// Values of the shared types.
const (
	NoLimit = model.NoLimit
	NoPart  = model.NoPart

	BestEffort = model.BestEffort
	Normal     = model.Normal
	Urgent     = model.Urgent
	Production = model.Production
)

// FloorAmount turns a stated quantity that must not be exceeded into an Amount.
func FloorAmount(x float64) Amount { return model.FloorAmount(x) }

// ParseTask reads the form that TaskID's String writes.
func ParseTask(s string) (TaskID, bool) { return model.ParseTask(s) }

// Ids of what waits for an answer.
type (
	// ReqID names a request that waits for its Respond effect.
	ReqID uint64
	// CallID names an outgoing call that will be answered by an event.
	CallID uint64
)

// JobSpec is what a user submitted, with the protocol's names gone. Its JSON
// form is what jobs/<id> holds, hence the short names.
type JobSpec struct {
	ID        JobID    `json:"-"`
	Class     string   `json:"c"`
	Team      string   `json:"tm"`
	Priority  Priority `json:"pr"`
	Tasks     int      `json:"n"`
	Need      Res      `json:"r"`
	Types     []string `json:"ty,omitempty"`
	Zone      string   `json:"z,omitempty"`
	SamePlace bool     `json:"sp,omitempty"`
	Scatter   bool     `json:"sc,omitempty"`
	Spot      bool     `json:"so,omitempty"`
	Image     string   `json:"im"`
	ImageGB   float64  `json:"gb"`
	RuntimeS  float64  `json:"rt"`
	CheckpntS float64  `json:"ck,omitempty"`
	SaveS     float64  `json:"sv,omitempty"`
	DeadlineS float64  `json:"dl,omitempty"`
	Submitted Wall     `json:"at"`
	Awaits    []JobID  `json:"aw,omitempty"` // have to be done before any task of this one starts
}

// TaskState is a task's state in a worker's report.
type TaskState int

// The states of a task, in the order in which it goes through them.
const (
	Fetching TaskState = iota // its image is being fetched
	Running
	Saving // a checkpoint is being written, since it is to be stopped
	Ended
)

// Cause says why a task ended.
type Cause int

// The causes of a task's end.
const (
	CauseNone    Cause = iota // it has not ended
	CauseDone                 // it ran to its end
	CauseStopped              // by a command
	CauseError                // it failed
	CauseFull                 // the machine has no room for it
	CauseBusy                 // another attempt of it is on the machine
	CauseNoSuch               // the worker knows no such task
)

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task    TaskID
	Attempt Attempt
	State   TaskState
	Cause   Cause
	Saved   bool
}

// Report is a worker's account of itself.
type Report struct {
	Machine MachineID
	Addr    string
	Type    string
	Zone    string
	Spot    bool
	Session Session
	Stamp   Stamp
	Token   Token
	Notice  float64 // seconds until the cloud takes it; negative: none
	Tasks   []TaskReport
}

// Verb is what a command tells a worker to do.
type Verb int

// The verbs of commands.
const (
	Start  Verb = iota // start an attempt of a task
	Stop               // stop it, after a grace for saving
	Forget             // drop the account of one that has ended
)

// Command is sent to a worker.
type Command struct {
	Verb    Verb
	Task    TaskID
	Attempt Attempt
	Grace   float64
}

// MachineType is one kind of machine that the cloud rents.
type MachineType struct {
	Name      string   `json:"Name"`
	Cap       Res      `json:"Cap"`
	CacheGB   float64  `json:"CacheGB"`
	FetchGBs  float64  `json:"FetchGBs"`
	Price     float64  `json:"Price"`
	SpotPrice float64  `json:"SpotPrice"`
	BootS     float64  `json:"BootS"`
	Zones     []string `json:"Zones"`
}

// price is what a machine of the type costs an hour.
func (t MachineType) price(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// Listed is one line of the cloud's machine list.
type Listed struct {
	ID     MachineID
	Addr   string
	Type   string
	Zone   string
	Spot   bool
	Status string
	AgeS   float64
}

// Status is a job's state as users see it.
type Status string

// The states of a job.
const (
	StPending   Status = "pending"
	StRunning   Status = "running"
	StDone      Status = "done"
	StCancelled Status = "cancelled"
)

// JobView answers a question about a job.
type JobView struct {
	ID      JobID  `cbor:"ID"`
	Status  Status `cbor:"Status"`
	Done    int    `cbor:"Done"`
	Running int    `cbor:"Running"`
}

// Final tells whether the status can never change again.
func (s Status) Final() bool { return s == StDone || s == StCancelled }

// Team has a guarantee and a limit.
type Team struct {
	Name      string
	Guarantee Res
	Limit     Res
}

// Objective is an aim for a class.
type Objective struct {
	Kind, Class string
	WithinS     float64
	Times       float64
}

// Tuning is what operators may set.
type Tuning struct {
	Checkpoint    Time
	PingEvery     Time
	PingTimeout   Time
	Retries       int
	RetryFirst    Time
	ProbeEvery    Time
	Probes        int
	IdleReturn    Time
	RefusedWait   Time
	BootPatience  float64
	BudgetShare   float64
	HandBackAfter Time
	SmallFirst    float64 // a job moves back by this many times what its remaining work would take all of its part
	SpareShare    float64 // room kept beyond the present need
	BeginWithin   Time    // a job's first task goes before all others after half of this
}

// Config is all that a Core knows from the start.
type Config struct {
	Self         NodeID
	Zone         string
	Nodes        []NodeID // all, sorted; Nodes[i] is the home of part i
	Teams        []Team
	Objectives   []Objective
	ReportEvery  Time
	Lease        Time
	CancelWithin Time
	StoreRPS     float64
	WriteRPS     float64 // the lowest that the settings name for now or later
	ValueBytes   int
	TxnOps       int
	CloudRPS     float64
	ListLag      Time
	Boot         string // unique to this process
	Tuning       Tuning
	// PresentWriteRPS is used in place of a lower WriteRPS until the store refuses it.
	PresentWriteRPS float64
}

// DefaultTuning holds the design's starting values.
func DefaultTuning() Tuning {
	s := Time(time.Second)
	return Tuning{
		Checkpoint: 2 * s, PingEvery: s, PingTimeout: s, Retries: 5, RetryFirst: s / 10,
		ProbeEvery: s / 2, Probes: 5, IdleReturn: 30 * s, RefusedWait: 15 * s,
		BootPatience: 1.8, BudgetShare: 0.9, HandBackAfter: 4 * s, SpareShare: 0.5, SmallFirst: 32, BeginWithin: 240 * s,
	}
}
