// Package workerjson encodes the heartbeats of workers as JSON, as real workers do.
package workerjson

import "stairrelay/internal/cluster"

// HeartbeatStatus is a worker's status on the wire.
type HeartbeatStatus struct {
	Machine          cluster.MachineID      `json:"coach"`
	Address          string                 `json:"addr"`
	Type             string                 `json:"fleet"`
	Zone             string                 `json:"yard"`
	Spot             bool                   `json:"standby"`
	Incarnation      cluster.Incarnation    `json:"shift"`
	SequenceNumber   cluster.SequenceNumber `json:"stamp"`
	FencingToken     cluster.FencingToken   `json:"baton"`
	PreemptionNotice *float64               `json:"recallS"`
	Tasks            []TaskStatus           `json:"legs"`
}

// TaskStatus is a task in a HeartbeatStatus. Cause and Checkpointed are set only if the
// task has ended.
type TaskStatus struct {
	Task         string          `json:"leg"`
	Attempt      cluster.Attempt `json:"boarding"`
	State        string          `json:"status"`
	Cause        string          `json:"cause,omitempty"`
	Checkpointed bool            `json:"stored,omitempty"`
}

// taskStateNames maps task states to their names on the wire.
var taskStateNames = map[cluster.TaskState]string{
	cluster.Fetching:      "fetching",
	cluster.Running:       "running",
	cluster.Checkpointing: "flushing",
	cluster.Ended:         "ended",
}

// causeNames maps the causes of a task's end to their names on the wire.
var causeNames = map[cluster.Cause]string{
	cluster.CauseCompleted:        "done",
	cluster.CauseStopped:          "stopped",
	cluster.CauseFailed:           "error",
	cluster.CauseNoCapacity:       "full",
	cluster.CauseDuplicateAttempt: "busy",
	cluster.CauseUnknownTask:      "no_such",
}

// EncodeHeartbeat returns the wire form of the status of a worker with the given address.
func EncodeHeartbeat(status cluster.HeartbeatStatus, addr string) HeartbeatStatus {
	encoded := HeartbeatStatus{
		Machine:        status.Machine,
		Address:        addr,
		Type:           status.Type,
		Zone:           status.Zone,
		Spot:           status.Spot,
		Incarnation:    status.Incarnation,
		SequenceNumber: status.SequenceNumber,
		FencingToken:   status.FencingToken,
		Tasks:          []TaskStatus{},
	}
	if status.PreemptionNotice >= 0 {
		encoded.PreemptionNotice = &status.PreemptionNotice
	}
	for _, task := range status.Tasks {
		encoded.Tasks = append(encoded.Tasks, encodeTask(task))
	}
	return encoded
}

func encodeTask(task cluster.TaskStatus) TaskStatus {
	encoded := TaskStatus{
		Task:    task.Task.String(),
		Attempt: task.Attempt,
		State:   taskStateNames[task.State],
	}
	if task.State == cluster.Ended {
		encoded.Cause = causeNames[task.Cause]
		encoded.Checkpointed = task.Checkpointed
	}
	return encoded
}
