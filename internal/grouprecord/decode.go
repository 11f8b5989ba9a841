package grouprecord

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"stairrelay/internal/cluster"
)

// Errors of records that make no sense. MachineError says in which line.
var (
	ErrNoMachines     = errors.New("group without machines")
	ErrInvalidKind    = errors.New("kind")
	ErrInvalidAddress = errors.New("address")
)

// MachineError is an error in a machine's line.
type MachineError struct {
	Line string
	Err  error // nil: the line as a whole can't be read
}

// Error quotes the line.
func (e *MachineError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("machine %q", e.Line)
	}
	return fmt.Sprintf("machine %q: %v", e.Line, e.Err)
}

// Unwrap returns what is wrong with the line.
func (e *MachineError) Unwrap() error { return e.Err }

// RangeError is a range of tasks that makes no sense.
type RangeError struct{ Text string }

// Error quotes the range.
func (e *RangeError) Error() string { return fmt.Sprintf("tasks %q", e.Text) }

// minLineFields of a machine's line: id, kind and address.
const minLineFields = 3

// maxTaskIndex is beyond every task of a job. A range up to a larger number
// would make a short record fill the memory.
const maxTaskIndex = 100_000

// Decode reads the JSON form. Whatever makes no sense in it is an error, as a
// task that is overlooked could run twice.
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
		m, err := form.parseMachine(line)
		if err != nil {
			return Record{}, err
		}
		machines = append(machines, m)
	}
	return Record{ShardID: form.ShardID, Machines: machines, WriteID: form.WriteID}, nil
}

// ShardOf reads only whose the record is, which may be legible in one that
// Decode refuses.
func ShardOf(value []byte) (cluster.ShardID, bool) {
	var form struct {
		Part *cluster.ShardID `json:"p"`
	}
	if json.Unmarshal(value, &form) != nil || form.Part == nil {
		return 0, false
	}
	return *form.Part, true
}

func (f *storedForm) parseMachine(line string) (Machine, error) {
	fields := strings.Split(line, " ")
	if len(fields) < minLineFields || fields[0] == "" {
		return Machine{}, &MachineError{Line: line}
	}
	m := Machine{ID: cluster.MachineID(fields[0])}
	if err := f.parseKind(&m, fields[1]); err != nil {
		return Machine{}, &MachineError{line, err}
	}
	var err error
	if m.Address, err = unpackAddress(fields[2]); err != nil {
		return Machine{}, &MachineError{line, err}
	}
	for _, text := range fields[minLineFields:] {
		if m.Tasks, err = f.appendRange(m.Tasks, text); err != nil {
			return Machine{}, &MachineError{line, err}
		}
	}
	return m, nil
}

// parseKind reads a machine's kind and flags.
func (f *storedForm) parseKind(m *Machine, text string) error {
	m.Releasing = strings.ContainsRune(text, releasingFlag)
	m.Booting = strings.ContainsRune(text, bootingFlag)
	number := strings.TrimRight(text, string([]rune{releasingFlag, bootingFlag}))
	i, err := strconv.Atoi(number)
	if err != nil || i < 0 || i >= len(f.Kinds) {
		return ErrInvalidKind
	}
	m.Kind = f.Kinds[i]
	return nil
}

// appendRange reads job:first-last@attempt and appends its tasks.
func (f *storedForm) appendRange(tasks []Task, text string) ([]Task, error) {
	where, attempt, found := strings.Cut(text, "@")
	jobText, span, hasSpan := strings.Cut(where, ":")
	job, jobErr := strconv.Atoi(jobText)
	first, last, spanErr := parseSpan(span)
	start, attemptErr := f.parseAttempt(attempt)
	switch {
	case !found || !hasSpan:
		return nil, &RangeError{text}
	case jobErr != nil || spanErr != nil || attemptErr != nil:
		return nil, &RangeError{text}
	case job < 0 || job >= len(f.Jobs):
		return nil, &RangeError{text}
	case last < first || last > maxTaskIndex:
		return nil, &RangeError{text}
	}
	for i := first; i <= last; i++ {
		id := cluster.TaskID{Job: f.Jobs[job], Index: i}
		tasks = append(tasks, Task{id, start + cluster.Attempt(i-first)})
	}
	return tasks, nil
}

// parseSpan reads first-last, or a single index. As the dash separates them,
// neither comes out negative.
func parseSpan(text string) (first, last int, err error) {
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

// parseAttempt reads claim.count, or only the count where the claim is the first.
func (f *storedForm) parseAttempt(text string) (cluster.Attempt, error) {
	claim, count := 0, text
	if before, after, found := strings.Cut(text, "."); found {
		var err error
		if claim, err = strconv.Atoi(before); err != nil {
			return 0, err
		}
		count = after
	}
	n, err := strconv.ParseUint(count, attemptBase, cluster.AttemptCountBits)
	if err != nil {
		return 0, err
	}
	if claim < 0 || claim >= len(f.Claims) {
		return 0, strconv.ErrRange
	}
	return cluster.NewAttempt(f.Claims[claim], n), nil
}
