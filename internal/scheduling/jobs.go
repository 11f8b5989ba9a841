// Package scheduling orders the pending jobs of a shard, and the machines that a
// job's tasks may be assigned to.
package scheduling

import (
	"cmp"

	"stairrelay/internal/cluster"
)

// Never is the latest start of a job that can't meet any aim any more.
const Never = 1e18

// overdueHorizons: a job that has missed its aims goes before newer urgent work
// after this many times its horizon, so that the large and the less important
// are served even if small and urgent work keeps coming.
const overdueHorizons = 4

// pushBackHorizons: a job is moved back for smaller ones by at most this many
// times its horizon.
const pushBackHorizons = 2

const millisPerSecond = 1000

// JobFacts is what a job's rank follows from. Times are milliseconds of the time
// of day.
type JobFacts struct {
	Priority         cluster.Priority
	WithinGuarantee  bool    // within its team's guarantee, as are its earlier unfinished jobs
	Now              float64 // the time of day
	ReadySince       float64 // when the job could first start
	LatestStart      float64 // to meet the first of its aims that it still can, or Never
	Horizon          float64 // the longest time that its aims give it, in milliseconds
	ExclusiveSeconds float64 // how long its waiting work would take all of the part, in seconds
}

// JobRank says when a job is served among the others of its part.
type JobRank struct {
	tier            cluster.Priority // urgent work goes before all other
	withinGuarantee bool
	missedSLO       bool // for good, but not overdue
	latestStart     float64
}

// RankJob works out a job's rank. Those within their team's guarantee go first,
// the urgent before the others, then by their latest start. smallFirst is by how
// many times what its work takes a job moves back behind others.
func RankJob(f JobFacts, smallFirst float64) JobRank {
	r := JobRank{withinGuarantee: f.WithinGuarantee, latestStart: f.LatestStart}
	if f.Priority >= cluster.Urgent {
		r.tier = f.Priority
	}
	if f.LatestStart != Never {
		r.latestStart += min(smallFirst*millisPerSecond*f.ExclusiveSeconds, pushBackHorizons*f.Horizon)
		return r
	}
	r.latestStart = f.ReadySince
	r.missedSLO = f.Now < f.ReadySince+overdueHorizons*f.Horizon
	if !r.missedSLO {
		r.tier = max(r.tier, cluster.Urgent)
	}
	return r
}

// Compare is negative when a job of rank r is served before one of the other.
func (r JobRank) Compare(other JobRank) int {
	switch {
	case r.tier != other.tier:
		return cmp.Compare(other.tier, r.tier)
	case r.withinGuarantee != other.withinGuarantee:
		return trueFirst(r.withinGuarantee)
	case r.missedSLO != other.missedSLO:
		return trueFirst(other.missedSLO)
	}
	return cmp.Compare(r.latestStart, other.latestStart)
}

// trueFirst orders two that differ in a property by whether the first has it.
func trueFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}
