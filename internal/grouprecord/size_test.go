package grouprecord

import (
	"fmt"
	"reflect"
	"testing"

	"stairrelay/internal/cluster"
)

// fullRecord returns a record with the target number of machines. Each machine has three
// tasks of different jobs, with attempts of two claims.
func fullRecord(limit ValueLimit) Record {
	record := Record{ShardID: 1, WriteID: "0123456789ab-1234"}
	for i := range limit.TargetMachines() {
		machine := Machine{
			ID:      cluster.MachineID(fmt.Sprintf("m-%06d", i)),
			Kind:    Kind{"depot-small", "haverhill-yard", true},
			Address: "10.1.0.232:9000",
		}
		for k := range 3 {
			job := cluster.JobID(fmt.Sprintf("j-%06d", (i+k)%30))
			machine.Tasks = append(machine.Tasks, newTask(job, 100+i*3+k, 40+uint64(k%2), uint64(20_000+i*7+k)))
		}
		record.Machines = append(record.Machines, machine)
	}
	return record
}

// TestTargetMachines checks that a record with the target number of machines is within the
// soft limit.
func TestTargetMachines(t *testing.T) {
	for _, limit := range []ValueLimit{4096, 8192} {
		record := fullRecord(limit)
		if size := len(Encode(record)); !limit.WithinSoftLimit(size) || size > int(limit)*17/20 {
			t.Errorf("limit %d: a record of %d machines takes %d bytes, want at most 17/20 of the limit", limit, len(record.Machines), size)
		}
	}
	if count := ValueLimit(100).TargetMachines(); count != 4 {
		t.Errorf("TargetMachines = %d under the smallest limit, want 4", count)
	}
}

// TestLimits checks the sizes at which records are merged, are split or get no further tasks
// under a limit of 1000 bytes.
func TestLimits(t *testing.T) {
	const limit ValueLimit = 1000
	for _, test := range []struct {
		size            int
		shouldMerge     bool
		shouldSplit     bool
		withinSoftLimit bool
		splitCount      int
	}{
		{0, true, false, true, 2},
		{599, true, false, true, 2},
		{600, false, false, true, 2},
		{800, false, false, true, 2},
		{801, false, true, true, 2},
		{850, false, true, true, 2},
		{851, false, true, false, 2},
		{1499, false, true, false, 2},
		{1500, false, true, false, 3},
		{5000, false, true, false, 10},
	} {
		t.Run(fmt.Sprint(test.size), func(t *testing.T) {
			if got := limit.ShouldMerge(test.size); got != test.shouldMerge {
				t.Errorf("ShouldMerge = %v, want %v", got, test.shouldMerge)
			}
			if got := limit.ShouldSplit(test.size); got != test.shouldSplit {
				t.Errorf("ShouldSplit = %v, want %v", got, test.shouldSplit)
			}
			if got := limit.WithinSoftLimit(test.size); got != test.withinSoftLimit {
				t.Errorf("WithinSoftLimit = %v, want %v", got, test.withinSoftLimit)
			}
			if got := limit.SplitCount(test.size); got != test.splitCount {
				t.Errorf("SplitCount = %d, want %d", got, test.splitCount)
			}
		})
	}
	// 817 bytes is the soft limit of 850 less maxTaskBytes and the 5 bytes of the job ID.
	if !limit.HasRoom(817, "j-123") || limit.HasRoom(818, "j-123") {
		t.Error("HasRoom does not change between 817 and 818 bytes")
	}
}

// TestRoomSuffices checks that a task with a new job, a long index and the maximum attempt
// count adds no more bytes than HasRoom assumes.
func TestRoomSuffices(t *testing.T) {
	const limit ValueLimit = 4096
	record := fullRecord(limit)
	before := len(Encode(record))
	job := cluster.JobID("a-job-of-its-own")
	machine := &record.Machines[0]
	machine.Tasks = append(machine.Tasks, newTask(job, 99_999, 41, cluster.MaxAttemptCount))
	if added := len(Encode(record)) - before; added > len(job)+maxTaskBytes {
		t.Errorf("the task adds %d bytes, want at most %d", added, len(job)+maxTaskBytes)
	}
}

