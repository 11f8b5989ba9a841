package core

import "strings"

// What becomes of machines: tokens raised, silent and idle ones returned.

func (c *Core) booted(m *machine) {
	c.logf("debug", "machine up", "machine", string(m.id), "type", m.typ, "after_s", int((c.now-m.since)/second))
	m.idleSince = c.now // it has not been idle while it booted
	c.placing = true
}

const sweepEvery = second / 2

// maxTokenCalls bounds how many workers are called at once to raise their
// tokens, so that a take-over of hundreds does not use up sockets and
// processor: the others get theirs in the answers to their reports.
const maxTokenCalls = 40

// machineSweep looks after the machines: raises tokens, gives up the silent,
// returns the idle and replaces slow boots.
func (c *Core) machineSweep() {
	reporting := c.now-c.lastReport < c.cfg.ReportEvery && c.lastReport > 0
	var ms []*machine
	for _, p := range c.parts {
		if p.held && p.ready {
			ms = append(ms, p.ms...)
		}
	}
	c.callMachines(ms)
	idle := c.idleJudge()
	for _, m := range ms {
		if m.spot && !m.booting {
			c.spotTime += sweepEvery.Seconds()
		}
		silent := c.silentFor(m)
		hangs := c.holdsCancelled(m) && (silent > c.cfg.Lease+2*second || m.taken && c.now-max(m.since, c.awakeAt) > c.takenPatience())
		if c.storeLost(second) && !m.returned && (hangs || c.ignoresStop(m)) {
			c.returnUnrecorded(m)
		}
		if m.returning {
			if m.returned && !m.calling {
				c.returnSoon()
			}
			continue
		}
		if c.storeLost(second) {
			continue
		}
		c.checkPace(m)
		t := c.types[m.typ]
		switch {
		case m.booting:
			patience := Time((t.BootS*c.cfg.Tuning.BootPatience + 5) * float64(second))
			if t.BootS > 0 && c.now-m.since > patience {
				c.returnMachine(m, "never came up")
			}
		case hangs:
			// A machine that hangs with a cancelled job's tasks must be gone
			// before its cancellation's time is up.
			c.returnMachine(m, "silent with cancelled tasks")
		case c.ignoresStop(m):
			c.returnMachine(m, "does not stop a cancelled task")
		case !m.acked && !m.bumping && m.session > 0 && c.now-max(m.unackedAt, c.awakeAt) > c.cfg.Lease+5*second && silent < 3*c.cfg.Lease && c.now-m.since > c.cfg.Lease:
			// Its reports come, but nothing that is sent to it has an effect.
			c.returnMachine(m, "deaf")
		case m.unlisted && silent > 5*c.cfg.ReportEvery/2 && reporting:
			c.lostSpot(m)
			c.returnMachine(m, "silent and not listed")
		case silent > c.cfg.Lease+5*second && (reporting || silent > 3*c.cfg.Lease) && c.now-m.since > c.cfg.Lease:
			c.lostSpot(m)
			c.returnMachine(m, "silent")
		case m.draining && len(m.assigns) == 0 && c.now > m.noticeAt:
			c.returnMachine(m, "drained")
		case m.draining && m.noticeAt > 0 && m.liveTasks() == 0:
			c.returnMachine(m, "notice")
		case m.yield && m.liveTasks() == 0 && c.now-m.idleSince > 4*second && idle(m):
			c.returnMachine(m, "retired")
		case m.liveTasks() == 0 && c.now-m.idleSince > c.cfg.Tuning.IdleReturn && idle(m) && silent < 3*c.cfg.ReportEvery:
			c.returnMachine(m, "idle")
		}
	}
}

// callMachines calls those that have not acknowledged their token, and those
// that run cancelled tasks and are silent: they may be unable to report and
// still be reached. Machines with cancelled tasks come first: after a take-over
// in an outage nothing but these calls may reach them.
func (c *Core) callMachines(ms []*machine) {
	asked := 0
	for _, cancelled := range []bool{true, false} {
		for _, m := range ms {
			if m.returned || m.ordersBusy || m.addr == "" || m.booting || c.now-m.ordersAt <= 1500*milli || asked >= maxTokenCalls {
				continue
			}
			if cancelled && c.holdsCancelled(m) && (!m.acked || c.silentFor(m) > 2*c.cfg.ReportEvery) {
				asked++
				c.sendOrders(m, onlyStops(c.commands(m, true)))
			} else if !cancelled && !m.acked && !m.bumping && !m.returning {
				asked++
				c.sendOrders(m, nil)
			}
		}
	}
}

