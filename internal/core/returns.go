package core

import "strings"

// machineReturns gathers the machines that are given back, so that many share
// one call of the cloud and one log line.
//
// While a return is counted in byCause, a log line is scheduled that will tell
// of it.
type machineReturns struct {
	callScheduled bool
	byCause       map[string]int // not logged yet; nil: none
	tasks         int            // that were on these machines
}

// add counts a return; true: a log line has yet to be scheduled.
func (s *machineReturns) add(cause string, tasks int) bool {
	first := s.byCause == nil
	if first {
		s.byCause = map[string]int{}
	}
	s.byCause[cause]++
	s.tasks += tasks
	return first
}

// takeLog returns the arguments of the log line that is due.
func (s *machineReturns) takeLog() []any {
	args := make([]any, 0, 2*len(s.byCause)+2)
	for _, cause := range sortedKeys(s.byCause) {
		args = append(args, strings.ReplaceAll(cause, " ", "_"), s.byCause[cause])
	}
	args = append(args, "tasks", s.tasks)
	s.byCause, s.tasks = nil, 0
	return args
}

// returnMachine gives a machine back: the record says so first, so that no
// part can take it while the cloud is called.
func (c *Core) returnMachine(m *machine, why string) {
	if m.returning {
		return
	}
	c.logf(LogDebug, "returning machine", "machine", string(m.id), "why", why, "tasks", m.liveTasks())
	c.noteReturn(why, m.liveTasks())
	m.returning = true
	c.writeMachine(m, prioDone)
}

// returnUnrecorded gives a machine back before its record says so: it holds
// cancelled tasks, and an outage of the store may outlast their time. A machine
// whose record lists tasks can't be taken by another part. One that has been claimed with its part meanwhile may be lost to its new
// holder, as if it had died: the return itself frees nothing, the record does.
func (c *Core) returnUnrecorded(m *machine) {
	if c.entitled(c.parts[m.part]) {
		c.returnMachine(m, "cancelled tasks in an outage")
		m.returned = true
	}
}

// noteReturn gathers what is returned within a second into one line: hundreds
// of machines may fall together.
func (c *Core) noteReturn(cause string, tasks int) {
	if c.returns.add(cause, tasks) {
		c.after(second, func() { c.logf(LogInfo, "returning machines", c.returns.takeLog()...) })
	}
}

// returnSoon gathers the machines whose return is recorded into few calls.
func (c *Core) returnSoon() {
	if c.returns.callScheduled {
		return
	}
	c.returns.callScheduled = true
	c.after(50*milli, func() {
		c.returns.callScheduled = false
		c.callReturn()
	})
}

// maxReturn is how many machines the protocol lets one call return.
const maxReturn = 100

func (c *Core) callReturn() {
	var ms []*machine
	var ids []MachineID
	for _, p := range c.parts {
		for _, m := range p.machines {
			if p.held && m.returned && !m.calling && !m.dead && len(ms) < maxReturn {
				ms, ids = append(ms, m), append(ids, m.id)
			}
		}
	}
	if len(ms) == 0 || !c.mayCallCloud() {
		return
	}
	for _, m := range ms {
		m.calling = true
	}
	c.emit(CloudReturn{IDs: ids, Call: c.call(func(b any) {
		if b.(ReturnReply).Out != OK {
			c.after(2*second, func() {
				for _, m := range ms {
					m.calling = false
				}
			})
			return
		}
		for _, m := range ms {
			if c.machines[m.id] == m {
				c.machineGone(m)
			}
		}
	})})
}

// machineGone follows the cloud's word that a machine and all on it are gone.
// What ran there may start elsewhere once the record says so.
func (c *Core) machineGone(m *machine) {
	m.dead = true
	for _, a := range m.assigns {
		m.markGone(a)
	}
	c.writeMachine(m, prioStart)
}

// forgetMachine drops a machine whose record no longer lists it, and frees its
// tasks.
func (c *Core) forgetMachine(m *machine) {
	if c.machines[m.id] != m {
		return
	}
	c.removeMachine(m)
	for _, a := range m.sorted() {
		delete(m.assigns, a.task)
		c.freeTask(a)
	}
	if m.pending != 0 {
		c.redirect(m.pending, "")
		m.pending = 0
	}
}
