package core

import "slices"

// Commands that are sent to a machine at once.

// orderSoon notes a machine whose commands can't wait for its next report.
func (c *Core) orderSoon(m *machine) {
	if !m.orderQueued {
		m.orderQueued = true
		c.urgentOrders = append(c.urgentOrders, m)
	}
}

// pushOrders sends what can't wait for the machines' next reports.
func (c *Core) pushOrders() {
	queue := c.urgentOrders
	c.urgentOrders = nil
	for _, m := range queue {
		m.orderQueued = false
		if c.machines[m.id] != m || m.pending != 0 || m.ordersBusy || m.addr == "" || c.now-m.heard > 2*c.cfg.ReportEvery {
			continue
		}
		cmds := c.commands(m, true)
		if !m.acked || m.bumping {
			cmds = onlyStops(cmds)
		}
		if c.process.strained() && m.busy() {
			// A call costs more than an answer. Where tasks run, reports come with
			// every change and at least each interval: starts go with their answers.
			cmds = slices.DeleteFunc(cmds, func(x Command) bool { return x.Verb == Start })
		}
		if len(cmds) > 0 {
			c.sendOrders(m, cmds)
		}
	}
}

func (c *Core) sendOrders(m *machine, cmds []Command) {
	m.ordersBusy, m.ordersAt = true, c.now
	c.counters.Orders++
	var starts []*assign
	for _, cmd := range cmds {
		if cmd.Verb == Start {
			a := m.assigns[cmd.Task]
			a.phase, a.viaOrders = aSent, true
			starts = append(starts, a)
		}
	}
	token := m.token
	c.emit(Orders{Addr: m.addr, Token: token, Session: m.session, Commands: cmds, Call: c.call(func(b any) {
		r := b.(OrdersReply)
		m.ordersBusy = false
		if c.machines[m.id] != m {
			return
		}
		unsent := func() {
			for _, a := range starts {
				if a.phase == aSent {
					a.phase = aReady
					if !a.job.active() {
						c.setGone(m, a)
					}
				}
			}
		}
		switch r.Out {
		case OK:
			c.ordersDone(m, &r.Report)
		case Conflict:
			unsent()
			if r.Report.Token > m.token {
				c.checkOwner(m)
				return
			}
			c.ordersDone(m, &r.Report)
		case NotDone:
			m.resetStops()
			unsent()
		default:
			m.resetStops()
			if len(starts) > 0 {
				// The command may arrive minutes late; a higher token ends that.
				m.unsure = true
				c.bump(m)
			}
		}
	})})
}

// resetStops notes that the stops sent may not have arrived.
func (m *machine) resetStops() {
	for _, a := range m.assigns {
		a.stopSent = 0
	}
}

func (c *Core) ordersDone(m *machine, r *Report) {
	if r.Machine != m.id {
		return
	}
	if c.reconcile(m, r, true) {
		c.placement.request()
	}
}
