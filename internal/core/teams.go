package core

import (
	"slices"
	"sort"
)

// team is a team with the part that serves it.
type team struct {
	Team
	shard ShardID
}

// assignTeams spreads the teams over the parts by guarantee, largest first.
// It depends on the settings alone, so that every node finds the same.
func assignTeamsToShards(teams []Team, parts int) map[string]ShardID {
	sorted := slices.Clone(teams)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := quotaWeight(sorted[i]), quotaWeight(sorted[j])
		if a != b {
			return a > b
		}
		return sorted[i].Name < sorted[j].Name
	})
	load := make([]Amount, parts)
	partOf := map[string]ShardID{}
	for _, t := range sorted {
		least := 0
		for p := range load {
			if load[p] < load[least] {
				least = p
			}
		}
		load[least] += quotaWeight(t) + 1
		partOf[t.Name] = ShardID(least)
	}
	return partOf
}

// guaranteeWeight compares guarantees: a GPU counts like eight processors.
func quotaWeight(t Team) Amount { return t.GuaranteedQuota.CPU + t.GuaranteedQuota.GPU*8 }
