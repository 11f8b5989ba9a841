package controller

import (
	"fmt"

	"stairrelay/internal/cluster"
)

// UsageMismatch says where the kept sums of tasks differ from the tasks
// themselves, or returns "".
func (c *Controller) UsageMismatch() string {
	for _, p := range c.shards {
		teams := teamUsage{}
		for _, m := range p.machines {
			var sum cluster.Resources
			n := 0
			for _, a := range m.assignments {
				if a.isLive() {
					n++
					sum = sum.Plus(a.resourceRequest)
					teams[a.job.spec.Team] = teams[a.job.spec.Team].Plus(a.resourceRequest)
				}
			}
			if sum != m.usedResources() || n != m.liveTaskCount() {
				return fmt.Sprintf("%s: %d tasks take %v, counted are %d with %v", m.id, n, sum, m.liveTaskCount(), m.usedResources())
			}
		}
		for team, kept := range p.usage {
			if kept != teams[team] {
				return fmt.Sprintf("part %d: %s takes %v, counted is %v", p.id, team, teams[team], kept)
			}
		}
		for team, sum := range teams {
			if sum != p.usage[team] {
				return fmt.Sprintf("part %d: %s takes %v, counted is %v", p.id, team, sum, p.usage[team])
			}
		}
	}
	return ""
}

// OwnedMachines counts the machines that are up of the parts held here, and those
// of them whose workers have acknowledged their tokens.
func (c *Controller) OwnedMachines() (acknowledged, up int) {
	for _, m := range c.machines {
		if m.booting {
			continue
		}
		up++
		if m.tokenAcknowledged {
			acknowledged++
		}
	}
	return acknowledged, up
}

// StalledShards counts the parts without progress.
func (c *Controller) StalledShards() int { return c.stalledShardCount() }

// Work is what a controller has counted since the last periodic log line.
type Work struct {
	MachineScans int
	Puts         int
	PeerCalls    int
}

// Work returns it.
func (c *Controller) Work() Work {
	return Work{
		MachineScans: c.counters.MachineScans,
		Puts:         c.writeQueue.Counters().Puts,
		PeerCalls:    c.members.CallCount(),
	}
}
