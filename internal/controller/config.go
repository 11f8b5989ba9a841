package controller

import (
	"time"

	"stairrelay/internal/cluster"
)

// Tuning holds the parameters that operators may change. DefaultTuning returns the
// defaults.
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
	ShortJobWeight       float64      // multiplied by the time that a job's pending tasks would occupy the whole shard; the product, up to a limit, delays the job's latest start in the queue order
	SpareCapacityShare   float64      // spare capacity as a fraction of a shard's demand
	FirstTaskTarget      cluster.Time // time within which a job's first task should start; after half of it, the task is scheduled before all other work
}

// Config holds the settings of a Controller.
type Config struct {
	Self              cluster.NodeID
	Zone              string
	Nodes             []cluster.NodeID // all controllers, sorted; Nodes[i] is the preferred owner of shard i
	Teams             []cluster.Team
	SLOs              []cluster.SLO
	HeartbeatInterval cluster.Time
	WorkerLease       cluster.Time
	CancelDeadline    cluster.Time
	StoreRPS          float64
	WriteRPS          float64 // the lower of the store's current limit and its announced one
	MaxValueBytes     int
	MaxTxnOps         int
	CloudRPS          float64
	CloudListLag      cluster.Time
	InstanceID        string // unique to this process
	Tuning            Tuning
	// CurrentWriteRPS is the store's current limit. It is used instead of a lower
	// WriteRPS until the store throttles this controller.
	CurrentWriteRPS float64
}

// DefaultTuning returns the parameters that apply unless operators set others.
func DefaultTuning() Tuning {
	s := cluster.Time(time.Second)
	return Tuning{
		CheckpointInterval: 2 * s, PingInterval: s, PingTimeout: s, PingRetries: 5, InitialRetryTimeout: s / 10,
		ProbeInterval: s / 2, ProbeCount: 5, ScaleInIdleTime: 30 * s, OutOfCapacityBackoff: 15 * s,
		BootTimeoutFactor: 1.8, RateBudgetShare: 0.9, FailbackDelay: 4 * s, SpareCapacityShare: 0.5, ShortJobWeight: 32, FirstTaskTarget: 240 * s,
	}
}
