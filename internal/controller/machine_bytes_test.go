package controller

import (
	"fmt"
	"runtime"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/state"
)

// BenchmarkMachineBytes measures the heap memory of a controller per machine with three
// tasks. It doesn't include the machines' connections.
func BenchmarkMachineBytes(b *testing.B) {
	for _, machines := range []int{500, 1000, 2000, 4000, 8000} {
		b.Run(fmt.Sprintf("%d-machines", machines), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				c := newHarnessWithMachines(machines)
				b.ReportMetric(float64(heapBytes()-before)/float64(machines), "bytes/machine")
				runtime.KeepAlive(c)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// newHarnessWithMachines returns a harness whose controller owns the given number of
// machines. Each machine runs the three tasks of a job of its own.
func newHarnessWithMachines(machines int) *controllerHarness {
	const groupSize, tasks = 51, 3
	h := newControllerHarness()
	shard := h.state.Shards[0]
	var group *state.MachineGroup
	for i := range machines {
		if i%groupSize == 0 {
			group = h.state.AddGroup(shard, fmt.Sprintf("g%05d", i), 31)
		}
		id := cluster.MachineID(fmt.Sprintf("m-%06d", i))
		machine := h.inventory.AddMachine(group, grouprecord.Machine{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a"}, Address: "10.1.0.232:9000"}, 31)
		job := h.addTestJob(cluster.JobID(fmt.Sprintf("j-%06d", i)), tasks)
		for task := range tasks {
			assignment := &state.Assignment{Task: cluster.TaskID{Job: job.Spec.ID, Index: task}, Job: job, ResourceRequest: job.Spec.ResourceRequest, MachineID: machine.ID, Attempt: shard.NextAttempt(), Phase: state.PhaseAcknowledged, State: cluster.Running}
			machine.AddAssignment(assignment)
			job.SetAssigned(task, assignment)
		}
	}
	return h
}
