package scheduling

import (
	"cmp"

	"stairrelay/internal/cluster"
)

// Never is the latest start, in milliseconds, of a job that can't meet any of its
// objectives any more.
const NoLatestStart = 1e18

// overdueHorizons is the number of horizons after which a job that has missed its
// objectives is served as if it were urgent. Without it, large and less important
// jobs would starve while small and urgent ones keep coming.
const overdueHorizons = 4

// maxDelayHorizons is the largest number of horizons by which a job is moved back in
// favour of smaller ones.
const maxDelayHorizons = 2

const millisPerSecond = 1000

// JobFacts is what the rank of a job follows from. Times of day are milliseconds
// since 1970.
type RankInput struct {
	Priority          cluster.Priority
	WithinGuarantee   bool    // the job and the team's earlier unfinished ones are within the guaranteed quota
	Now               float64 // time of day
	ReadySince        float64 // time of day from which the job could start
	LatestStart       float64 // time of day by which it must start to meet the next objective that it still can, or Never
	Horizon           float64 // the longest time that its objectives allow, in milliseconds
	WholeShardSeconds float64 // how long its pending work would occupy all machines of the shard, in seconds
}

// JobRank is the place of a job in the queue order of its shard.
type JobRank struct {
	tier            cluster.Priority // at least Urgent: before all other work; else 0
	withinGuarantee bool
	missedSLO       bool    // no objective can be met any more, and it is not overdue yet
	latestStart     float64 // time of day in milliseconds, moved back for large jobs
}

// RankJob returns the rank of a job. Urgent and overdue work comes first, then what
// is within its team's guaranteed quota, then what can still meet an objective, each
// by latest start. A job's latest start is moved back by smallFirst times what its
// work would occupy the shard, so that small jobs come before large ones.
func RankJob(input RankInput, shortJobWeight float64) JobRank {
	rank := JobRank{withinGuarantee: input.WithinGuarantee, latestStart: input.LatestStart}
	if input.Priority >= cluster.Urgent {
		rank.tier = input.Priority
	}
	if input.LatestStart != NoLatestStart {
		delay := shortJobWeight * millisPerSecond * input.WholeShardSeconds
		rank.latestStart += min(delay, maxDelayHorizons*input.Horizon)
		return rank
	}
	rank.latestStart = input.ReadySince
	rank.missedSLO = input.Now < input.ReadySince+overdueHorizons*input.Horizon
	if !rank.missedSLO {
		rank.tier = max(rank.tier, cluster.Urgent)
	}
	return rank
}

// Compare returns a negative number when a job of rank r is served before one of
// rank other, a positive one when it is served after it, and 0 for equal ranks.
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

// trueFirst compares two items that differ in a property: the one that has it comes
// first.
func trueFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}
