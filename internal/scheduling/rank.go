package scheduling

import (
	"cmp"

	"stairrelay/internal/cluster"
)

// NoLatestStart is the latest start, in milliseconds, of a job that can no longer meet
// any of its objectives.
const NoLatestStart = 1e18

// overdueHorizons is the number of horizons after which a job that has missed its
// objectives is scheduled as if it were urgent. A horizon is the longest time that the
// job's objectives allow. Without this limit, large jobs and jobs of low priority would
// starve under a steady load of small and urgent ones.
const overdueHorizons = 4

// maxDelayHorizons is the maximum number of horizons by which a job is delayed in favor
// of smaller ones.
const maxDelayHorizons = 2

const millisPerSecond = 1000

// RankInput is the input of RankJob. Points in time are in milliseconds of Unix time.
type RankInput struct {
	Priority          cluster.Priority
	WithinGuarantee   bool    // whether the job and the team's earlier unfinished jobs fit into the guaranteed quota
	Now               float64 // current time
	ReadySince        float64 // when the job became ready
	LatestStart       float64 // see JobQueue.LatestStart; NoLatestStart if no objective can be met
	Horizon           float64 // longest time that the job's objectives allow, in milliseconds
	WholeShardSeconds float64 // how long the job's pending tasks would occupy all machines of the shard
}

// JobRank determines the position of a job in the queue of its shard.
type JobRank struct {
	tier            cluster.Priority // priority of urgent and overdue jobs, 0 for all others
	withinGuarantee bool
	missedSLO       bool    // whether no objective can be met and the job is not overdue yet
	latestStart     float64 // milliseconds of Unix time, including the delay of large jobs
}

// RankJob returns the rank of a job. Urgent and overdue jobs come first, by priority, then
// jobs within their team's guaranteed quota, then jobs that can still meet an objective.
// Jobs that are equal in these respects are ordered by latest start, or by when they became
// ready if they have missed all objectives.
//
// The latest start is delayed by shortJobWeight times WholeShardSeconds, but by at most
// maxDelayHorizons horizons, so that small jobs come before large ones.
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

// Compare returns a negative number if a job of rank r comes before a job of rank other,
// a positive number if it comes after it, and 0 if the ranks are equal.
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

// trueFirst compares two items that differ in a boolean property. It returns -1 if the
// first one has the property, and 1 otherwise.
func trueFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}