// TestMergeableCount checks that the merged records stay within seven tenths of the limit and
// twice the target number of machines, and are fewer than a transaction can write.
func TestMergeableCount(t *testing.T) {
	const limit ValueLimit = 1000 // a target of 12 machines per record
	for _, test := range []struct {
		name      string
		sizes     []Size
		maxWrites int
		want      int
	}{
		{"none", nil, 8, 0},
		{"all", []Size{{100, 1}, {200, 1}, {400, 1}}, 8, 3},
		{"too many bytes", []Size{{100, 1}, {200, 1}, {401, 1}}, 8, 2},
		{"first record too large", []Size{{701, 1}}, 8, 0},
		{"too many machines", []Size{{10, 12}, {10, 12}, {10, 1}}, 8, 2},
		{"too many writes", []Size{{10, 1}, {10, 1}, {10, 1}, {10, 1}}, 3, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := limit.MergeableCount(test.sizes, test.maxWrites); got != test.want {
				t.Errorf("MergeableCount = %d, want %d", got, test.want)
			}
		})
	}
}

// TestAddedBytes checks that the estimate is not too small, and at most 12 bytes too large.
func TestAddedBytes(t *testing.T) {
	record := Record{Machines: []Machine{{ID: "m-1", Tasks: []Task{newTask("j-1", 100, 41, 20_000)}}}}
	for _, test := range []struct {
		name      string
		task      Task
		continues bool
		jobListed bool
	}{
		{"first of a range", newTask("j-1", 101, 41, 20_001), false, true},
		{"continues the range", newTask("j-1", 102, 41, 20_002), true, true},
		{"new range", newTask("j-1", 200, 41, 20_009), false, true},
		{"another job", newTask("j-other", 7, 41, 20_010), false, false},
	} {
		before := len(Encode(record))
		machine := &record.Machines[0]
		machine.Tasks = append(machine.Tasks, test.task)
		added := len(Encode(record)) - before
		estimate := AddedBytes(test.task.ID.Job, test.continues, test.jobListed)
		if added > estimate || added < estimate-12 {
			t.Errorf("%s: task adds %d bytes, estimated %d", test.name, added, estimate)
		}
	}
}

// TestSplit checks that every machine is in one list, in order, and that the lists have
// about the same size.
func TestSplit(t *testing.T) {
	taskCount := func(machine int) int { return machine }
	for _, test := range []struct {
		machines []int // the number of tasks of each machine
		records  int
		want     [][]int
	}{
		{[]int{1, 1, 1, 1}, 2, [][]int{{1, 1}, {1, 1}}},
		{[]int{1, 1, 1, 1, 1, 1}, 3, [][]int{{1, 1}, {1, 1}, {1, 1}}},
		{[]int{50, 1, 1, 1}, 2, [][]int{{50}, {1, 1, 1}}},
		{[]int{1, 1, 1, 50}, 2, [][]int{{1, 1, 1}, {50}}},
		{[]int{1, 50, 1}, 3, [][]int{{1}, {50}, {1}}},
		{[]int{1}, 3, [][]int{{1}}},
		{[]int{7, 8}, 1, [][]int{{7, 8}}},
	} {
		if got := Split(test.machines, test.records, taskCount); !reflect.DeepEqual(got, test.want) {
			t.Errorf("Split(%v, %d) = %v, want %v", test.machines, test.records, got, test.want)
		}
	}
}

// BenchmarkEncode measures the encoding of a full record.
func BenchmarkEncode(b *testing.B) {
	record := fullRecord(8192)
	b.ReportAllocs()
	for range b.N {
		if len(Encode(record)) == 0 {
			b.Fatal("the encoded record is empty")
		}
	}
}
