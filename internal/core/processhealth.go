package core

// processHealth tells how the process itself is served by its machine.
type processHealth struct {
	load      Load // as last told
	resumedAt Time // when the process last went on after standing still
}

const (
	// standstill: timers are due several times a second, so a gap between events
	// as long as this means that the process stood still while its clocks ran on.
	standstill = 3 * second
	// busyLimit is the part of the allowed processor time, and lagLimit the delay
	// of events, above which what can wait is done less often.
	busyLimit = 0.75
	lagLimit  = 150 * milli
)

// strained tells whether the process is about to use more than its share of
// the processor. What comes in late then are leases, acceptances and calls of
// other controllers; placing and renting less often leaves time for those.
func (h *processHealth) strained() bool { return h.load.Busy > busyLimit || h.load.Lag > lagLimit }

// pause stretches the time between two decisions that can wait while the
// process is strained.
func (h *processHealth) pause(d Time) Time {
	if !h.strained() {
		return d
	}
	return min(5*d+h.load.Lag/2, second)
}

// resume is called when the process has stood still. What it knows is as old as
// that: another may hold its parts, and that no machine was heard in the gap
// says nothing about the machines.
func (c *Core) resume() {
	c.process.resumedAt = c.now
	c.logf(LogInfo, "stood still")
	for _, p := range c.parts {
		if p.held {
			c.rereadPart(p)
		}
	}
}

// silentFor is how long a machine could have been heard and was not.
func (c *Core) silentFor(m *machine) Time { return c.now - max(m.heard, c.process.resumedAt) }
