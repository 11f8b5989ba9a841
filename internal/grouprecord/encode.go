package grouprecord

import (
	"encoding/json"
	"strconv"

	"stairrelay/internal/cluster"
)

// storedForm is the JSON form of a record. Kinds, jobs and shard claims are stored once, in
// tables, and referred to by index. A machine entry consists of fields separated by spaces:
// ID, kind with flags, address, and task ranges of the form job:first-last@claim.count.
// In a range, the count of the attempt increases by one with each task index.
type storedForm struct {
	ShardID  cluster.ShardID `json:"p"`
	Claims   []uint64        `json:"c,omitempty"`
	Kinds    []Kind          `json:"k,omitempty"`
	Jobs     []cluster.JobID `json:"j,omitempty"`
	Machines []string        `json:"m"`
	WriteID  string          `json:"w"`
}

// The flags that follow the kind index in a machine entry.
const (
	releasingFlag = 'r'
	bootingFlag   = 'b'
)

// attemptRadix is the numeric base of the count of a stored attempt.
const attemptRadix = 36

// encoder builds the stored form of a record.
type encoder struct {
	form storedForm
	jobs map[cluster.JobID]int // indexes in form.Jobs
}

// Encode returns the JSON form of a record.
func Encode(record Record) []byte {
	e := encoder{
		form: storedForm{
			ShardID:  record.ShardID,
			WriteID:  record.WriteID,
			Machines: make([]string, 0, len(record.Machines)), // encoded as [] if empty
		},
		jobs: map[cluster.JobID]int{},
	}
	var entry []byte // reused for each machine
	for i := range record.Machines {
		entry = e.appendMachine(entry[:0], &record.Machines[i])
		e.form.Machines = append(e.form.Machines, string(entry))
	}
	value, err := json.Marshal(e.form)
	if err != nil {
		panic(err) // unreachable: the form holds only strings, numbers and booleans
	}
	return value
}

func (e *encoder) appendMachine(entry []byte, machine *Machine) []byte {
	entry = append(entry, machine.ID...)
	entry = append(entry, ' ')
	entry = appendInt(entry, tableIndex(&e.form.Kinds, machine.Kind))
	if machine.Releasing {
		entry = append(entry, releasingFlag)
	}
	if machine.Booting {
		entry = append(entry, bootingFlag)
	}
	entry = append(entry, ' ')
	entry = append(entry, packAddress(machine.Address)...)
	for tasks := machine.Tasks; len(tasks) > 0; {
		length := rangeLength(tasks)
		entry = append(entry, ' ')
		entry = e.appendRange(entry, tasks[:length])
		tasks = tasks[length:]
	}
	return entry
}

// rangeLength returns the number of leading tasks that form one range.
func rangeLength(tasks []Task) int {
	length := 1
	for length < len(tasks) && tasks[length].follows(&tasks[length-1]) {
		length++
	}
	return length
}

func (e *encoder) appendRange(entry []byte, tasks []Task) []byte {
	first, last := &tasks[0], &tasks[len(tasks)-1]
	entry = appendInt(entry, e.jobIndex(first.ID.Job))
	entry = append(entry, ':')
	entry = appendInt(entry, first.ID.Index)
	if len(tasks) > 1 {
		entry = append(entry, '-')
		entry = appendInt(entry, last.ID.Index)
	}
	entry = append(entry, '@')
	claim := tableIndex(&e.form.Claims, first.Attempt.BaseRevision())
	if claim > 0 { // the first claim of the table is the default
		entry = appendInt(entry, claim)
		entry = append(entry, '.')
	}
	return strconv.AppendUint(entry, first.Attempt.Count(), attemptRadix)
}

func appendInt(entry []byte, value int) []byte { return strconv.AppendInt(entry, int64(value), 10) }

// tableIndex returns the index of a value in a table. It appends the value if it is missing.
// The search is linear because a record has few kinds and claims.
func tableIndex[T comparable](table *[]T, value T) int {
	for i := range *table {
		if (*table)[i] == value {
			return i
		}
	}
	*table = append(*table, value)
	return len(*table) - 1
}

// jobIndex returns the index of a job in the table of jobs. It appends the job if it is
// missing. The search uses a map because a record may have many jobs.
func (e *encoder) jobIndex(job cluster.JobID) int {
	index, known := e.jobs[job]
	if !known {
		index = len(e.form.Jobs)
		e.jobs[job] = index
		e.form.Jobs = append(e.form.Jobs, job)
	}
	return index
}
