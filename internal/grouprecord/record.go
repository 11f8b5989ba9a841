// Package grouprecord defines the record that lists the machines of a group and
// the tasks that may be on them: its typed form, the JSON form that the state
// service stores, and how many machines and tasks go into one.
package grouprecord

import "stairrelay/internal/cluster"

// Record is what groups/<id> says.
type Record struct {
	ShardID  cluster.ShardID
	Machines []Machine
	// WriteID is that of the transaction that wrote the record.
	WriteID string
}

// Machine is a machine as a record lists it.
type Machine struct {
	ID        cluster.MachineID
	Kind      Kind
	Address   string
	Releasing bool // the cloud has been or will be told to take it back
	Booting   bool // it has not reported yet
	Tasks     []Task
}

// Kind is what is alike in machines that are rented together. Its JSON form is
// part of the record.
type Kind struct {
	Type string `json:"f"`
	Zone string `json:"y"`
	Spot bool   `json:"s,omitempty"`
}

// Task is one start of a task that may be on a machine.
type Task struct {
	ID      cluster.TaskID
	Attempt cluster.Attempt
}

// follows tells whether a task can share the range that ends with another.
func (t *Task) follows(last *Task) bool {
	return t.ID.Job == last.ID.Job && t.ID.Index == last.ID.Index+1 && t.Attempt == last.Attempt+1
}
