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
	unsafePathCharacters = " /?#%"
	// noNotice is the Notice of a machine that the cloud has not called back.
	noPreemptionNotice = -1
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

type heartbeatStatus struct {
	Machine          string       `json:"coach"`
	Address          string       `json:"addr"`
	Type             string       `json:"fleet"`
	Zone             string       `json:"yard"`
	Spot             bool         `json:"standby"`
	Incarnation      uint64       `json:"shift"`
	SequenceNumber   uint64       `json:"stamp"`
	FencingToken     uint64       `json:"baton"`
	PreemptionNotice *float64     `json:"recallS"`
	Tasks            []taskStatus `json:"legs"`
}

type taskStatus struct {
	Task    string `json:"leg"`
	Attempt uint64 `json:"boarding"`
	State   string `json:"status"`
	Cause   string `json:"cause"`
	Saved   bool   `json:"stored"`
}

var taskStates = map[string]core.TaskState{
	"fetching": core.Fetching,
	"running":  core.Running,
	"flushing": core.Checkpointing,
	"ended":    core.Ended,
}

var endCauses = map[string]core.Cause{
	"done":    core.CauseCompleted,
	"stopped": core.CauseStopped,
	"error":   core.CauseFailed,
	"full":    core.CauseNoCapacity,
	"busy":    core.CauseDuplicateAttempt,
	"no_such": core.CauseUnknownTask,
}

// DecodeReport reads a worker's report.
func DecodeHeartbeatStatus(body []byte) (core.HeartbeatStatus, error) {
	var form heartbeatStatus
	if err := json.Unmarshal(body, &form); err != nil {
		return core.HeartbeatStatus{}, fmt.Errorf("reading report: %w", err)
	}
	if !isValidMachineID(form.Machine) || form.Incarnation == 0 {
		return core.HeartbeatStatus{}, ErrNoIdentity
	}
	decoded := core.HeartbeatStatus{
		Machine:          core.MachineID(form.Machine),
		Addr:             form.Address,
		Type:             form.Type,
		Zone:             form.Zone,
		Spot:             form.Spot,
		Incarnation:      core.Incarnation(form.Incarnation),
		SequenceNumber:   core.SequenceNumber(form.SequenceNumber),
		FencingToken:     core.FencingToken(form.FencingToken),
		PreemptionNotice: noPreemptionNotice,
	}
	if form.PreemptionNotice != nil {
		decoded.PreemptionNotice = max(0, *form.PreemptionNotice)
	}
	for _, t := range form.Tasks {
		task, err := t.decode()
		if err != nil {
			return core.HeartbeatStatus{}, err
		}
		decoded.Tasks = append(decoded.Tasks, task)
	}
	return decoded, nil
}

func isValidMachineID(id string) bool {
	return id != "" && len(id) <= maxMachineIDLength && !strings.ContainsAny(id, unsafePathCharacters)
}

func (t *taskStatus) decode() (core.TaskStatus, error) {
	task, wellFormed := core.ParseTaskID(t.Task)
	state, known := taskStates[t.State]
	if !wellFormed || !known {
		return core.TaskStatus{}, &UnknownTaskError{Task: t.Task, State: t.State}
	}
	decoded := core.TaskStatus{
		Task:         task,
		Attempt:      core.Attempt(t.Attempt),
		State:        state,
		Checkpointed: t.Saved,
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
	return core.CauseFailed
}

type command struct {
	Kind    string   `json:"verb"`
	Task    string   `json:"leg"`
	Attempt uint64   `json:"boarding"`
	Grace   *float64 `json:"layoverS,omitempty"`
}

var commandNames = map[core.CommandKind]string{
	core.Start:       "start",
	core.Stop:        "halt",
	core.Acknowledge: "reap",
}

func encodeCommands(commands []core.Command) []command {
	forms := make([]command, 0, len(commands))
	for _, c := range commands {
		form := command{
			Kind:    commandNames[c.Kind],
			Task:    c.Task.String(),
			Attempt: uint64(c.Attempt),
		}
		if c.Kind == core.Stop {
			form.Grace = &c.GraceSeconds
		}
		forms = append(forms, form)
	}
	return forms
}

type redirection struct {
	Node core.NodeID `json:"dispatcher,omitempty"`
}

type heartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []command `json:"dispatches"`
}

// EncodeWorkerAnswer writes the body of an answer to a report: a redirection
// with status 421, otherwise commands.
func EncodeHeartbeatResponse(status core.ReplyStatus, answer core.HeartbeatResponse) []byte {
	if status == core.ReplyMisdirected {
		return marshal(redirection{Node: answer.RedirectTo})
	}
	return marshal(heartbeatResponse{
		FencingToken: uint64(answer.FencingToken),
		Commands:     encodeCommands(answer.Commands),
	})
}

type pushCommands struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"shift"`
	Commands     []command `json:"dispatches"`
}

// EncodeOrders writes commands that are sent straight to a worker.
func EncodePushCommands(o core.PushCommands) []byte {
	return marshal(pushCommands{
		FencingToken: uint64(o.FencingToken),
		Incarnation:  uint64(o.Incarnation),
		Commands:     encodeCommands(o.Commands),
	})
}
