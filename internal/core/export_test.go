package core

import "fmt"

// UseMismatch says where the kept sums of tasks differ from the tasks
// themselves, or returns "".
func (c *Core) UseMismatch() string {
	for _, p := range c.parts {
		teams := teamUse{}
		for _, m := range p.machines {
			var sum Res
			n := 0
			for _, a := range m.assigns {
				if a.live() {
					n++
					sum = sum.Plus(a.need)
					teams[a.job.spec.Team] = teams[a.job.spec.Team].Plus(a.need)
				}
			}
			if sum != m.used() || n != m.liveTasks() {
				return fmt.Sprintf("%s: %d tasks take %v, counted are %d with %v", m.id, n, sum, m.liveTasks(), m.used())
			}
		}
		for team, kept := range p.use {
			if kept != teams[team] {
				return fmt.Sprintf("part %d: %s takes %v, counted is %v", p.id, team, teams[team], kept)
			}
		}
		for team, sum := range teams {
			if sum != p.use[team] {
				return fmt.Sprintf("part %d: %s takes %v, counted is %v", p.id, team, sum, p.use[team])
			}
		}
	}
	return ""
}

// MachinesHeld counts the machines that are up of the parts held here, and those
// of them whose workers have acknowledged their tokens.
func (c *Core) MachinesHeld() (acknowledged, up int) {
	for _, m := range c.machines {
		if m.booting {
			continue
		}
		up++
		if m.acked {
			acknowledged++
		}
	}
	return acknowledged, up
}

// StalledParts counts the parts without progress.
func (c *Core) StalledParts() int { return c.stalledParts() }

// Counts returns what was counted since the last periodic log line.
func (c *Core) Counts() Counters { return c.counters }
