package grouprecord

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"stairrelay/internal/cluster"
)

// Errors of malformed records. ErrInvalidKind and ErrInvalidAddress are wrapped in a
// MachineError, which quotes the line.
var (
	// ErrNoMachines: the record has no list of machines.
	ErrNoMachines = errors.New("group without machines")
	// ErrInvalidKind: a line's kind is not in the record's table of kinds.
	ErrInvalidKind = errors.New("kind")
	// ErrInvalidAddress: a line's address is not in a form that packAddress writes.
	ErrInvalidAddress = errors.New("address")
)

// MachineError is an error in the line of a machine.
type MachineError struct {
	Line string
	Err  error // nil: the line has too few fields or no id
}

// Error returns the line, quoted, and what is wrong with it.
func (e *MachineError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("machine %q", e.Line)
	}
	return fmt.Sprintf("machine %q: %v", e.Line, e.Err)
}

// Unwrap returns the cause, if there is one.
func (e *MachineError) Unwrap() error { return e.Err }

// RangeError is a malformed range of tasks in the line of a machine.
type RangeError struct{ Text string }

// Error returns the range, quoted.
func (e *RangeError) Error() string { return fmt.Sprintf("tasks %q", e.Text) }

// minLineFields is the number of fields before the ranges of tasks: id, kind and
// address.
const minLineFields = 3

// maxTaskIndex is larger than the index of any task. Without this bound, a short
// record with a large range would fill the memory.
const maxTaskIndex = 100_000

// Decode parses the JSON form. It returns an error for anything malformed: a
// *MachineError for a machine's line, which may wrap a *RangeError, ErrInvalidKind or
// ErrInvalidAddress; ErrNoMachines; or an error of package json.
func Decode(value []byte) (Record, error) {
	var form storedForm
	if err := json.Unmarshal(value, &form); err != nil {
		return Record{}, fmt.Errorf("reading group: %w", err)
	}
	if form.Machines == nil {
		return Record{}, ErrNoMachines
	}
	machines := make([]Machine, 0, len(form.Machines))
	for _, line := range form.Machines {
		machine, err := form.parseMachine(line)
		if err != nil {
			return Record{}, err
		}
		machines = append(machines, machine)
	}
	return Record{ShardID: form.ShardID, Machines: machines, WriteID: form.WriteID}, nil
}

// ShardOf parses only the shard of a record, which may be readable in one that Decode
// refuses. It reports false if it is not.
func ShardOf(value []byte) (cluster.ShardID, bool) {
	var form struct {
		ShardID *cluster.ShardID `json:"p"`
	}
	if json.Unmarshal(value, &form) != nil || form.ShardID == nil {
		return 0, false
	}
	return *form.ShardID, true
}

// parseMachine parses the line of a machine. Its errors are MachineErrors.
func (f *storedForm) parseMachine(line string) (Machine, error) {
	fields := strings.Split(line, " ")
	if len(fields) < minLineFields || fields[0] == "" {
		return Machine{}, &MachineError{Line: line}
	}
	machine := Machine{ID: cluster.MachineID(fields[0])}
	if err := f.parseKind(&machine, fields[1]); err != nil {
		return Machine{}, &MachineError{Line: line, Err: err}
	}
	var err error
	if machine.Address, err = unpackAddress(fields[2]); err != nil {
		return Machine{}, &MachineError{Line: line, Err: err}
	}
	for _, text := range fields[minLineFields:] {
		if machine.Tasks, err = f.appendRange(machine.Tasks, text); err != nil {
			return Machine{}, &MachineError{Line: line, Err: err}
		}
	}
	return machine, nil
}

// parseKind parses the kind and flags of a machine and sets them.
func (f *storedForm) parseKind(machine *Machine, text string) error {
	machine.Releasing = strings.ContainsRune(text, releasingFlag)
	machine.Booting = strings.ContainsRune(text, bootingFlag)
	number := strings.TrimRight(text, string([]rune{releasingFlag, bootingFlag}))
	index, err := strconv.Atoi(number)
	if err != nil || index < 0 || index >= len(f.Kinds) {
		return ErrInvalidKind
	}
	machine.Kind = f.Kinds[index]
	return nil
}

// appendRange parses job:first-last@attempt and appends its tasks. Its errors are
// RangeErrors.
func (f *storedForm) appendRange(tasks []Task, text string) ([]Task, error) {
	jobAndIndexes, attemptText, hasAttempt := strings.Cut(text, "@")
	jobText, indexes, hasIndexes := strings.Cut(jobAndIndexes, ":")
	job, jobErr := strconv.Atoi(jobText)
	first, last, indexErr := parseIndexes(indexes)
	firstAttempt, attemptErr := f.parseAttempt(attemptText)
	isMalformed := !hasAttempt || !hasIndexes || jobErr != nil || indexErr != nil || attemptErr != nil
	if isMalformed || job < 0 || job >= len(f.Jobs) || last < first || last > maxTaskIndex {
		return nil, &RangeError{Text: text}
	}
	for index := first; index <= last; index++ {
		tasks = append(tasks, Task{
			ID:      cluster.TaskID{Job: f.Jobs[job], Index: index},
			Attempt: firstAttempt + cluster.Attempt(index-first),
		})
	}
	return tasks, nil
}

// parseIndexes parses first-last, or a single index. As a dash separates them,
// neither can be negative.
func parseIndexes(text string) (first, last int, err error) {
	low, high, isRange := strings.Cut(text, "-")
	if first, err = strconv.Atoi(low); err != nil {
		return 0, 0, err
	}
	if !isRange {
		return first, first, nil
	}
	last, err = strconv.Atoi(high)
	return first, last, err
}

// parseAttempt parses claim.count, or only the count under the first claim of the
// table.
func (f *storedForm) parseAttempt(text string) (cluster.Attempt, error) {
	claim, countText := 0, text
	if before, after, found := strings.Cut(text, "."); found {
		var err error
		if claim, err = strconv.Atoi(before); err != nil {
			return 0, err
		}
		countText = after
	}
	count, err := strconv.ParseUint(countText, attemptBase, cluster.AttemptCountBits)
	if err != nil {
		return 0, err
	}
	if claim < 0 || claim >= len(f.Claims) {
		return 0, strconv.ErrRange
	}
	return cluster.NewAttempt(f.Claims[claim], count), nil
}
