package httpfake

import (
	"encoding/json"

	"stairrelay/internal/cluster"
)

// command is a command to a worker on the wire.
type command struct {
	Kind         string  `json:"verb"`
	Task         string  `json:"leg"`
	Attempt      uint64  `json:"boarding"`
	GraceSeconds float64 `json:"layoverS"`
}

// commandKinds maps command names on the wire to their kinds.
var commandKinds = map[string]cluster.CommandKind{
	"start": cluster.Start,
	"halt":  cluster.Stop,
	"reap":  cluster.Acknowledge,
}

func decodeCommands(encoded []command) []cluster.Command {
	var commands []cluster.Command
	for _, c := range encoded {
		task, _ := cluster.ParseTaskID(c.Task)
		commands = append(commands, cluster.Command{
			Kind:         commandKinds[c.Kind],
			Task:         task,
			Attempt:      cluster.Attempt(c.Attempt),
			GraceSeconds: c.GraceSeconds,
		})
	}
	return commands
}

// heartbeatStatus is a worker's status on the wire.
type heartbeatStatus struct {
	Machine          cluster.MachineID      `json:"coach"`
	Address          string                 `json:"addr"`
	Type             string                 `json:"fleet"`
	Zone             string                 `json:"yard"`
	Spot             bool                   `json:"standby"`
	Incarnation      cluster.Incarnation    `json:"shift"`
	SequenceNumber   cluster.SequenceNumber `json:"stamp"`
	FencingToken     cluster.FencingToken   `json:"baton"`
	PreemptionNotice *float64               `json:"recallS"`
	Tasks            []taskStatus           `json:"legs"`
}

// taskStatus is a task in a heartbeatStatus. Cause and Checkpointed are set only if the
// task has ended.
type taskStatus struct {
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

func encodeHeartbeat(status cluster.HeartbeatStatus, addr string) heartbeatStatus {
	encoded := heartbeatStatus{
		Machine:        status.Machine,
		Address:        addr,
		Type:           status.Type,
		Zone:           status.Zone,
		Spot:           status.Spot,
		Incarnation:    status.Incarnation,
		SequenceNumber: status.SequenceNumber,
		FencingToken:   status.FencingToken,
		Tasks:          []taskStatus{},
	}
	for _, task := range status.Tasks {
		encoded.Tasks = append(encoded.Tasks, encodeTask(task))
	}
	return encoded
}

func encodeTask(task cluster.TaskStatus) taskStatus {
	encoded := taskStatus{
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

// submission is the body of a job submission.
type submission struct {
	ID                 string  `json:"id"`
	Class              string  `json:"route"`
	Team               string  `json:"crew"`
	Shape              string  `json:"shape"`
	Priority           string  `json:"urgency"`
	Tasks              int     `json:"legs"`
	CPU                float64 `json:"vcpus"`
	GPU                float64 `json:"accelerators"`
	Memory             float64 `json:"memoryGb"`
	Image              string  `json:"bundle"`
	ImageGB            float64 `json:"sizeGb"`
	Colocate           bool    `json:"samePlace"`
	Spread             bool    `json:"scatter"`
	Spot               bool    `json:"standby"`
	Runtime            float64 `json:"runtimeS"`
	CheckpointInterval float64 `json:"waypointS"`
	SaveDuration       float64 `json:"stowS"`
}

// Submission returns the body of a submission of a job with small tasks.
func Submission(id, team string, tasks int) string {
	body, _ := json.Marshal(submission{
		ID:       id,
		Class:    "c",
		Team:     team,
		Shape:    "sweep",
		Priority: "normal",
		Tasks:    tasks,
		CPU:      1,
		Memory:   1,
		Image:    "img",
		ImageGB:  0.1,
		Spot:     true,
		Runtime:  1,
	})
	return string(body)
}
