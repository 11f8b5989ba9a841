package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"stairrelay/internal/core"
)

const (
	// maxMachineIDLength keeps a machine's records under the state service's limits.
	maxMachineIDLength = 150
	// unsafeInPaths are the characters that a machine's id must not have, since
	// it becomes part of a key's path.
	unsafeInPaths = " /?#%"
	// noNotice is the Notice of a machine that the cloud has not called back.
	noNotice = -1
)

// ErrNoIdentity is the error of a report that does not say whose it is.
var ErrNoIdentity = errors.New("report without machine or session")

// UnknownTaskError is the error of a report with a task whose name or state is
// not the protocol's.
type UnknownTaskError struct {
	Task  string
	State string
}

// Error names the task and its state.
func (e *UnknownTaskError) Error() string {
	return fmt.Sprintf("report with task %q in state %q", e.Task, e.State)
}

type report struct {
	Machine string       `json:"coach"`
	Addr    string       `json:"addr"`
	Type    string       `json:"fleet"`
	Zone    string       `json:"yard"`
	Spot    bool         `json:"standby"`
	Session uint64       `json:"shift"`
	Stamp   uint64       `json:"stamp"`
	Token   uint64       `json:"baton"`
	Notice  *float64     `json:"recallS"`
	Tasks   []taskReport `json:"legs"`
}

type taskReport struct {
	Task    string `json:"leg"`
	Attempt uint64 `json:"boarding"`
	State   string `json:"status"`
	Cause   string `json:"cause"`
	Saved   bool   `json:"stored"`
}

var taskStates = map[string]core.TaskState{
	"fetching": core.Fetching,
	"running":  core.Running,
	"flushing": core.Saving,
	"ended":    core.Ended,
}

var endCauses = map[string]core.Cause{
	"done":    core.CauseDone,
	"stopped": core.CauseStopped,
	"error":   core.CauseError,
	"full":    core.CauseFull,
	"busy":    core.CauseBusy,
	"no_such": core.CauseNoSuch,
}

// DecodeReport reads a worker's report.
func DecodeReport(body []byte) (core.Report, error) {
	var form report
	if err := json.Unmarshal(body, &form); err != nil {
		return core.Report{}, fmt.Errorf("reading report: %w", err)
	}
	if !validMachineID(form.Machine) || form.Session == 0 {
		return core.Report{}, ErrNoIdentity
	}
	decoded := core.Report{
		Machine: core.MachineID(form.Machine),
		Addr:    form.Addr,
		Type:    form.Type,
		Zone:    form.Zone,
		Spot:    form.Spot,
		Session: core.Session(form.Session),
		Stamp:   core.Stamp(form.Stamp),
		Token:   core.Token(form.Token),
		Notice:  noNotice,
	}
	if form.Notice != nil {
		decoded.Notice = max(0, *form.Notice)
	}
	for _, t := range form.Tasks {
		task, err := t.decode()
		if err != nil {
			return core.Report{}, err
		}
		decoded.Tasks = append(decoded.Tasks, task)
	}
	return decoded, nil
}

func validMachineID(id string) bool {
	return id != "" && len(id) <= maxMachineIDLength && !strings.ContainsAny(id, unsafeInPaths)
}

func (t *taskReport) decode() (core.TaskReport, error) {
	task, wellFormed := core.ParseTask(t.Task)
	state, known := taskStates[t.State]
	if !wellFormed || !known {
		return core.TaskReport{}, &UnknownTaskError{Task: t.Task, State: t.State}
	}
	decoded := core.TaskReport{
		Task:    task,
		Attempt: core.Attempt(t.Attempt),
		State:   state,
		Saved:   t.Saved,
	}
	if state == core.Ended {
		decoded.Cause = decodeCause(t.Cause)
	}
	return decoded, nil
}

// decodeCause takes a cause that is not known for an error, never for success.
func decodeCause(text string) core.Cause {
	if cause, known := endCauses[text]; known {
		return cause
	}
	return core.CauseError
}

type command struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"leg"`
	Attempt uint64   `json:"boarding"`
	Grace   *float64 `json:"layoverS,omitempty"`
}

var verbs = map[core.Verb]string{
	core.Start:  "start",
	core.Stop:   "halt",
	core.Forget: "reap",
}

func encodeCommands(commands []core.Command) []command {
	forms := make([]command, 0, len(commands))
	for _, c := range commands {
		form := command{
			Verb:    verbs[c.Verb],
			Task:    c.Task.String(),
			Attempt: uint64(c.Attempt),
		}
		if c.Verb == core.Stop {
			form.Grace = &c.Grace
		}
		forms = append(forms, form)
	}
	return forms
}

type redirection struct {
	Node core.NodeID `json:"dispatcher,omitempty"`
}

type workerAnswer struct {
	Token    uint64    `json:"baton"`
	Commands []command `json:"dispatches"`
}

// EncodeWorkerAnswer writes the body of an answer to a report: a redirection
// with status 421, otherwise commands.
func EncodeWorkerAnswer(status core.ReplyStatus, answer core.WorkerAnswer) []byte {
	if status == core.ReplyElsewhere {
		return marshal(redirection{Node: answer.Redirect})
	}
	return marshal(workerAnswer{
		Token:    uint64(answer.Token),
		Commands: encodeCommands(answer.Commands),
	})
}

type orders struct {
	Token    uint64    `json:"baton"`
	Session  uint64    `json:"shift"`
	Commands []command `json:"dispatches"`
}

// EncodeOrders writes commands that are sent straight to a worker.
func EncodeOrders(o core.Orders) []byte {
	return marshal(orders{
		Token:    uint64(o.Token),
		Session:  uint64(o.Session),
		Commands: encodeCommands(o.Commands),
	})
}
