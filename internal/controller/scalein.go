package controller

import (
	"maps"
	"slices"
	"strings"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// scaleInBatch gathers the machines that are given back, so that many share
// one call of the cloud and one log line.
//
// While a return is counted in byCause, a log line is scheduled that will tell
// of it.
type scaleInBatch struct {
	callScheduled   bool
	machinesByCause map[string]int // not logged yet; nil: none
	taskCount       int            // that were on these machines
}

// add counts a return; true: a log line has yet to be scheduled.
func (s *scaleInBatch) add(cause string, tasks int) bool {
	first := s.machinesByCause == nil
	if first {
		s.machinesByCause = map[string]int{}
	}
	s.machinesByCause[cause]++
	s.taskCount += tasks
	return first
}

// takeLogArgs returns the arguments of the log line that is due.
func (s *scaleInBatch) takeLogArgs() []any {
	args := make([]any, 0, 2*len(s.machinesByCause)+2)
	for _, cause := range slices.Sorted(maps.Keys(s.machinesByCause)) {
		args = append(args, strings.ReplaceAll(cause, " ", "_"), s.machinesByCause[cause])
	}
	args = append(args, "tasks", s.taskCount)
	s.machinesByCause, s.taskCount = nil, 0
	return args
}

// scaleInMachine gives a machine back: the record says so first, so that no
// part can take it while the cloud is called.
func (c *Controller) scaleInMachine(m *state.Machine, why string) {
	if m.Releasing {
		return
	}
	c.loop.Log(messages.LogDebug, "returning machine", "machine", string(m.ID), "why", why, "tasks", m.LiveTaskCount())
	c.recordScaleIn(why, m.LiveTaskCount())
	m.Releasing = true
	c.inventory.WriteMachine(m, writequeue.Outcome)
}

// scaleInBeforeRecorded gives a machine back before its record says so: it holds
// cancelled tasks, and an outage of the store may outlast their time. A machine
// whose record lists tasks can't be taken by another part. One that has been claimed with its part meanwhile may be lost to its new
// holder, as if it had died: the return itself frees nothing, the record does.
func (c *Controller) scaleInBeforeRecorded(m *state.Machine) {
	if c.ownership.CanAnswerWorkers(c.state.Shards[m.ShardID]) {
		c.scaleInMachine(m, "cancelled tasks in an outage")
		m.ReleaseConfirmed = true
	}
}

// recordScaleIn gathers what is returned within a second into one line: hundreds
// of machines may fall together.
func (c *Controller) recordScaleIn(cause string, tasks int) {
	if c.machineReleases.add(cause, tasks) {
		c.loop.After(second, func() { c.loop.Log(messages.LogInfo, "returning machines", c.machineReleases.takeLogArgs()...) })
	}
}

// scheduleScaleIn gathers the machines whose return is recorded into few calls.
func (c *Controller) scheduleScaleIn() {
	if c.machineReleases.callScheduled {
		return
	}
	c.machineReleases.callScheduled = true
	c.loop.After(50*millisecond, func() {
		c.machineReleases.callScheduled = false
		c.callScaleIn()
	})
}

// maxScaleInMachines is how many machines the protocol lets one call return.
const maxScaleInMachines = 100

func (c *Controller) callScaleIn() {
	var ms []*state.Machine
	var ids []cluster.MachineID
	for _, p := range c.state.Shards {
		for _, m := range p.Machines {
			if p.Owned && m.ReleaseConfirmed && !m.ScaleInCallInFlight && !m.Terminated && len(ms) < maxScaleInMachines {
				ms, ids = append(ms, m), append(ids, m.ID)
			}
		}
	}
	if len(ms) == 0 || !c.tryCloudCall() {
		return
	}
	for _, m := range ms {
		m.ScaleInCallInFlight = true
	}
	c.loop.Emit(messages.CloudScaleIn{IDs: ids, Call: eventloop.Call(c.loop, func(reply messages.ScaleInReply) {
		if reply.Outcome != messages.OK {
			c.loop.After(2*second, func() {
				for _, m := range ms {
					m.ScaleInCallInFlight = false
				}
			})
			return
		}
		for _, m := range ms {
			if c.state.Machines[m.ID] == m {
				c.handleMachineTerminated(m)
			}
		}
	})})
}

// handleMachineTerminated follows the cloud's word that a machine and all on it are gone.
// What ran there may start elsewhere once the record says so.
func (c *Controller) handleMachineTerminated(m *state.Machine) {
	m.Terminated = true
	for _, a := range m.Assignments {
		m.MarkConfirmedAbsent(a)
	}
	c.inventory.WriteMachine(m, writequeue.Start)
}
