// Package grouprecord defines the stored record of a machine group, which lists the
// machines of the group and the tasks that may be on them. It converts records to and
// from their stored JSON form and defines their size limits.
//
// A task may be started only after a record that lists it is stored. Decoding is strict
// because a task that is overlooked could run twice.
package grouprecord

import "stairrelay/internal/cluster"

// Record is the value of the key groups/<id>.
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
	Address   string // host and port of its worker; empty if unknown
	Releasing bool   // it is being released
	Booting   bool   // its worker has not sent a heartbeat yet
	Tasks     []Task
}

// Kind holds the properties that the machines of a provisioning request have in common.
// Its JSON form is part of the record.
type Kind struct {
	Type string `json:"f"`
	Zone string `json:"y"`
	Spot bool   `json:"s,omitempty"`
}

// Task is an attempt of a task that may be on a machine.
type Task struct {
	ID      cluster.TaskID
	Attempt cluster.Attempt
}

// follows reports whether the task continues a range that ends with last.
func (t *Task) follows(last *Task) bool {
	return t.ID.Job == last.ID.Job && t.ID.Index == last.ID.Index+1 && t.Attempt == last.Attempt+1
}
