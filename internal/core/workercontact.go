package core

// workerContact tells whether workers reach this node.
//
// lost is set only while this node holds machines that should report, and is
// cleared only by a report or by a worker that could be called.
type workerContact struct {
	lastReport    Time // of a machine held here
	lastAnyReport Time // also of another's
	lost          bool
	addr          string // of a silent worker, to find out whether it can be reached
}

// heardAny tells whether any worker has reported here within a time.
func (s *workerContact) heardAny(now, within Time) bool {
	return s.lastAnyReport > 0 && now-s.lastAnyReport < within
}

// reporting tells whether a machine held here has reported within a time.
func (s *workerContact) reporting(now, within Time) bool {
	return s.lastReport > 0 && now-s.lastReport < within
}

// manyMachines report so often between them that half the patience is enough:
// a short lease leaves a successor little time to answer them.
const manyMachines = 20

// workersOK is false when this node has machines but no worker has reported
// for several intervals, as when it is cut from the workers. It stays false
// until a worker has been reached again, also after the parts are given up.
func (c *Core) workersOK() bool {
	s := &c.workerContact
	patience := 3 * c.cfg.ReportEvery
	if len(c.machines) >= manyMachines {
		patience /= 2
	}
	if c.now-s.lastReport < patience {
		s.lost = false
		return true
	}
	silent := 0
	addr := ""
	for _, p := range c.parts {
		for _, m := range p.machines {
			if !m.booting && c.now-max(m.since, c.process.resumedAt) > patience {
				silent++
				addr = m.addr
			}
		}
	}
	if silent > 1 { // a single one may just hang
		s.lost, s.addr = true, addr
	}
	return !s.lost
}

// inspectWorker asks a worker for its state while the workers seem lost.
func (c *Core) inspectWorker() {
	s := &c.workerContact
	if !s.lost || s.addr == "" {
		return
	}
	c.emit(Inspect{Addr: s.addr, Call: c.call(func(b any) {
		if b.(OrdersReply).Out == OK {
			s.lost = false
			s.lastReport = c.now
		}
	})})
}
