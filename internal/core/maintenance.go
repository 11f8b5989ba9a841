package core

import (
	"stairrelay/internal/sharing"
)

// Maintenance of the machines held here: tokens are raised, silent and idle ones
// returned.

func (c *Core) booted(m *machine) {
	c.logf(LogDebug, "machine up", "machine", string(m.id), "type", m.typ, "after_s", int((c.now-m.since)/second))
	m.idleSince = c.now // it has not been idle while it booted
	c.placement.request()
}

const sweepEvery = second / 2

// maxTokenCalls bounds how many workers are called at once to raise their
// tokens, so that a take-over of hundreds does not use up sockets and
// processor: the others get theirs in the answers to their reports.
const maxTokenCalls = 40

// machineSweep looks after the machines: raises tokens, gives up the silent,
// returns the idle and replaces slow boots.
func (c *Core) machineSweep() {
	reporting := c.workerContact.reporting(c.now, c.cfg.ReportEvery)
	var ms []*machine
	for _, p := range c.parts {
		if p.held && p.ready {
			ms = append(ms, p.machines...)
		}
	}
	c.counters.visiting(ms)
	c.callMachines(ms)
	s := &machineSweeping{core: c, reporting: reporting, useless: c.idleJudge()}
	for _, m := range ms {
		s.sweep(m)
	}
}

// machineSweeping is one look at the machines held here.
type machineSweeping struct {
	core      *Core
	reporting bool                // reports of some machines come in
	useless   func(*machine) bool // an idle machine is of no use to any part
}

// sweep looks after one machine.
func (s *machineSweeping) sweep(m *machine) {
	c := s.core
	if m.spot && !m.booting {
		c.spotLosses.served(sweepEvery)
	}
	if c.storeLost(second) && !m.returned && (c.hangsWithCancelled(m) || c.ignoresStop(m)) {
		c.returnUnrecorded(m)
	}
	if m.returning {
		if m.returned && !m.calling {
			c.returnSoon()
		}
		return
	}
	if c.storeLost(second) {
		return
	}
	c.checkPace(m)
	if m.booting {
		if s.bootsTooLong(m) {
			c.returnMachine(m, "never came up")
		}
		return
	}
	if why := s.stuckWithCancelled(m); why != "" {
		c.returnMachine(m, why)
		return
	}
	if why := s.silence(m); why != "" {
		c.lostSpot(m)
		c.returnMachine(m, why)
		return
	}
	if why := s.unneeded(m); why != "" {
		c.returnMachine(m, why)
	}
}

func (s *machineSweeping) bootsTooLong(m *machine) bool {
	c := s.core
	t := c.types[m.typ]
	patience := Time((t.BootS*c.cfg.Tuning.BootPatience + 5) * float64(second))
	return t.BootS > 0 && c.now-m.since > patience
}

// stuckWithCancelled says why a machine can't be relied on to stop tasks, or "".
// One that hangs with a cancelled job's tasks must be gone before its
// cancellation's time is up.
func (s *machineSweeping) stuckWithCancelled(m *machine) string {
	switch {
	case s.core.hangsWithCancelled(m):
		return "silent with cancelled tasks"
	case s.core.ignoresStop(m):
		return "does not stop a cancelled task"
	case s.ignoresToken(m):
		return "deaf"
	}
	return ""
}

// ignoresToken tells whether a machine's reports come, but nothing that is sent
// to it has an effect.
func (s *machineSweeping) ignoresToken(m *machine) bool {
	c := s.core
	if m.acked || m.bumping || m.session == 0 {
		return false
	}
	unacked := c.now - max(m.unackedAt, c.process.resumedAt)
	return unacked > c.cfg.Lease+5*second && c.silentFor(m) < 3*c.cfg.Lease && c.now-m.since > c.cfg.Lease
}

// silence says how a machine counts as lost that is not heard any more, or "".
func (s *machineSweeping) silence(m *machine) string {
	c := s.core
	silent, lease := c.silentFor(m), c.cfg.Lease
	switch {
	case m.unlisted && silent > 5*c.cfg.ReportEvery/2 && s.reporting:
		return "silent and not listed"
	case silent > lease+5*second && (s.reporting || silent > 3*lease) && c.now-m.since > lease:
		return "silent"
	}
	return ""
}

// unneeded says why a machine without tasks is to be given back, or "".
func (s *machineSweeping) unneeded(m *machine) string {
	c := s.core
	idleFor := c.now - m.idleSince
	switch {
	case m.draining && len(m.assigns) == 0 && c.now > m.noticeAt:
		return "drained"
	case m.liveTasks() > 0:
		return ""
	case m.draining && m.noticeAt > 0:
		return "notice"
	case m.yield && idleFor > 4*second && s.useless(m):
		return "retired"
	case idleFor > c.cfg.Tuning.IdleReturn && s.useless(m) && c.silentFor(m) < 3*c.cfg.ReportEvery:
		return "idle"
	}
	return ""
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

// hangsWithCancelled tells whether a machine that may run tasks of a cancelled
// job seems to hang, so that it has to be returned before the cancellation's time
// is up.
func (c *Core) hangsWithCancelled(m *machine) bool {
	if !c.holdsCancelled(m) {
		return false
	}
	if c.silentFor(m) > c.cfg.Lease+2*second {
		return true
	}
	if !m.taken {
		return false
	}
	if c.now-max(m.since, c.process.resumedAt) > c.takenPatience() {
		return true
	}
	return c.holdsLongCancelled(m) && m.ordersBusy && c.now-max(m.ordersAt, c.process.resumedAt) > slowCall
}

// slowCall is well above what a call takes to a machine that runs.
const slowCall = 1500 * milli

// holdsLongCancelled tells whether half of the time for a cancellation has passed
// since this process learnt of one whose tasks may be on a machine. Where each
// holder of the part ended sooner than takenPatience, the rest may not be enough
// for that either.
func (c *Core) holdsLongCancelled(m *machine) bool {
	for _, a := range m.assigns {
		known := c.jobs.finished(a.task.Job)
		if a.live() && known != nil && known.final == StCancelled && c.now-known.finalAt > c.cfg.CancelWithin/2 {
			return true
		}
	}
	return false
}

// lostSpot notes a spot machine that went without notice.
func (c *Core) lostSpot(m *machine) {
	if m.spot && !m.draining {
		c.spotLosses.lost++
	}
}

func (c *Core) holdsCancelled(m *machine) bool {
	for _, a := range m.assigns {
		if a.live() && a.job.cancelling {
			return true
		}
	}
	return false
}

// ignoresStop tells whether a cancelled task goes on in spite of stop commands:
// perhaps they don't reach the machine.
func (c *Core) ignoresStop(m *machine) bool {
	for _, a := range m.assigns {
		if a.live() && a.stopAt > 0 && a.job.cancelling && c.now-a.stopAt > min(c.cfg.Lease+2*second, c.cfg.CancelWithin/2) {
			return true
		}
	}
	return false
}

// idleJudge returns a function that tells whether an idle machine is of no use
// to any part. Another part with too few machines is better offered it than
// left to rent one. What all machines share is worked out at most once.
func (c *Core) idleJudge() func(*machine) bool {
	var loads sharing.Snapshot
	work := map[Part][]waitingWork{}
	return func(m *machine) bool {
		if loads == nil {
			loads = c.allLoads()
		}
		if loads.OthersLack(m.part) {
			return false
		}
		w, ok := work[m.part]
		if !ok {
			w = c.unplaced(c.parts[m.part])
			work[m.part] = w
		}
		for _, x := range w {
			if c.allowedOn(x.job, m) {
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
		if g.writing {
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
