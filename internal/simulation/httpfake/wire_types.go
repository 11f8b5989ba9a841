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
