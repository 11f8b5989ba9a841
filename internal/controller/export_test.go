package controller

import (
	"fmt"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// UsageMismatch describes the first difference between the cached resource usage and the
// sum over the tasks. The result is empty if there is none.
func (c *Controller) UsageMismatch() string {
	for _, shard := range c.state.Shards {
		if mismatch := shardUsageMismatch(shard); mismatch != "" {
			return mismatch
		}
	}
	return ""
}

// shardUsageMismatch describes the first difference in the cached usage of a shard's
// machines and teams.
func shardUsageMismatch(shard *state.Shard) string {
	teams := state.TeamUsage{}
	for _, machine := range shard.Machines {
		if mismatch := machineUsageMismatch(machine, teams); mismatch != "" {
			return mismatch
		}
	}
	for team, cached := range shard.Usage {
		if cached != teams[team] {
			return fmt.Sprintf("shard %d: tasks of team %s use %v, but the cached usage is %v", shard.ID, team, teams[team], cached)
		}
	}
	for team, sum := range teams {
		if sum != shard.Usage[team] {
			return fmt.Sprintf("shard %d: tasks of team %s use %v, but the cached usage is %v", shard.ID, team, sum, shard.Usage[team])
		}
	}
	return ""
}

// machineUsageMismatch describes the difference between a machine's cached usage and the
// sum over its tasks, and adds the tasks' requests to teams. The result is empty if there
// is no difference.
func machineUsageMismatch(machine *state.Machine, teams state.TeamUsage) string {
	var sum cluster.Resources
	count := 0
	for _, assignment := range machine.Assignments {
		if assignment.IsLive() {
			count++
			sum = sum.Plus(assignment.ResourceRequest)
			team := assignment.Job.Spec.Team
			teams[team] = teams[team].Plus(assignment.ResourceRequest)
		}
	}
	if sum != machine.UsedResources() || count != machine.LiveTaskCount() {
		return fmt.Sprintf("machine %s: %d tasks use %v, but the cache has %d tasks that use %v", machine.ID, count, sum, machine.LiveTaskCount(), machine.UsedResources())
	}
	return ""
}

// OwnedMachineCounts returns two counts of the booted machines in the owned shards: those
// whose workers have acknowledged their fencing tokens, and all of them.
func (c *Controller) OwnedMachineCounts() (acknowledged, booted int) {
	for _, machine := range c.state.Machines {
		if machine.Booting {
			continue
		}
		booted++
		if machine.TokenAcknowledged {
			acknowledged++
		}
	}
	return acknowledged, booted
}

// StalledShardCount returns the number of shards without progress for at least
// stallThreshold progress checks.
func (c *Controller) StalledShardCount() int { return c.stalledShardCount() }

// WorkCounts holds counters of a controller's work since the last periodic log line.
type WorkCounts struct {
	MachineScans int
	Puts         int
	PeerCalls    int
}

// WorkCounts returns the counters since the last periodic log line.
func (c *Controller) WorkCounts() WorkCounts {
	return WorkCounts{
		MachineScans: c.counters.MachineScans,
		Puts:         c.writeQueue.Counters().Puts,
		PeerCalls:    c.members.CallCount(),
	}
}
