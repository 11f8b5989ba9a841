package controller

import (
	"fmt"
	"runtime"
	"testing"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"

	"stairrelay/internal/grouprecord"
)

// BenchmarkMachineBytes measures what a controller keeps of each machine with
// three tasks, without its connection.
func BenchmarkMachineBytes(b *testing.B) {
	for _, machines := range []int{500, 1000, 2000, 4000, 8000} {
		b.Run(fmt.Sprintf("%d-machines", machines), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				c := controllerWithMachines(machines)
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

// controllerWithMachines is a controller that holds so many machines, each with three
// tasks of one of many jobs.
func controllerWithMachines(machines int) *controllerHarness {
	const groupSize, tasks = 51, 3
	b := newControllerHarness()
	p := b.state.Shards[0]
	var g *state.MachineGroup
	for i := range machines {
		if i%groupSize == 0 {
			g = b.state.AddGroup(p, fmt.Sprintf("g%05d", i), 31)
		}
		id := cluster.MachineID(fmt.Sprintf("m-%06d", i))
		m := b.inventory.AddMachine(g, grouprecord.Machine{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a"}, Address: "10.1.0.232:9000"}, 31)
		j := b.addTestJob(cluster.JobID(fmt.Sprintf("j-%06d", i)), tasks)
		for k := range tasks {
			a := &state.Assignment{Task: cluster.TaskID{Job: j.Spec.ID, Index: k}, Job: j, ResourceRequest: j.Spec.ResourceRequest, MachineID: m.ID, Attempt: p.NextAttempt(), Phase: state.PhaseAcknowledged, State: cluster.Running}
			m.AddAssignment(a)
			j.SetAssigned(k, a)
		}
	}
	return b
}
