// Package grouprecord defines the node inventory record, which lists the machines of
// a machine group and the tasks that may be on them: its typed form, the JSON form
// that the state service stores, and how many machines and tasks go into one record.
//
// A task may only be started after a record that lists it is stored. So decoding is
// strict: a task that is overlooked could run twice.
package grouprecord

import "stairrelay/internal/cluster"

// Record is the content of the key groups/<id>.
type Record struct {
	// ShardID is the shard that the machines belong to.
	ShardID  cluster.ShardID
	Machines []Machine
	// WriteID identifies the transaction that wrote the record.
	WriteID string
}

// Machine is a machine as a record lists it.
type Machine struct {
	ID        cluster.MachineID
	Kind      Kind
	Address   string // host and port of its worker; empty while it is not known
	Releasing bool   // it is being scaled in: the cloud is asked to take it back
	Booting   bool   // its worker has not sent a heartbeat yet
	Tasks     []Task
}

// Kind is what machines of one provisioning request have in common. Its JSON form is
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

// follows reports whether the task continues a range that ends with last.
func (t *Task) follows(last *Task) bool {
	return t.ID.Job == last.ID.Job && t.ID.Index == last.ID.Index+1 && t.Attempt == last.Attempt+1
}
