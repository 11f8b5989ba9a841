package reconcile

import "stairrelay/internal/cluster"

// commandBatch collects the commands of one message to a worker. The protocol limits the size
// of the message; the commands that do not fit are sent in a later one.
type commandBatch struct {
	commands []cluster.Command
	bytes    int
	full     bool // a command did not fit
}

// reserve reserves space for a command for a task. It returns false if the command does not
// fit.
func (b *commandBatch) reserve(task cluster.TaskID) bool {
	bytes := cluster.CommandBytes(task)
	if b.bytes+bytes > cluster.MaxCommandBytes {
		b.full = true
		return false
	}
	b.bytes += bytes
	return true
}

// add adds a command for which space was reserved.
func (b *commandBatch) add(command cluster.Command) { b.commands = append(b.commands, command) }
