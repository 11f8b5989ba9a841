package controller

import (
	"slices"
	"sort"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"

	"stairrelay/internal/grouprecord"
)

func (c *Controller) addMachine(g *machineGroup, l grouprecord.Machine, token cluster.FencingToken) *machine {
	m := newMachine(g, l, token, c.loop.Now())
	if old := c.machines[m.id]; old != nil { // never two pictures of one machine
		c.removeMachine(old)
		m.assignments = old.assignments
	}
	p := c.shards[m.shardID]
	m.usage.byTeam = p.usage
	for _, a := range m.assignments {
		m.usage.add(a)
	}
	g.machines[m.id] = m
	c.machines[m.id] = m
	i := sort.Search(len(p.machines), func(i int) bool { return p.machines[i].id >= m.id })
	p.machines = slices.Insert(p.machines, i, m)
	delete(c.machineOwners, m.id)
	return m
}

func (c *Controller) removeMachine(m *machine) {
	if c.machines[m.id] == m {
		delete(c.machines, m.id)
	}
	delete(m.group.machines, m.id)
	for _, a := range m.assignments {
		m.usage.remove(a)
	}
	p := c.shards[m.shardID]
	if i := slices.Index(p.machines, m); i >= 0 {
		p.machines = slices.Delete(slices.Clone(p.machines), i, i+1) // somebody may be walking the old list
	}
}

// dropMachine forgets a machine that is no longer ours.
func (c *Controller) dropMachine(m *machine) {
	c.removeMachine(m)
	if m.pendingHeartbeat != 0 {
		c.redirectWorker(m.pendingHeartbeat, c.shards[m.shardID].owner)
		m.pendingHeartbeat = 0
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
func (c *Controller) removeAssignment(m *machine, a *assignment) {
	if m.assignments[a.task] != a {
		return
	}
	delete(m.assignments, a.task)
	m.usage.remove(a)
	if a.phase == phaseEnded {
		m.endedToAcknowledge[a.taskAttempt()] = true
	}
	c.unassignTask(a)
	if len(m.assignments) == 0 {
		m.idleSince = c.loop.Now()
	}
}

func (c *Controller) unassignTask(a *assignment) {
	j := a.job
	delete(j.listedAssignments, a)
	if j.assignments[a.task.Index] == a {
		j.setPending(a.task.Index)
		// Two machines may be listed with one task after a take-over: it waits
		// for the other too.
		var other *assignment
		for b := range j.listedAssignments {
			if b != a && b.task == a.task && (other == nil || b.machineID < other.machineID) {
				other = b
			}
		}
		if other != nil {
			j.setAssigned(a.task.Index, other)
		}
	}
	if j.finalStatus != "" && len(j.assignments) == 0 && c.jobs.owns(j) {
		c.removeOwnedJob(j)
	}
	c.schedulingTrigger.request()
}

// checkOwner finds out whether a machine was moved to another part.
func (c *Controller) checkOwner(m *machine) {
	m.fencedOff = true
	c.checkGroup(m.group)
}

// raiseToken raises a machine's token. Whatever was sent under the lower one can't
// be executed any more once the worker has acknowledged the new one.
func (c *Controller) raiseToken(m *machine) {
	if m.raisingToken || m.releasing {
		return
	}
	m.raisingToken = true
	c.writeMachine(m, writequeue.Start)
}
