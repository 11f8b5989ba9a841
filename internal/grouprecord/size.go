package grouprecord

import "stairrelay/internal/cluster"

// ValueLimit is the number of bytes that the state service accepts as a value. The
// sizes at which records are merged, split and full follow from it. Room is left
// between them, so that a record can grow until it is tidied up.
type ValueLimit int

// Sizes at which records are treated differently, in twentieths of a ValueLimit.
const (
	mergeTwentieths     = 12 // below it a record is merged with others
	mergedTwentieths    = 14 // the largest result of a merge
	splitTwentieths     = 16 // above it a record is split
	softLimitTwentieths = 17 // above it a record grows only by what must be listed
)

// twentieths returns a fraction of the limit in bytes.
func (l ValueLimit) twentieths(count int) int { return int(l) * count / 20 }

// targetMachineBytes is what a machine with a handful of tasks takes of a limit of
// which about half is to be used.
const targetMachineBytes = 80

// minMachines is the number of machines of a record under the smallest limits.
const minMachines = 4

// TargetMachines returns the number of machines that a record is made for: with a
// handful of tasks each they take about half of the limit.
func (l ValueLimit) TargetMachines() int { return max(int(l)/targetMachineBytes, minMachines) }

// maxTaskBytes is the most that a task takes beside its job's id: its range with the
// claim, and the quotes and comma of the job in the table of jobs.
const maxTaskBytes = 28

// HasRoom reports whether a record of size bytes can list one more task of a job
// within the soft limit.
func (l ValueLimit) HasRoom(size int, job cluster.JobID) bool {
	return l.WithinSoftLimit(size + len(job) + maxTaskBytes)
}

// WithinSoftLimit reports whether a record of size bytes may be written by choice. The
// rest of the limit is reserved for what has to be listed in any case.
func (l ValueLimit) WithinSoftLimit(size int) bool { return size <= l.twentieths(softLimitTwentieths) }

// ShouldSplit reports whether a record of size bytes should be split soon.
func (l ValueLimit) ShouldSplit(size int) bool { return size > l.twentieths(splitTwentieths) }

// ShouldMerge reports whether a record of size bytes should be merged with others.
func (l ValueLimit) ShouldMerge(size int) bool { return size < l.twentieths(mergeTwentieths) }

// SplitCount returns into how many records of about half the limit a record of size
// bytes is split, at least 2.
func (l ValueLimit) SplitCount(size int) int { return max(size/(int(l)/2), 2) }

// Size is what counts about a record when it is merged with others.
type Size struct {
	Bytes    int
	Machines int
}

// MergeableCount returns how many records from the first on fit into one, which stays
// well below the size at which it would be split again. The result is less than
// maxWrites, the number of operations that a transaction may have.
func (l ValueLimit) MergeableCount(records []Size, maxWrites int) int {
	var sum Size
	for i, record := range records {
		sum.Bytes += record.Bytes
		sum.Machines += record.Machines
		tooLarge := sum.Bytes > l.twentieths(mergedTwentieths) || sum.Machines > 2*l.TargetMachines()
		if tooLarge || i == maxWrites-1 {
			return i
		}
	}
	return len(records)
}

// What a task adds to a record, in bytes.
const (
	rangeGrowthBytes = 1  // to a range that it continues, which gets another digit at times
	rangeBytes       = 16 // in a range of its own
	jobQuotingBytes  = 3  // the quotes and comma of a job's id in the table of jobs
)

// AddedBytes estimates by how many bytes a record grows with a task. A task that
// continues the range of the task assigned before only widens it. Any other takes a
// range, and its job's id unless the machine has tasks of the job already.
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

// Split divides machines, in order, into as many lists as records are wanted. Their
// records are about equally long. Each list has at least one machine, so there are
// fewer lists where there are fewer machines. taskCount returns how many tasks a
// machine has.
func Split[M any](machines []M, records int, taskCount func(M) int) [][]M {
	length := func(machine M) int { return machineLineBytes + taskBytes*taskCount(machine) }
	remaining := 0 // length of all lists that are not complete
	for _, machine := range machines {
		remaining += length(machine)
	}
	lists := make([][]M, records)
	current, filled := 0, 0 // the list being filled, and its length
	for i, machine := range machines {
		following := records - 1 - current // lists after the current one
		isFull := filled+length(machine)/2 > remaining/(following+1)
		mustAdvance := len(machines)-i <= following // one machine for each of them
		if following > 0 && len(lists[current]) > 0 && (isFull || mustAdvance) {
			remaining -= filled
			current, filled = current+1, 0
		}
		lists[current] = append(lists[current], machine)
		filled += length(machine)
	}
	return lists[:current+1]
}
