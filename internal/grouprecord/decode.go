package grouprecord

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/exactjson"
)

// Errors of malformed records. ErrInvalidKind and ErrInvalidAddress are wrapped in a
// MachineError.
var (
	// ErrNoMachines means that the record has no list of machines.
	ErrNoMachines = errors.New("record has no list of machines")
	// ErrInvalidKind means that a machine's kind is not in the record's table of kinds.
	ErrInvalidKind = errors.New("kind is not in the table of kinds")
	// ErrInvalidAddress means that a machine's address has none of the stored forms.
	ErrInvalidAddress = errors.New("invalid address")
)

// MachineError is an error in a machine entry.
type MachineError struct {
	Entry string
	Err   error // nil if the entry has too few fields or no ID
}

// Error returns the error's text, which quotes the entry.
func (e *MachineError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("invalid machine entry %q: too few fields or no ID", e.Entry)
	}
	return fmt.Sprintf("invalid machine entry %q: %v", e.Entry, e.Err)
}

// Unwrap returns the error in the entry, or nil if the entry has too few fields or no ID.
func (e *MachineError) Unwrap() error { return e.Err }

// RangeError is a malformed range of tasks in a machine entry.
type RangeError struct{ Text string }

// Error returns the error's text, which quotes the range.
func (e *RangeError) Error() string { return fmt.Sprintf("invalid task range %q", e.Text) }

// minEntryFields is the number of fields before the task ranges: ID, kind and address.
const minEntryFields = 3

// maxTaskIndex is an upper bound of task indexes. Without it, a short record with a huge
// range could exhaust memory.
const maxTaskIndex = 100_000

// Decode parses the JSON form of a record. It returns an error if the record is
// malformed: ErrNoMachines, an error that wraps one of package json, or a *MachineError,
// which may wrap a *RangeError, ErrInvalidKind or ErrInvalidAddress.
func Decode(value []byte) (Record, error) {
	var form storedForm
	if err := exactjson.Unmarshal(value, &form); err != nil {
		return Record{}, fmt.Errorf("decoding machine group record: %w", err)
	}
	if form.Machines == nil {
		return Record{}, ErrNoMachines
	}
	machines := make([]Machine, 0, len(form.Machines))
	for _, entry := range form.Machines {
		machine, err := form.parseMachine(entry)
		if err != nil {
			return Record{}, err
		}
		machines = append(machines, machine)
	}
	return Record{ShardID: form.ShardID, Machines: machines, WriteID: form.WriteID}, nil
}

// ShardOf returns the shard of a record. It may succeed even if Decode rejects the record.
// It returns false if the shard cannot be decoded.
func ShardOf(value []byte) (cluster.ShardID, bool) {
	var form struct {
		ShardID *cluster.ShardID `json:"p"`
	}
	if exactjson.Unmarshal(value, &form) != nil || form.ShardID == nil {
		return 0, false
	}
	return *form.ShardID, true
}

// parseMachine parses a machine entry. Any error is of type *MachineError.
func (f *storedForm) parseMachine(entry string) (Machine, error) {
	fields := strings.Split(entry, " ")
	if len(fields) < minEntryFields || fields[0] == "" {
		return Machine{}, &MachineError{Entry: entry}
	}
	machine := Machine{ID: cluster.MachineID(fields[0])}
	if err := f.parseKind(&machine, fields[1]); err != nil {
		return Machine{}, &MachineError{Entry: entry, Err: err}
	}
	var err error
	if machine.Address, err = unpackAddress(fields[2]); err != nil {
		return Machine{}, &MachineError{Entry: entry, Err: err}
	}
	for _, text := range fields[minEntryFields:] {
		if machine.Tasks, err = f.appendRange(machine.Tasks, text); err != nil {
			return Machine{}, &MachineError{Entry: entry, Err: err}
		}
	}
	return machine, nil
}

// parseKind parses the kind index and flags of a machine and sets its fields.
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

// appendRange parses a range of the form job:first-last@attempt and appends its tasks. Any
// error is of type *RangeError.
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

// parseIndexes parses first-last, or a single index. It returns an error if the first
// index is negative, because the minus sign is parsed as the separator. The caller must
// check that last is not less than first.
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

// parseAttempt parses claim.count, or a count alone, which belongs to the first claim of
// the table.
func (f *storedForm) parseAttempt(text string) (cluster.Attempt, error) {
	claim, countText := 0, text
	if before, after, found := strings.Cut(text, "."); found {
		var err error
		if claim, err = strconv.Atoi(before); err != nil {
			return 0, err
		}
		countText = after
	}
	count, err := strconv.ParseUint(countText, attemptRadix, cluster.AttemptCountBits)
	if err != nil {
		return 0, err
	}
	if claim < 0 || claim >= len(f.Claims) {
		return 0, strconv.ErrRange
	}
	return cluster.NewAttempt(f.Claims[claim], count), nil
}
