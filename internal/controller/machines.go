package controller

import (
	"slices"
	"sort"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"

	"stairrelay/internal/grouprecord"
)

func (c *Controller) addMachine(g *state.MachineGroup, l grouprecord.Machine, token cluster.FencingToken) *state.Machine {
	m := state.NewMachine(g, l, token, c.loop.Now())
	if old := c.state.Machines[m.ID]; old != nil { // never two pictures of one machine
		c.removeMachine(old)
		m.Assignments = old.Assignments
	}
	p := c.state.Shards[m.ShardID]
	m.Usage.ByTeam = p.Usage
	for _, a := range m.Assignments {
		m.Usage.Add(a)
	}
	g.Machines[m.ID] = m
	c.state.Machines[m.ID] = m
	i := sort.Search(len(p.Machines), func(i int) bool { return p.Machines[i].ID >= m.ID })
	p.Machines = slices.Insert(p.Machines, i, m)
	delete(c.machineOwners, m.ID)
	return m
}

func (c *Controller) removeMachine(m *state.Machine) {
	if c.state.Machines[m.ID] == m {
		delete(c.state.Machines, m.ID)
	}
	delete(m.Group.Machines, m.ID)
	for _, a := range m.Assignments {
		m.Usage.Remove(a)
	}
	p := c.state.Shards[m.ShardID]
	if i := slices.Index(p.Machines, m); i >= 0 {
		p.Machines = slices.Delete(slices.Clone(p.Machines), i, i+1) // somebody may be walking the old list
	}
}

// dropMachine forgets a machine that is no longer ours.
func (c *Controller) dropMachine(m *state.Machine) {
	c.removeMachine(m)
	if m.PendingHeartbeat != 0 {
		c.redirectWorker(m.PendingHeartbeat, c.state.Shards[m.ShardID].Owner)
		m.PendingHeartbeat = 0
	}
}

func (c *Controller) redirectWorker(req messages.RequestID, to cluster.NodeID) {
	if to == c.config.Self {
		to = ""
	}
	c.loop.Emit(messages.Respond{Request: req, Status: messages.ReplyMisdirected, Heartbeat: &messages.HeartbeatResponse{RedirectTo: to}})
}

// removeAssignment follows a stored record that no longer lists the task: from
// here on it may be started elsewhere.
func (c *Controller) removeAssignment(m *state.Machine, a *state.Assignment) {
	if m.Assignments[a.Task] != a {
		return
	}
	delete(m.Assignments, a.Task)
	m.Usage.Remove(a)
	if a.Phase == state.PhaseEnded {
		m.EndedToAcknowledge[a.TaskAttempt()] = true
	}
	c.unassignTask(a)
	if len(m.Assignments) == 0 {
		m.IdleSince = c.loop.Now()
	}
}

func (c *Controller) unassignTask(a *state.Assignment) {
	j := a.Job
	delete(j.ListedAssignments, a)
	if j.Assignments[a.Task.Index] == a {
		j.SetPending(a.Task.Index)
		// Two machines may be listed with one task after a take-over: it waits
		// for the other too.
		var other *state.Assignment
		for b := range j.ListedAssignments {
			if b != a && b.Task == a.Task && (other == nil || b.MachineID < other.MachineID) {
				other = b
			}
		}
		if other != nil {
			j.SetAssigned(a.Task.Index, other)
		}
	}
	if j.FinalStatus != "" && len(j.Assignments) == 0 && c.state.Jobs.Owns(j) {
		c.state.RemoveOwnedJob(j)
	}
	c.scheduler.Trigger.Request()
}

// checkOwner finds out whether a machine was moved to another part.
func (c *Controller) checkOwner(m *state.Machine) {
	m.FencedOff = true
	c.checkGroup(m.Group)
}

// raiseToken raises a machine's token. Whatever was sent under the lower one can't
// be executed any more once the worker has acknowledged the new one.
func (c *Controller) raiseToken(m *state.Machine) {
	if m.RaisingToken || m.Releasing {
		return
	}
	m.RaisingToken = true
	c.writeMachine(m, writequeue.Start)
}
