package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// maxMachineIDLength keeps a machine's records under the state service's limits.
	maxMachineIDLength = 150
	// unsafePathCharacters are the characters that a machine's id must not have, since
	// it becomes part of a key's path.
	unsafePathCharacters = " /?#%"
	// noPreemptionNotice is the Notice of a machine that the cloud has not called back.
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

var taskStates = map[string]cluster.TaskState{
	"fetching": cluster.Fetching,
	"running":  cluster.Running,
	"flushing": cluster.Checkpointing,
	"ended":    cluster.Ended,
}

var endCauses = map[string]cluster.Cause{
	"done":    cluster.CauseCompleted,
	"stopped": cluster.CauseStopped,
	"error":   cluster.CauseFailed,
	"full":    cluster.CauseNoCapacity,
	"busy":    cluster.CauseDuplicateAttempt,
	"no_such": cluster.CauseUnknownTask,
}

// DecodeHeartbeatStatus reads a worker's report.
func DecodeHeartbeatStatus(body []byte) (cluster.HeartbeatStatus, error) {
	var form heartbeatStatus
	if err := json.Unmarshal(body, &form); err != nil {
		return cluster.HeartbeatStatus{}, fmt.Errorf("reading report: %w", err)
	}
	if !isValidMachineID(form.Machine) || form.Incarnation == 0 {
		return cluster.HeartbeatStatus{}, ErrNoIdentity
	}
	decoded := cluster.HeartbeatStatus{
		Machine:          cluster.MachineID(form.Machine),
		Addr:             form.Address,
		Type:             form.Type,
		Zone:             form.Zone,
		Spot:             form.Spot,
		Incarnation:      cluster.Incarnation(form.Incarnation),
		SequenceNumber:   cluster.SequenceNumber(form.SequenceNumber),
		FencingToken:     cluster.FencingToken(form.FencingToken),
		PreemptionNotice: noPreemptionNotice,
	}
	if form.PreemptionNotice != nil {
		decoded.PreemptionNotice = max(0, *form.PreemptionNotice)
	}
	for _, t := range form.Tasks {
		task, err := t.decode()
		if err != nil {
			return cluster.HeartbeatStatus{}, err
		}
		decoded.Tasks = append(decoded.Tasks, task)
	}
	return decoded, nil
}

func isValidMachineID(id string) bool {
	return id != "" && len(id) <= maxMachineIDLength && !strings.ContainsAny(id, unsafePathCharacters)
}

func (t *taskStatus) decode() (cluster.TaskStatus, error) {
	task, wellFormed := cluster.ParseTaskID(t.Task)
	state, known := taskStates[t.State]
	if !wellFormed || !known {
		return cluster.TaskStatus{}, &UnknownTaskError{Task: t.Task, State: t.State}
	}
	decoded := cluster.TaskStatus{
		Task:         task,
		Attempt:      cluster.Attempt(t.Attempt),
		State:        state,
		Checkpointed: t.Saved,
	}
	if state == cluster.Ended {
		decoded.Cause = decodeCause(t.Cause)
	}
	return decoded, nil
}

// decodeCause takes a cause that is not known for an error, never for success.
func decodeCause(text string) cluster.Cause {
	if cause, known := endCauses[text]; known {
		return cause
	}
	return cluster.CauseFailed
}

type command struct {
	Kind    string   `json:"verb"`
	Task    string   `json:"leg"`
	Attempt uint64   `json:"boarding"`
	Grace   *float64 `json:"layoverS,omitempty"`
}

var commandNames = map[cluster.CommandKind]string{
	cluster.Start:       "start",
	cluster.Stop:        "halt",
	cluster.Acknowledge: "reap",
}

func encodeCommands(commands []cluster.Command) []command {
	forms := make([]command, 0, len(commands))
	for _, c := range commands {
		form := command{
			Kind:    commandNames[c.Kind],
			Task:    c.Task.String(),
			Attempt: uint64(c.Attempt),
		}
		if c.Kind == cluster.Stop {
			form.Grace = &c.GraceSeconds
		}
		forms = append(forms, form)
	}
	return forms
}

type redirection struct {
	Node cluster.NodeID `json:"dispatcher,omitempty"`
}

type heartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []command `json:"dispatches"`
}

// EncodeHeartbeatResponse writes the body of an answer to a report: a redirection
// with status 421, otherwise commands.
func EncodeHeartbeatResponse(status messages.ReplyStatus, answer messages.HeartbeatResponse) []byte {
	if status == messages.ReplyMisdirected {
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

// EncodePushCommands writes commands that are sent straight to a worker.
func EncodePushCommands(o messages.PushCommands) []byte {
	return marshal(pushCommands{
		FencingToken: uint64(o.FencingToken),
		Incarnation:  uint64(o.Incarnation),
		Commands:     encodeCommands(o.Commands),
	})
}
