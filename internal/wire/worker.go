package wire

import (
	"bytes"
	"strings"

	"github.com/go-json-experiment/json/jsontext"

	"stairrelay/internal/cluster"
	"stairrelay/internal/exactjson"
	"stairrelay/internal/messages"
)

// machineIDField is the field of a heartbeat that contains the machine ID.
const machineIDField = "coach"

// heartbeatBody is the kind of body of a heartbeat, as named in errors.
const heartbeatBody = "heartbeat"

const (
	// maxMachineIDLength keeps the records that contain a machine ID within the store's
	// limit for the size of a value.
	maxMachineIDLength = 150
	// forbiddenMachineIDCharacters are not allowed in a machine ID. The ID is the first
	// of the space-separated fields of a machine entry in a group record, so a space
	// would corrupt the entry. The other characters have a special meaning in URLs.
	forbiddenMachineIDCharacters = " /?#%"
	// noPreemptionNotice is the PreemptionNotice of a machine that has received no
	// notice.
	noPreemptionNotice = -1
)

// heartbeatStatus is the JSON encoding of the status in a heartbeat.
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

// taskStatus is the JSON encoding of a task in a heartbeat.
type taskStatus struct {
	Task         string `json:"leg"`
	Attempt      uint64 `json:"boarding"`
	State        string `json:"status"`
	Cause        string `json:"cause"`
	Checkpointed bool   `json:"stored"`
}

// taskStates maps the names of task states in a heartbeat to the states.
var taskStates = map[string]cluster.TaskState{
	"fetching": cluster.Fetching,
	"running":  cluster.Running,
	"flushing": cluster.Checkpointing,
	"ended":    cluster.Ended,
}

// endCauses maps the names of causes in a heartbeat to the causes for which a task
// ended.
var endCauses = map[string]cluster.Cause{
	"done":    cluster.CauseCompleted,
	"stopped": cluster.CauseStopped,
	"error":   cluster.CauseFailed,
	"full":    cluster.CauseNoCapacity,
	"busy":    cluster.CauseDuplicateAttempt,
	"no_such": cluster.CauseUnknownTask,
}

// DecodeHeartbeatStatus decodes the status that a worker sends in a heartbeat, or in
// response to a command push or a status query. A body without a valid machine ID or
// without an incarnation is an error, and so is a task with an invalid ID or an unknown
// state.
func DecodeHeartbeatStatus(body []byte) (cluster.HeartbeatStatus, error) {
	var payload heartbeatStatus
	if err := unmarshal(body, heartbeatBody, &payload); err != nil {
		return cluster.HeartbeatStatus{}, err
	}
	if !isValidMachineID(payload.Machine) || payload.Incarnation == 0 {
		return cluster.HeartbeatStatus{}, &DecodeError{Kind: heartbeatBody, Err: ErrNoIdentity}
	}
	decoded := cluster.HeartbeatStatus{
		Machine:          cluster.MachineID(payload.Machine),
		Addr:             payload.Address,
		Type:             payload.Type,
		Zone:             payload.Zone,
		Spot:             payload.Spot,
		Incarnation:      cluster.Incarnation(payload.Incarnation),
		SequenceNumber:   cluster.SequenceNumber(payload.SequenceNumber),
		FencingToken:     cluster.FencingToken(payload.FencingToken),
		PreemptionNotice: noPreemptionNotice,
	}
	if payload.PreemptionNotice != nil {
		decoded.PreemptionNotice = max(0, *payload.PreemptionNotice)
	}
	for _, t := range payload.Tasks {
		task, err := t.decode()
		if err != nil {
			return cluster.HeartbeatStatus{}, &DecodeError{Kind: heartbeatBody, Err: err}
		}
		decoded.Tasks = append(decoded.Tasks, task)
	}
	decoded.FieldOverhead = cluster.FieldOverhead(len(body), payload.compactSize(), len(payload.Tasks))
	return decoded, nil
}

// compactSize returns the size of the compact encoding of the status, in bytes.
func (s *heartbeatStatus) compactSize() int {
	size := len(`{"coach":"","addr":"","fleet":"","yard":"","standby":false,"shift":,"stamp":,"baton":,"recallS":null,"legs":[]}`)
	size += len(s.Machine) + len(s.Address) + len(s.Type) + len(s.Zone)
	size += decimalLength(s.Incarnation) + decimalLength(s.SequenceNumber) + decimalLength(s.FencingToken)
	if s.PreemptionNotice != nil {
		size += maxDecimalLength
	}
	for i := range s.Tasks {
		size += s.Tasks[i].compactSize()
	}
	return size
}