// takenPatience is how long a machine taken over with cancelled tasks may take
// to acknowledge its token. That a report of it came says nothing by itself: it
// may be a copy that was held up until now, while the machine hangs.
func (c *Core) takenPatience() Time { return max(5*second, 2*c.cfg.ReportEvery) }

// lostSpot notes a spot machine that went without notice.
func (c *Core) lostSpot(m *machine) {
	if m.spot && !m.draining {
		c.spotLost++
	}
}

func (c *Core) holdsCancelled(m *machine) bool {
	for _, a := range m.assigns {
		if a.live() && a.j.cancelling {
			return true
		}
	}
	return false
}

// ignoresStop tells whether a cancelled task goes on in spite of stop commands:
// perhaps they don't reach the machine.
func (c *Core) ignoresStop(m *machine) bool {
	for _, a := range m.assigns {
		if a.live() && a.stopAt > 0 && a.j.cancelling && c.now-a.stopAt > min(c.cfg.Lease+2*second, c.cfg.CancelWithin/2) {
			return true
		}
	}
	return false
}

// idleJudge returns a function that tells whether an idle machine is of no use
// to any part. Another part with too few machines is better offered it than
// left to rent one. What all machines share is worked out at most once.
func (c *Core) idleJudge() func(*machine) bool {
	var loads map[Part]PartLoad
	work := map[Part][]waitingWork{}
	return func(m *machine) bool {
		if loads == nil {
			loads = c.allLoads()
		}
		for q, l := range loads {
			if q != m.part && l.need() > l.Have+l.Coming {
				return false
			}
		}
		w, ok := work[m.part]
		if !ok {
			w = c.unplaced(c.parts[m.part])
			work[m.part] = w
		}
		for _, x := range w {
			if c.allowedOn(x.j, m) {
				return false
			}
		}
		return true
	}
}

// checkpointGroups clears what records list though it is over, and keeps the
// records' sizes in hand.
func (c *Core) checkpointGroups() {
	for _, id := range sortedKeys(c.groups) {
		g := c.groups[id]
		if g.w {
			continue
		}
	machines:
		for _, m := range g.list() {
			for _, a := range m.assigns {
				if a.gone {
					c.writeGroup(g, prioLazy)
					break machines
				}
			}
		}
	}
	for _, p := range c.parts {
		if p.held && p.ready {
			c.tidyGroups(p)
		}
	}
}

// returnMachine gives a machine back: the record says so first, so that no
// part can take it while the cloud is called.
func (c *Core) returnMachine(m *machine, why string) {
	if m.returning {
		return
	}
	c.logf("debug", "returning machine", "machine", string(m.id), "why", why, "tasks", m.liveTasks())
	c.noteReturn(why, m.liveTasks())
	m.returning = true
	c.writeMachine(m, prioDone)
}

// returnUnrecorded gives a machine back before its record says so: it holds
// cancelled tasks, and an outage of the store may outlast their time. A machine whose record lists tasks can't be taken by another
// part. One that has been claimed with its part meanwhile may be lost to its new
// holder, as if it had died: the return itself frees nothing, the record does.
func (c *Core) returnUnrecorded(m *machine) {
	if c.entitled(c.parts[m.part]) {
		c.returnMachine(m, "cancelled tasks in an outage")
		m.returned = true
	}
}

// noteReturn gathers what is returned within a second into one line: hundreds
// of machines may fall together.
func (c *Core) noteReturn(why string, tasks int) {
	if c.returns == nil {
		c.returns = map[string]int{}
		c.after(second, func() {
			args := make([]any, 0, 2*len(c.returns)+2)
			for _, why := range sortedKeys(c.returns) {
				args = append(args, strings.ReplaceAll(why, " ", "_"), c.returns[why])
			}
			c.logf("info", "returning machines", append(args, "tasks", c.returnTasks)...)
			c.returns, c.returnTasks = nil, 0
		})
	}
	c.returns[why]++
	c.returnTasks += tasks
}

// returnSoon gathers the machines whose return is recorded into few calls.
func (c *Core) returnSoon() {
	if c.returnAsked {
		return
	}
	c.returnAsked = true
	c.after(50*milli, func() {
		c.returnAsked = false
		c.callReturn()
	})
}

// maxReturn is how many machines the protocol lets one call return.
const maxReturn = 100

func (c *Core) callReturn() {
	var ms []*machine
	var ids []MachineID
	for _, p := range c.parts {
		for _, m := range p.ms {
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
		a.gone = true
	}
	c.writeMachine(m, prioStart)
}

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
