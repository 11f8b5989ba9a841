package state

import (
	"slices"
	"sort"

	"stairrelay/internal/cluster"
)

// Team is a team with the shard that serves it.
type Team struct {
	cluster.Team
	ShardID cluster.ShardID
}

// AssignTeamsToShards returns the shard of each team. The teams are assigned in descending
// order of their guaranteed quotas, each to the shard with the lowest sum of quotas so
// far. The result depends only on the settings, so that all nodes compute the same one.
func AssignTeamsToShards(teams []cluster.Team, shards int) map[string]cluster.ShardID {
	sorted := slices.Clone(teams)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := quotaWeight(sorted[i]), quotaWeight(sorted[j])
		if a != b {
			return a > b
		}
		return sorted[i].Name < sorted[j].Name
	})
	load := make([]cluster.Amount, shards)
	shardOf := map[string]cluster.ShardID{}
	for _, t := range sorted {
		least := 0
		for shard := range load {
			if load[shard] < load[least] {
				least = shard
			}
		}
		load[least] += quotaWeight(t) + 1
		shardOf[t.Name] = cluster.ShardID(least)
	}
	return shardOf
}

// quotaWeight returns a number by which guaranteed quotas are compared. A GPU counts as
// much as eight CPUs.
func quotaWeight(t cluster.Team) cluster.Amount {
	return t.GuaranteedQuota.CPU + t.GuaranteedQuota.GPU*8
}
