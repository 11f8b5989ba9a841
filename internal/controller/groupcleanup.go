package controller

import (
	"maps"
	"slices"

	"stairrelay/internal/writequeue"
)

// cleanUpGroups clears what records list though it is over, and keeps the
// records' sizes in hand.
func (c *Controller) cleanUpGroups() {
	for _, id := range slices.Sorted(maps.Keys(c.state.Groups)) {
		g := c.state.Groups[id]
		if g.WritePending {
			continue
		}
	machines:
		for _, m := range g.SortedMachines() {
			for _, a := range m.Assignments {
				if a.ConfirmedAbsent {
					c.inventory.WriteGroup(g, writequeue.Background)
					break machines
				}
			}
		}
	}
	for _, p := range c.state.Shards {
		if p.Owned && p.Ready {
			c.inventory.SplitAndMerge(p)
		}
	}
}
