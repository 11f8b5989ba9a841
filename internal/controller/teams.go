package controller

import (
	"slices"
	"sort"

	"stairrelay/internal/cluster"
)

// team is a team with the part that serves it.
type team struct {
	cluster.Team
	shard cluster.ShardID
}

// assignTeamsToShards spreads the teams over the parts by guarantee, largest first.
// It depends on the settings alone, so that every node finds the same.
func assignTeamsToShards(teams []cluster.Team, parts int) map[string]cluster.ShardID {
	sorted := slices.Clone(teams)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := quotaWeight(sorted[i]), quotaWeight(sorted[j])
		if a != b {
			return a > b
		}
		return sorted[i].Name < sorted[j].Name
	})
	load := make([]cluster.Amount, parts)
	partOf := map[string]cluster.ShardID{}
	for _, t := range sorted {
		least := 0
		for p := range load {
			if load[p] < load[least] {
				least = p
			}
		}
		load[least] += quotaWeight(t) + 1
		partOf[t.Name] = cluster.ShardID(least)
	}
	return partOf
}

// quotaWeight compares guarantees: a GPU counts like eight processors.
func quotaWeight(t cluster.Team) cluster.Amount {
	return t.GuaranteedQuota.CPU + t.GuaranteedQuota.GPU*8
}
