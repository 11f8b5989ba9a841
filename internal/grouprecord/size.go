package grouprecord

import "stairrelay/internal/cluster"

// ValueLimit is how many bytes the state service takes as a value. What a
// record may grow to follows from it: between the sizes at which records are
// joined, split and full there is room for what comes before they are tidied.
type ValueLimit int

// targetMachineBytes is what a machine with a handful of tasks takes of a limit that
// is to be about half used.
const targetMachineBytes = 80

// minMachines is what a record is made for under the smallest limits.
const minMachines = 4

// TargetMachines is how many machines a record is made for: with a handful of tasks
// each they take about half of the limit.
func (l ValueLimit) TargetMachines() int { return max(int(l)/targetMachineBytes, minMachines) }

// maxTaskBytes is the most that a task takes beside its job's id: its range,
// with the claim, and the job's quotes and comma.
const maxTaskBytes = 28

// HasRoom tells whether a record of a size can list one more task of a job.
func (l ValueLimit) HasRoom(size int, job cluster.JobID) bool {
	return l.WithinSoftLimit(size + len(job) + maxTaskBytes)
}

// WithinSoftLimit tells whether a record of a size may be written of one's own accord.
// The rest of the limit is kept for what has to be listed in any case.
func (l ValueLimit) WithinSoftLimit(size int) bool { return size <= int(l)*17/20 }

// ShouldSplit tells whether a record should be split in time.
func (l ValueLimit) ShouldSplit(size int) bool { return size > int(l)*4/5 }

// ShouldMerge tells whether a record should be joined with others.
func (l ValueLimit) ShouldMerge(size int) bool { return size < int(l)*3/5 }

// SplitCount is how many records of half the limit a record is split into.
func (l ValueLimit) SplitCount(size int) int { return max(size/(int(l)/2), 2) }

// Size is what counts about a record when it is to be joined with others.
type Size struct {
	Bytes    int
	Machines int
}

// MergeableCount returns how many records from the first on fit into one, which must
// stay well below what is split again. A transaction may write so many.
func (l ValueLimit) MergeableCount(records []Size, mostWrites int) int {
	var sum Size
	for i, r := range records {
		sum.Bytes += r.Bytes
		sum.Machines += r.Machines
		if sum.Bytes > int(l)*7/10 || sum.Machines > 2*l.TargetMachines() || i == mostWrites-1 {
			return i
		}
	}
	return len(records)
}

// What a task adds to a record, in bytes.
const (
	rangeGrowthBytes = 1  // of a range that gets another digit at times
	rangeBytes       = 16 // of a range of its own
	jobQuotingBytes  = 3  // the quotes and comma of a job's id in the table
)

// AddedBytes is about how much longer a record gets by a task: one that
// continues the range of the task placed before only widens it. Else it takes
// a range, and its job's id if the machine has no task of the job yet.
func AddedBytes(job cluster.JobID, continues, jobListed bool) int {
	switch {
	case continues:
		return rangeGrowthBytes
	case jobListed:
		return rangeBytes
	}
	return rangeBytes + len(job) + jobQuotingBytes
}

// What a machine takes in the estimate by which a record is split, in bytes.
const (
	machineLineBytes = 40 // its id, kind and address
	taskBytes        = 16
)

// Split divides machines into so many lists whose records are about equally
// long, each with at least one. It returns fewer where there are fewer machines.
// tasks is how many a machine has.
func Split[M any](machines []M, records int, tasks func(M) int) [][]M {
	length := func(m M) int { return machineLineBytes + taskBytes*tasks(m) }
	rest := 0 // of the lists that are not complete
	for _, m := range machines {
		rest += length(m)
	}
	lists := make([][]M, records)
	last, filled := 0, 0
	for i, m := range machines {
		more := records - 1 - last // lists that are still to come
		enough := filled+length(m)/2 > rest/(more+1)
		needed := len(machines)-i <= more
		if more > 0 && len(lists[last]) > 0 && (enough || needed) {
			rest -= filled
			last, filled = last+1, 0
		}
		lists[last] = append(lists[last], m)
		filled += length(m)
	}
	return lists[:last+1]
}
