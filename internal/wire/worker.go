package wire

import (
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// heartbeatBody is how errors name the body of a heartbeat.
const heartbeatBody = "heartbeat"

const (
	// maxMachineIDLength keeps the records of a machine under the limits of the state
	// service.
	maxMachineIDLength = 150
	// unsafePathCharacters are the characters that a machine's id must not have, since
	// it becomes a component of the path of a key.
	unsafePathCharacters = " /?#%"
	// noPreemptionNotice is the PreemptionNotice of a machine without one.
	noPreemptionNotice = -1
)

// heartbeatStatus is the form of a heartbeat.
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

// taskStatus is the form of a task in a heartbeat.
type taskStatus struct {
	Task         string `json:"leg"`
	Attempt      uint64 `json:"boarding"`
	State        string `json:"status"`
	Cause        string `json:"cause"`
	Checkpointed bool   `json:"stored"`
}

// taskStates are the states of tasks by their names in a heartbeat.
var taskStates = map[string]cluster.TaskState{
	"fetching": cluster.Fetching,
	"running":  cluster.Running,
	"flushing": cluster.Checkpointing,
	"ended":    cluster.Ended,
}

// endCauses are the causes of the end of a task by their names in a heartbeat.
var endCauses = map[string]cluster.Cause{
	"done":    cluster.CauseCompleted,
	"stopped": cluster.CauseStopped,
	"error":   cluster.CauseFailed,
	"full":    cluster.CauseNoCapacity,
	"busy":    cluster.CauseDuplicateAttempt,
	"no_such": cluster.CauseUnknownTask,
}

// DecodeHeartbeatStatus reads the status that a worker sends, with a heartbeat or in
// response to a command push or a status query.
func DecodeHeartbeatStatus(body []byte) (cluster.HeartbeatStatus, error) {
	var form heartbeatStatus
	if err := unmarshal(body, heartbeatBody, &form); err != nil {
		return cluster.HeartbeatStatus{}, err
	}
	if !isValidMachineID(form.Machine) || form.Incarnation == 0 {
		return cluster.HeartbeatStatus{}, &DecodeError{What: heartbeatBody, Err: ErrNoIdentity}
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
			return cluster.HeartbeatStatus{}, &DecodeError{What: heartbeatBody, Err: err}
		}
		decoded.Tasks = append(decoded.Tasks, task)
	}
	return decoded, nil
}

// isValidMachineID tells whether a machine's id can be a component of a key.
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
		Checkpointed: t.Checkpointed,
	}
	if state == cluster.Ended {
		decoded.Cause = decodeCause(t.Cause)
	}
	return decoded, nil
}

// decodeCause takes an unknown cause for a failure, never for success: a task counted
// as completed never runs again.
func decodeCause(text string) cluster.Cause {
	if cause, known := endCauses[text]; known {
		return cause
	}
	return cluster.CauseFailed
}

// command is the form of a command to a worker.
type command struct {
	Kind    string   `json:"verb"`
	Task    string   `json:"leg"`
	Attempt uint64   `json:"boarding"`
	Grace   *float64 `json:"layoverS,omitempty"`
}

// commandNames are the names of commands on the wire.
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

// redirection is the form of a response that sends a worker to another controller.
type redirection struct {
	Node cluster.NodeID `json:"dispatcher,omitempty"`
}

// heartbeatResponse is the form of a response with commands.
type heartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []command `json:"dispatches"`
}

// EncodeHeartbeatResponse writes the body of the response to a heartbeat: a redirection
// with status 421, otherwise commands.
func EncodeHeartbeatResponse(status messages.ReplyStatus, response messages.HeartbeatResponse) []byte {
	if status == messages.ReplyMisdirected {
		return marshal(redirection{Node: response.RedirectTo})
	}
	return marshal(heartbeatResponse{
		FencingToken: uint64(response.FencingToken),
		Commands:     encodeCommands(response.Commands),
	})
}

// pushCommands is the form of a command push.
type pushCommands struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"shift"`
	Commands     []command `json:"dispatches"`
}

// EncodePushCommands writes commands that are pushed to a worker.
func EncodePushCommands(push messages.PushCommands) []byte {
	return marshal(pushCommands{
		FencingToken: uint64(push.FencingToken),
		Incarnation:  uint64(push.Incarnation),
		Commands:     encodeCommands(push.Commands),
	})
}
