package simulation

import (
	"slices"

	"stairrelay/internal/cluster"
)

// StartCopies keeps the messages with start commands that workers have executed, so that
// late copies of them can be delivered.
type StartCopies struct {
	*environment
	machines *Machines
	// Keep enables the recording of messages.
	Keep     bool
	messages map[cluster.MachineID][]StartCopy
}

// StartCopy is a message with start commands that a worker has executed.
type StartCopy struct {
	Commands []cluster.Command
	// InResponse is whether the commands arrived in the response to a heartbeat.
	// Otherwise they were pushed.
	InResponse bool
	deliver    func()
}

// record keeps a message to a worker if it contains a start command.
func (c *StartCopies) record(worker cluster.MachineID, message StartCopy) {
	if c.Keep && slices.ContainsFunc(message.Commands, isStart) {
		c.messages[worker] = append(c.messages[worker], message)
	}
}

// To returns the messages that were sent to a machine, the oldest first.
func (c *StartCopies) To(id cluster.MachineID) []StartCopy { return c.messages[id] }

// Deliver delivers all messages that were sent to a machine once more, each in the way in
// which it arrived first. It does nothing if the machine was removed.
func (c *StartCopies) Deliver(id cluster.MachineID) {
	if c.machines.live(id) == nil {
		return
	}
	for _, message := range c.messages[id] {
		c.FaultCounts[FaultStartCopyDelivered]++
		message.deliver()
	}
}

// DeliverAll is like Deliver for all machines.
func (c *StartCopies) DeliverAll() {
	for _, id := range c.machines.liveIDs() {
		c.Deliver(id)
	}
}

func isStart(command cluster.Command) bool { return command.Kind == cluster.Start }
