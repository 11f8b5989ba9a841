package controller

import (
	"fmt"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
)

// UsageMismatch says where the kept sums of tasks differ from the tasks
// themselves, or returns "".
func (c *Controller) UsageMismatch() string {
	for _, p := range c.state.Shards {
		teams := state.TeamUsage{}
		for _, m := range p.Machines {
			var sum cluster.Resources
			n := 0
			for _, a := range m.Assignments {
				if a.IsLive() {
					n++
					sum = sum.Plus(a.ResourceRequest)
					teams[a.Job.Spec.Team] = teams[a.Job.Spec.Team].Plus(a.ResourceRequest)
				}
			}
			if sum != m.UsedResources() || n != m.LiveTaskCount() {
				return fmt.Sprintf("%s: %d tasks take %v, counted are %d with %v", m.ID, n, sum, m.LiveTaskCount(), m.UsedResources())
			}
		}
		for team, kept := range p.Usage {
			if kept != teams[team] {
				return fmt.Sprintf("part %d: %s takes %v, counted is %v", p.ID, team, teams[team], kept)
			}
		}
		for team, sum := range teams {
			if sum != p.Usage[team] {
				return fmt.Sprintf("part %d: %s takes %v, counted is %v", p.ID, team, sum, p.Usage[team])
			}
		}
	}
	return ""
}

// OwnedMachines counts the machines that are up of the parts held here, and those
// of them whose workers have acknowledged their tokens.
func (c *Controller) OwnedMachines() (acknowledged, up int) {
	for _, m := range c.state.Machines {
		if m.Booting {
			continue
		}
		up++
		if m.TokenAcknowledged {
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
