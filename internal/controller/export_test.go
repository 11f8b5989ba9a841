package controller

import (
	"fmt"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// UsageMismatch says where the kept sums of tasks differ from the tasks
// themselves, or returns "".
func (c *Controller) UsageMismatch() string {
	for _, shard := range c.state.Shards {
		if mismatch := shardUsageMismatch(shard); mismatch != "" {
			return mismatch
		}
	}
	return ""
}

// shardUsageMismatch compares the sums of a shard's machines and of its teams.
func shardUsageMismatch(shard *state.Shard) string {
	teams := state.TeamUsage{}
	for _, machine := range shard.Machines {
		if mismatch := machineUsageMismatch(machine, teams); mismatch != "" {
			return mismatch
		}
	}
	for team, kept := range shard.Usage {
		if kept != teams[team] {
			return fmt.Sprintf("shard %d: %s takes %v, counted is %v", shard.ID, team, teams[team], kept)
		}
	}
	for team, sum := range teams {
		if sum != shard.Usage[team] {
			return fmt.Sprintf("shard %d: %s takes %v, counted is %v", shard.ID, team, sum, shard.Usage[team])
		}
	}
	return ""
}

// machineUsageMismatch compares a machine's sums with its tasks, and adds these to
// their teams' usage.
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
		return fmt.Sprintf("%s: %d tasks take %v, counted are %d with %v", machine.ID, count, sum, machine.LiveTaskCount(), machine.UsedResources())
	}
	return ""
}

// OwnedMachines counts the machines that are up in the shards owned here, and those
// of them whose workers have acknowledged their fencing tokens.
func (c *Controller) OwnedMachineCounts() (acknowledged, up int) {
	for _, machine := range c.state.Machines {
		if machine.Booting {
			continue
		}
		up++
		if machine.TokenAcknowledged {
			acknowledged++
		}
	}
	return acknowledged, up
}

// StalledShards counts the shards without progress.
func (c *Controller) StalledShardCount() int { return c.stalledShardCount() }

// Work is what a controller has counted since the last periodic log line.
type WorkCounts struct {
	MachineScans int
	Puts         int
	PeerCalls    int
}

// Work returns the counters since the last periodic log line.
func (c *Controller) WorkCounts() WorkCounts {
	return WorkCounts{
		MachineScans: c.counters.MachineScans,
		Puts:         c.writeQueue.Counters().Puts,
		PeerCalls:    c.members.CallCount(),
	}
}
