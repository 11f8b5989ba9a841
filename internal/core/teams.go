package core

import (
	"slices"
	"sort"
)

// team is a team with the part that serves it.
type team struct {
	Team
	part Part
}

// assignTeams spreads the teams over the parts by guarantee, largest first.
// It depends on the settings alone, so that every node finds the same.
func assignTeams(teams []Team, parts int) map[string]Part {
	sorted := slices.Clone(teams)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := guaranteeWeight(sorted[i]), guaranteeWeight(sorted[j])
		if a != b {
			return a > b
		}
		return sorted[i].Name < sorted[j].Name
	})
	load := make([]Amount, parts)
	partOf := map[string]Part{}
	for _, t := range sorted {
		least := 0
		for p := range load {
			if load[p] < load[least] {
				least = p
			}
		}
		load[least] += guaranteeWeight(t) + 1
		partOf[t.Name] = Part(least)
	}
	return partOf
}

// guaranteeWeight compares guarantees: a GPU counts like eight processors.
func guaranteeWeight(t Team) Amount { return t.Guarantee.CPU + t.Guarantee.GPU*8 }
