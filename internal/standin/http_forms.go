package standin

import (
	"encoding/json"

	"stairrelay/internal/core"
)

// commandForm is a command to a worker.
type commandForm struct {
	Kind         string  `json:"verb"`
	Task         string  `json:"leg"`
	Attempt      uint64  `json:"boarding"`
	GraceSeconds float64 `json:"layoverS"`
}

var commandKinds = map[string]core.CommandKind{
	"start": core.Start,
	"halt":  core.Stop,
	"reap":  core.Acknowledge,
}

func decodeCommands(forms []commandForm) []core.Command {
	var commands []core.Command
	for _, form := range forms {
		task, _ := core.ParseTaskID(form.Task)
		commands = append(commands, core.Command{
			Kind:         commandKinds[form.Kind],
			Task:         task,
			Attempt:      core.Attempt(form.Attempt),
			GraceSeconds: form.GraceSeconds,
		})
	}
	return commands
}

// reportForm is a worker's report.
type heartbeatForm struct {
	Machine          core.MachineID      `json:"coach"`
	Address          string              `json:"addr"`
	Type             string              `json:"fleet"`
	Zone             string              `json:"yard"`
	Spot             bool                `json:"standby"`
	Incarnation      core.Incarnation    `json:"shift"`
	SequenceNumber   core.SequenceNumber `json:"stamp"`
	FencingToken     core.FencingToken   `json:"baton"`
	PreemptionNotice *float64            `json:"recallS"`
	Tasks            []taskForm          `json:"legs"`
}

// taskForm is a task in a worker's report; only one that has ended has a cause.
type taskForm struct {
	Task    string       `json:"leg"`
	Attempt core.Attempt `json:"boarding"`
	State   string       `json:"status"`
	Cause   string       `json:"cause,omitempty"`
	Saved   bool         `json:"stored,omitempty"`
}

var taskStateNames = map[core.TaskState]string{
	core.Fetching:      "fetching",
	core.Running:       "running",
	core.Checkpointing: "flushing",
	core.Ended:         "ended",
}

var causeNames = map[core.Cause]string{
	core.CauseCompleted:        "done",
	core.CauseStopped:          "stopped",
	core.CauseFailed:           "error",
	core.CauseNoCapacity:       "full",
	core.CauseDuplicateAttempt: "busy",
	core.CauseUnknownTask:      "no_such",
}

func encodeHeartbeat(report core.HeartbeatStatus, addr string) heartbeatForm {
	form := heartbeatForm{
		Machine:        report.Machine,
		Address:        addr,
		Type:           report.Type,
		Zone:           report.Zone,
		Spot:           report.Spot,
		Incarnation:    report.Incarnation,
		SequenceNumber: report.SequenceNumber,
		FencingToken:   report.FencingToken,
		Tasks:          []taskForm{},
	}
	for _, task := range report.Tasks {
		form.Tasks = append(form.Tasks, encodeTask(task))
	}
	return form
}

func encodeTask(task core.TaskStatus) taskForm {
	form := taskForm{
		Task:    task.Task.String(),
		Attempt: task.Attempt,
		State:   taskStateNames[task.State],
	}
	if task.State == core.Ended {
		form.Cause = causeNames[task.Cause]
		form.Saved = task.Checkpointed
	}
	return form
}

// submissionForm is a user's submission.
type submissionForm struct {
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

// Submission is the body of a submission of small tasks.
func Submission(id, team string, tasks int) string {
	body, _ := json.Marshal(submissionForm{
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