// compactSize returns the size of the compact encoding of a task with its separator, in
// bytes.
func (t *taskStatus) compactSize() int {
	size := len(`{"leg":"","boarding":,"status":"","cause":"","stored":false},`)
	return size + len(t.Task) + decimalLength(t.Attempt) + len(t.State) + len(t.Cause)
}

// maxDecimalLength is the maximum length of an amount in decimal notation.
const maxDecimalLength = 24

// decimalLength returns the number of decimal digits of a number.
func decimalLength(number uint64) int {
	length := 1
	for ; number >= 10; number /= 10 {
		length++
	}
	return length
}

// DecodeMachineID returns the machine ID in the beginning of a heartbeat. It returns false if
// the ID is invalid or does not precede the end of the text.
func DecodeMachineID(beginning []byte) (cluster.MachineID, bool) {
	decoder := jsontext.NewDecoder(
		bytes.NewReader(beginning),
		jsontext.AllowDuplicateNames(true),
		jsontext.AllowInvalidUTF8(true),
	)
	if start, err := decoder.ReadToken(); err != nil || start.Kind() != jsontext.KindBeginObject {
		return "", false
	}
	for {
		name, err := decoder.ReadToken()
		if err != nil || name.Kind() != jsontext.KindString {
			return "", false // the end of the object or of the text
		}
		isMachineID := name.String() == machineIDField // a token is valid until the next read
		value, err := decoder.ReadValue()
		if err != nil {
			return "", false
		}
		var id string
		if isMachineID && exactjson.Unmarshal(value, &id) == nil && isValidMachineID(id) {
			return cluster.MachineID(id), true
		}
	}
}

// isValidMachineID reports whether a machine ID is not empty, at most maxMachineIDLength
// bytes long, and without forbidden characters.
func isValidMachineID(id string) bool {
	return id != "" && len(id) <= maxMachineIDLength && !strings.ContainsAny(id, forbiddenMachineIDCharacters)
}

func (t *taskStatus) decode() (cluster.TaskStatus, error) {
	task, wellFormed := cluster.ParseTaskID(t.Task)
	state, known := taskStates[t.State]
	if !wellFormed || !known {
		return cluster.TaskStatus{}, &InvalidTaskStatusError{Task: t.Task, State: t.State}
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

// decodeCause decodes the cause for which a task ended. An unknown cause counts as a
// failure. If it counted as a success, the task would not run again.
func decodeCause(text string) cluster.Cause {
	if cause, known := endCauses[text]; known {
		return cause
	}
	return cluster.CauseFailed
}

// command is the JSON encoding of a command to a worker.
type command struct {
	Kind         string   `json:"verb"`
	Task         string   `json:"leg"`
	Attempt      uint64   `json:"boarding"`
	GraceSeconds *float64 `json:"layoverS,omitempty"`
}

// commandNames maps the kinds of commands to their names on the wire.
var commandNames = map[cluster.CommandKind]string{
	cluster.Start:       "start",
	cluster.Stop:        "halt",
	cluster.Acknowledge: "reap",
}

func encodeCommands(commands []cluster.Command) []command {
	payloads := make([]command, 0, len(commands))
	for _, c := range commands {
		payload := command{
			Kind:    commandNames[c.Kind],
			Task:    c.Task.String(),
			Attempt: uint64(c.Attempt),
		}
		if c.Kind == cluster.Stop {
			payload.GraceSeconds = &c.GraceSeconds
		}
		payloads = append(payloads, payload)
	}
	return payloads
}

// redirection is the JSON encoding of a response that redirects a worker to another
// controller.
type redirection struct {
	Node cluster.NodeID `json:"dispatcher,omitempty"`
}

// heartbeatResponse is the JSON encoding of a response with commands.
type heartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []command `json:"dispatches"`
}

// EncodeHeartbeatResponse encodes the body of the response to a heartbeat: a
// redirection for status 421, commands for any other status.
func EncodeHeartbeatResponse(status messages.ResponseStatus, response messages.HeartbeatResponse) []byte {
	if status == messages.StatusMisdirected {
		return marshal(redirection{Node: response.RedirectTo})
	}
	return marshal(heartbeatResponse{
		FencingToken: uint64(response.FencingToken),
		Commands:     encodeCommands(response.Commands),
	})
}

// pushCommands is the JSON encoding of a command push.
type pushCommands struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"shift"`
	Commands     []command `json:"dispatches"`
}

// EncodePushCommands encodes commands that are pushed to a worker.
func EncodePushCommands(push messages.PushCommands) []byte {
	return marshal(pushCommands{
		FencingToken: uint64(push.FencingToken),
		Incarnation:  uint64(push.Incarnation),
		Commands:     encodeCommands(push.Commands),
	})
}
