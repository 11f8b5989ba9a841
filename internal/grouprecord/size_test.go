package grouprecord

import (
	"fmt"
	"reflect"
	"testing"

	"stairrelay/internal/cluster"
)

// fullRecord lists as many machines as a record is made for, with three tasks
// of three jobs each, of an earlier claim and this one.
func fullRecord(limit ValueLimit) Record {
	rec := Record{ShardID: 1, WriteID: "0123456789ab-1234"}
	for i := range limit.TargetMachines() {
		m := Machine{ID: cluster.MachineID(fmt.Sprintf("m-%06d", i)), Kind: Kind{"depot-small", "haverhill-yard", true}, Address: "10.1.0.232:9000"}
		for k := range 3 {
			job := cluster.JobID(fmt.Sprintf("j-%06d", (i+k)%30))
			m.Tasks = append(m.Tasks, start(job, 100+i*3+k, 40+uint64(k%2), uint64(20_000+i*7+k)))
		}
		rec.Machines = append(rec.Machines, m)
	}
	return rec
}

// TestGroupSize: a full group of small machines stays well below the value
// limit that its number of machines was reckoned from.
func TestGroupSize(t *testing.T) {
	for _, limit := range []ValueLimit{4096, 8192} {
		rec := fullRecord(limit)
		if n := len(Encode(rec)); !limit.WithinSoftLimit(n) || n > int(limit)*17/20 {
			t.Errorf("limit %d: %d machines take %d bytes", limit, len(rec.Machines), n)
		}
	}
	if n := ValueLimit(100).TargetMachines(); n != 4 {
		t.Errorf("the smallest records are made for %d machines", n)
	}
}

// TestLimits: where records are joined, split and full, at a limit of 1000.
func TestLimits(t *testing.T) {
	const limit ValueLimit = 1000
	for _, x := range []struct {
		size                   int
		short, tooLong, within bool
		pieces                 int
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
		if limit.ShouldMerge(x.size) != x.short || limit.ShouldSplit(x.size) != x.tooLong || limit.WithinSoftLimit(x.size) != x.within || limit.SplitCount(x.size) != x.pieces {
			t.Errorf("%d bytes: short %v, too long %v, within %v, %d pieces", x.size,
				limit.ShouldMerge(x.size), limit.ShouldSplit(x.size), limit.WithinSoftLimit(x.size), limit.SplitCount(x.size))
		}
	}
	// 850 less 28 and the id's 5.
	if !limit.HasRoom(817, "j-123") || limit.HasRoom(818, "j-123") {
		t.Error("a task's room is not what it takes at most")
	}
}

// TestRoomSuffices: what HasRoom lets in never takes more than it reckons with.
func TestRoomSuffices(t *testing.T) {
	const limit ValueLimit = 4096
	rec := fullRecord(limit)
	before := len(Encode(rec))
	job := cluster.JobID("a-job-of-its-own")
	rec.Machines[0].Tasks = append(rec.Machines[0].Tasks, start(job, 99_999, 41, 1<<cluster.AttemptCountBits-1))
	if grown := len(Encode(rec)) - before; grown > len(job)+maxTaskBytes {
		t.Errorf("a task took %d bytes, %d were reckoned", grown, len(job)+maxTaskBytes)
	}
}

// TestJoinable: records are joined from the first on while their sum is at most
// seven tenths of the limit, and one write less than allowed is left.
func TestJoinable(t *testing.T) {
	const limit ValueLimit = 1000 // made for 12 machines
	for _, x := range []struct {
		name   string
		sizes  []Size
		writes int
		want   int
	}{
		{"none", nil, 8, 0},
		{"all", []Size{{100, 1}, {200, 1}, {400, 1}}, 8, 3},
		{"bytes", []Size{{100, 1}, {200, 1}, {401, 1}}, 8, 2},
		{"first too long", []Size{{701, 1}}, 8, 0},
		{"machines", []Size{{10, 12}, {10, 12}, {10, 1}}, 8, 2},
		{"writes", []Size{{10, 1}, {10, 1}, {10, 1}, {10, 1}}, 3, 2},
	} {
		if got := limit.MergeableCount(x.sizes, x.writes); got != x.want {
			t.Errorf("%s: %d, want %d", x.name, got, x.want)
		}
	}
}

// TestAddedBytes: the estimate is near what a task really adds.
func TestAddedBytes(t *testing.T) {
	rec := Record{Machines: []Machine{{ID: "m-1", Tasks: []Task{start("j-1", 100, 41, 20_000)}}}}
	for _, x := range []struct {
		name              string
		task              Task
		continues, listed bool
	}{
		{"first of a range", start("j-1", 101, 41, 20_001), false, true},
		{"continues it", start("j-1", 102, 41, 20_002), true, true},
		{"of its own", start("j-1", 200, 41, 20_009), false, true},
		{"of another job", start("j-other", 7, 41, 20_010), false, false},
	} {
		before := len(Encode(rec))
		rec.Machines[0].Tasks = append(rec.Machines[0].Tasks, x.task)
		grown, reckoned := len(Encode(rec))-before, AddedBytes(x.task.ID.Job, x.continues, x.listed)
		if grown > reckoned || grown < reckoned-12 {
			t.Errorf("%s: %d bytes, reckoned %d", x.name, grown, reckoned)
		}
	}
}

// TestSplit: every machine is in one list, in order, and the lists are alike.
func TestSplit(t *testing.T) {
	tasks := func(n int) int { return n }
	for _, x := range []struct {
		machines []int // by their tasks
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
		if got := Split(x.machines, x.records, tasks); !reflect.DeepEqual(got, x.want) {
			t.Errorf("%v into %d: %v, want %v", x.machines, x.records, got, x.want)
		}
	}
}

// BenchmarkEncode builds a full record, as every write of a group does.
func BenchmarkEncode(b *testing.B) {
	rec := fullRecord(8192)
	b.ReportAllocs()
	for range b.N {
		if len(Encode(rec)) == 0 {
			b.Fatal("nothing was built")
		}
	}
}
