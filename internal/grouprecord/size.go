package grouprecord

import "stairrelay/internal/cluster"

// ValueLimit is the maximum number of bytes of a value in the store. It determines the
// sizes at which records are merged, are split, or get no further tasks. The sizes differ
// enough for a merged record to grow before it has to be split.
type ValueLimit int

// Size thresholds in twentieths of a ValueLimit.
const (
	mergeTwentieths     = 12 // smaller records are merged
	mergedTwentieths    = 14 // maximum size after a merge
	splitTwentieths     = 16 // larger records are split
	softLimitTwentieths = 17 // larger records get no further tasks
)

// twentieths returns count twentieths of the limit in bytes.
func (l ValueLimit) twentieths(count int) int { return int(l) * count / 20 }

// targetMachineBytes is the number of bytes of the limit that TargetMachines allots to a
// machine.
const targetMachineBytes = 80

// minMachines is the minimum of TargetMachines.
const minMachines = 4

// TargetMachines returns the maximum number of machines that a new record should list. With
// a few tasks on each machine, such a record takes about half of the limit.
func (l ValueLimit) TargetMachines() int { return max(int(l)/targetMachineBytes, minMachines) }

// maxTaskBytes is the maximum size of a task in a record, not counting its job ID: a range
// with its claim, and the quotes and comma of the ID in the table of jobs.
const maxTaskBytes = 28

// HasRoom reports whether one more task of a job fits into a record of size bytes within
// the soft limit.
func (l ValueLimit) HasRoom(size int, job cluster.JobID) bool {
	return l.WithinSoftLimit(size + len(job) + maxTaskBytes)
}

// WithinSoftLimit reports whether a record of size bytes is within the soft limit. The
// space above the soft limit is reserved for changes that can't be postponed.
func (l ValueLimit) WithinSoftLimit(size int) bool { return size <= l.twentieths(softLimitTwentieths) }

// ShouldSplit reports whether a record of size bytes should be split.
func (l ValueLimit) ShouldSplit(size int) bool { return size > l.twentieths(splitTwentieths) }

// ShouldMerge reports whether a record of size bytes should be merged with others.
func (l ValueLimit) ShouldMerge(size int) bool { return size < l.twentieths(mergeTwentieths) }

// SplitCount returns the number of records into which a record of size bytes is split. It
// is at least 2, and each of the records takes about half of the limit.
func (l ValueLimit) SplitCount(size int) int { return max(size/(int(l)/2), 2) }

// Size holds the properties of a record that limit which records are merged.
type Size struct {
	Bytes    int
	Machines int
}

// MergeableCount returns the number of leading records that fit into one record that is
// well below the size at which it would be split again. The result is less than maxWrites,
// the maximum number of operations in a transaction.
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

// Estimates of what a task adds to a record, in bytes.
const (
	rangeGrowthBytes = 1  // for a task that continues a range, whose last index may get another digit
	rangeBytes       = 16 // for a task in a new range
	jobQuotingBytes  = 3  // quotes and comma of a job ID in the table of jobs
)

// AddedBytes estimates by how many bytes a task enlarges a record. The argument continues is
// true if the task continues the range of the previously assigned task, and jobListed is
// true if the machine already has tasks of the job.
func AddedBytes(job cluster.JobID, continues, jobListed bool) int {
	switch {
	case continues:
		return rangeGrowthBytes
	case jobListed:
		return rangeBytes
	}
	return rangeBytes + len(job) + jobQuotingBytes
}

// Estimates, in bytes, from which Split computes the size of a machine in a record.
const (
	machineEntryBytes = 40 // ID, kind and address
	taskBytes         = 16
)

// Split divides machines, in order, into at most the given number of lists. The records of
// the lists have about the same size. Each list has at least one machine, so there are
// fewer lists if there are fewer machines. taskCount returns the number of tasks of a
// machine.
func Split[M any](machines []M, records int, taskCount func(M) int) [][]M {
	size := func(machine M) int { return machineEntryBytes + taskBytes*taskCount(machine) }
	remaining := 0 // total size of the current list and the lists after it
	for _, machine := range machines {
		remaining += size(machine)
	}
	lists := make([][]M, records)
	current, currentSize := 0, 0 // index and size of the list being filled
	for i, machine := range machines {
		following := records - 1 - current // lists after the current one
		isFull := currentSize+size(machine)/2 > remaining/(following+1)
		mustAdvance := len(machines)-i <= following // each of the following lists needs a machine
		if following > 0 && len(lists[current]) > 0 && (isFull || mustAdvance) {
			remaining -= currentSize
			current, currentSize = current+1, 0
		}
		lists[current] = append(lists[current], machine)
		currentSize += size(machine)
	}
	return lists[:current+1]
}
