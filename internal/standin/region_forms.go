package standin

import (
	"encoding/json"

	"stairrelay/internal/core"
)

// commandForm is a command to a worker.
type commandForm struct {
	Verb    string  `json:"verb"`
	Task    string  `json:"leg"`
	Attempt uint64  `json:"boarding"`
	Grace   float64 `json:"layoverS"`
}

var verbs = map[string]core.Verb{
	"start": core.Start,
	"halt":  core.Stop,
	"reap":  core.Forget,
}

func decodeCommands(forms []commandForm) []core.Command {
	var commands []core.Command
	for _, form := range forms {
		task, _ := core.ParseTask(form.Task)
		commands = append(commands, core.Command{
			Verb:    verbs[form.Verb],
			Task:    task,
			Attempt: core.Attempt(form.Attempt),
			Grace:   form.Grace,
		})
	}
	return commands
}

// reportForm is a worker's report.
type reportForm struct {
	Machine core.MachineID `json:"coach"`
	Addr    string         `json:"addr"`
	Type    string         `json:"fleet"`
	Zone    string         `json:"yard"`
	Spot    bool           `json:"standby"`
	Session core.Session   `json:"shift"`
	Stamp   core.Stamp     `json:"stamp"`
	Token   core.Token     `json:"baton"`
	Notice  *float64       `json:"recallS"`
	Tasks   []taskForm     `json:"legs"`
}

// taskForm is a task in a worker's report; only one that has ended has a cause.
type taskForm struct {
	Task    string       `json:"leg"`
	Attempt core.Attempt `json:"boarding"`
	State   string       `json:"status"`
	Cause   string       `json:"cause,omitempty"`
	Saved   bool         `json:"stored,omitempty"`
}

var stateNames = map[core.TaskState]string{
	core.Fetching: "fetching",
	core.Running:  "running",
	core.Saving:   "flushing",
	core.Ended:    "ended",
}

var causeNames = map[core.Cause]string{
	core.CauseDone:    "done",
	core.CauseStopped: "stopped",
	core.CauseError:   "error",
	core.CauseFull:    "full",
	core.CauseBusy:    "busy",
	core.CauseNoSuch:  "no_such",
}

func encodeReport(report core.Report, addr string) reportForm {
	form := reportForm{
		Machine: report.Machine,
		Addr:    addr,
		Type:    report.Type,
		Zone:    report.Zone,
		Spot:    report.Spot,
		Session: report.Session,
		Stamp:   report.Stamp,
		Token:   report.Token,
		Tasks:   []taskForm{},
	}
	for _, task := range report.Tasks {
		form.Tasks = append(form.Tasks, encodeTask(task))
	}
	return form
}

func encodeTask(task core.TaskReport) taskForm {
	form := taskForm{
		Task:    task.Task.String(),
		Attempt: task.Attempt,
		State:   stateNames[task.State],
	}
	if task.State == core.Ended {
		form.Cause = causeNames[task.Cause]
		form.Saved = task.Saved
	}
	return form
}

// submissionForm is a user's submission.
type submissionForm struct {
	ID         string  `json:"id"`
	Class      string  `json:"route"`
	Team       string  `json:"crew"`
	Shape      string  `json:"shape"`
	Priority   string  `json:"urgency"`
	Tasks      int     `json:"legs"`
	CPU        float64 `json:"vcpus"`
	GPU        float64 `json:"accelerators"`
	Memory     float64 `json:"memoryGb"`
	Image      string  `json:"bundle"`
	ImageGB    float64 `json:"sizeGb"`
	SamePlace  bool    `json:"samePlace"`
	Scatter    bool    `json:"scatter"`
	Spot       bool    `json:"standby"`
	Runtime    float64 `json:"runtimeS"`
	Checkpoint float64 `json:"waypointS"`
	Save       float64 `json:"stowS"`
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
