package grouprecord

import (
	"encoding/json"
	"strconv"

	"stairrelay/internal/cluster"
)

// storedForm is the JSON form. Kinds, jobs and claims are listed once and named
// by their position. Each machine is one string: its id, kind and flags,
// address, then its tasks as job:first-last@attempt, where attempts count up
// along the range and belong to a claim of the table.
type storedForm struct {
	ShardID  cluster.ShardID `json:"p"`
	Claims   []uint64        `json:"c,omitempty"`
	Kinds    []Kind          `json:"k,omitempty"`
	Jobs     []cluster.JobID `json:"j,omitempty"`
	Machines []string        `json:"m"`
	WriteID  string          `json:"w"`
}

// The flags that follow a machine's kind.
const (
	releasingFlag = 'r'
	bootingFlag   = 'b'
)

// attemptBase is the base in which an attempt's count is written.
const attemptBase = 36

// encoder builds the stored form machine by machine.
type encoder struct {
	form storedForm
	jobs map[cluster.JobID]int // the positions in the form's table
}

// Encode returns the record's JSON form.
func Encode(r Record) []byte {
	e := encoder{
		form: storedForm{ShardID: r.ShardID, WriteID: r.WriteID, Machines: make([]string, 0, len(r.Machines))},
		jobs: map[cluster.JobID]int{},
	}
	var line []byte // reused for each machine
	for i := range r.Machines {
		line = e.appendMachine(line[:0], &r.Machines[i])
		e.form.Machines = append(e.form.Machines, string(line))
	}
	value, err := json.Marshal(e.form)
	if err != nil {
		panic(err) // strings and numbers only: there is nothing that JSON can't hold
	}
	return value
}

func (e *encoder) appendMachine(line []byte, m *Machine) []byte {
	line = append(line, m.ID...)
	line = append(line, ' ')
	line = appendInt(line, tableIndex(&e.form.Kinds, m.Kind))
	if m.Releasing {
		line = append(line, releasingFlag)
	}
	if m.Booting {
		line = append(line, bootingFlag)
	}
	line = append(line, ' ')
	line = append(line, packAddress(m.Address)...)
	for tasks := m.Tasks; len(tasks) > 0; {
		n := rangeLength(tasks)
		line = append(line, ' ')
		line = e.appendRange(line, tasks[:n])
		tasks = tasks[n:]
	}
	return line
}

// rangeLength is how many tasks at the front share a range.
func rangeLength(tasks []Task) int {
	n := 1
	for n < len(tasks) && tasks[n].follows(&tasks[n-1]) {
		n++
	}
	return n
}

func (e *encoder) appendRange(line []byte, tasks []Task) []byte {
	first, last := &tasks[0], &tasks[len(tasks)-1]
	line = appendInt(line, e.jobIndex(first.ID.Job))
	line = append(line, ':')
	line = appendInt(line, first.ID.Index)
	if len(tasks) > 1 {
		line = append(line, '-')
		line = appendInt(line, last.ID.Index)
	}
	line = append(line, '@')
	if claim := tableIndex(&e.form.Claims, first.Attempt.Claim()); claim > 0 { // the first is understood
		line = appendInt(line, claim)
		line = append(line, '.')
	}
	return strconv.AppendUint(line, first.Attempt.Count(), attemptBase)
}

func appendInt(line []byte, n int) []byte { return strconv.AppendInt(line, int64(n), 10) }

// tableIndex returns where a short table lists a value, and appends it if it
// doesn't. A record has a handful of kinds and claims.
func tableIndex[T comparable](table *[]T, value T) int {
	for i := range *table {
		if (*table)[i] == value {
			return i
		}
	}
	*table = append(*table, value)
	return len(*table) - 1
}

// jobIndex does the same for jobs, of which there may be many.
func (e *encoder) jobIndex(job cluster.JobID) int {
	i, known := e.jobs[job]
	if !known {
		i = len(e.form.Jobs)
		e.jobs[job] = i
		e.form.Jobs = append(e.form.Jobs, job)
	}
	return i
}
