package controller

import (
	"time"

	"stairrelay/internal/cluster"
)

// Tuning is what operators may set.
type Tuning struct {
	CheckpointInterval   cluster.Time
	PingInterval         cluster.Time
	PingTimeout          cluster.Time
	PingRetries          int
	InitialRetryTimeout  cluster.Time
	ProbeInterval        cluster.Time
	ProbeCount           int
	ScaleInIdleTime      cluster.Time
	OutOfCapacityBackoff cluster.Time
	BootTimeoutFactor    float64
	RateBudgetShare      float64
	FailbackDelay        cluster.Time
	ShortJobWeight       float64      // a job moves back by this many times what its remaining work would take all of its shard
	SpareCapacityShare   float64      // room kept beyond the present need
	FirstTaskTarget      cluster.Time // a job's first task goes before all others after half of this
}

// Config is all that a Controller knows from the start.
type Config struct {
	Self              cluster.NodeID
	Zone              string
	Nodes             []cluster.NodeID // all, sorted; Nodes[i] is the home of shard i
	Teams             []cluster.Team
	SLOs              []cluster.SLO
	HeartbeatInterval cluster.Time
	WorkerLease       cluster.Time
	CancelDeadline    cluster.Time
	StoreRPS          float64
	WriteRPS          float64 // the lowest that the settings name for now or later
	MaxValueBytes     int
	MaxTxnOps         int
	CloudRPS          float64
	CloudListLag      cluster.Time
	InstanceID        string // unique to this process
	Tuning            Tuning
	// CurrentWriteRPS is used in place of a lower WriteRPS until the store refuses it.
	CurrentWriteRPS float64
}

// DefaultTuning returns the design's starting values.
func DefaultTuning() Tuning {
	s := cluster.Time(time.Second)
	return Tuning{
		CheckpointInterval: 2 * s, PingInterval: s, PingTimeout: s, PingRetries: 5, InitialRetryTimeout: s / 10,
		ProbeInterval: s / 2, ProbeCount: 5, ScaleInIdleTime: 30 * s, OutOfCapacityBackoff: 15 * s,
		BootTimeoutFactor: 1.8, RateBudgetShare: 0.9, FailbackDelay: 4 * s, SpareCapacityShare: 0.5, ShortJobWeight: 32, FirstTaskTarget: 240 * s,
	}
}
