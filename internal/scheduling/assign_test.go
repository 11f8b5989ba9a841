package scheduling

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// TestAssignWithinQuota checks that no more tasks are assigned than the team's quota
// allows.
func TestAssignWithinQuota(t *testing.T) {
	f := newFixture()
	f.state.Teams["red"].QuotaLimit.CPU = 11 * cpu
	for _, id := range []cluster.MachineID{"m-1", "m-2", "m-3"} {
		f.addMachine(id)
	}
	job := f.addJob(cluster.JobSpec{ID: "j", Tasks: 5, SubmittedAt: 1_000_000})
	f.ScheduleShard(f.shard)
	if job.AssignedCount != 2 || len(f.written) != 2 {
		t.Errorf("%d tasks assigned and %d records written, want 2 of each: the quota is 11 CPUs, and a task requests 4", job.AssignedCount, len(f.written))
	}
}

// TestUnschedulableMachinesGetNoTasks checks that no task is assigned to a machine that
// can't run it or that another controller may own.
func TestUnschedulableMachinesGetNoTasks(t *testing.T) {
	for name, change := range map[string]func(*state.Machine){
		"token not acknowledged": func(m *state.Machine) { m.TokenAcknowledged = false },
		"booting":                func(m *state.Machine) { m.Booting = true },
		"draining":               func(m *state.Machine) { m.Draining = true },
		"releasing":              func(m *state.Machine) { m.Releasing = true },
		"start in doubt":         func(m *state.Machine) { m.StartInDoubt = true },
		"raising token":          func(m *state.Machine) { m.RaisingToken = true },
		"heartbeats too large":   func(m *state.Machine) { m.OversizedSince = 1 },
		"after an error":         func(m *state.Machine) { m.NoStartsBefore = second },
		"missed heartbeats":      func(m *state.Machine) { m.LastHeartbeat = -11 * second },
		"cordoned":               func(m *state.Machine) { m.Cordon() },
		"scale-in candidate":     func(m *state.Machine) { m.CordonForScaleIn() },
		"offered":                func(m *state.Machine) { m.Group.OfferTo(1, second) },
		"unknown type":           func(m *state.Machine) { m.MachineType = "unknown" },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			job := f.addJob(cluster.JobSpec{ID: "j", Tasks: 1, SubmittedAt: 1_000_000})
			change(f.addMachine("m-1"))
			f.ScheduleShard(f.shard)
			if job.AssignedCount != 0 {
				t.Error("a task was assigned to the machine")
			}
		})
	}
}

// TestStarvingJobReservesMachine checks that smaller tasks are not assigned to the
// machine that is reserved for a starving job.
func TestStarvingJobReservesMachine(t *testing.T) {
	f := newFixture()
	small := cluster.Resources{CPU: cpu}
	for _, id := range []cluster.MachineID{"m-1", "m-2"} {
		running := f.addJob(cluster.JobSpec{ID: cluster.JobID("running-" + id), Tasks: 1, SubmittedAt: 1_000_000})
		running.Spec.ResourceRequest = small
		f.addRunningTask(running, f.addMachine(id))
	}
	starving := f.addJob(cluster.JobSpec{ID: "starving", Tasks: 1, SubmittedAt: 800_000})
	filler := f.addJob(cluster.JobSpec{ID: "filler", Tasks: 9, SubmittedAt: 1_000_000})
	filler.Spec.ResourceRequest = small
	f.ScheduleShard(f.shard)
	if starving.ReservedMachine == "" || starving.AssignedCount != 0 {
		t.Fatalf("reserved machine %q, %d tasks assigned; want a reserved machine and no assigned task", starving.ReservedMachine, starving.AssignedCount)
	}
	if filler.AssignedCount != 3 {
		t.Errorf("%d small tasks assigned, want the 3 that fit on the other machine", filler.AssignedCount)
	}
	for _, assignment := range filler.Assignments {
		if assignment.MachineID == starving.ReservedMachine {
			t.Error("a small task was assigned to the reserved machine")
		}
	}
}

// TestStarvingJobReservesQuota checks that smaller tasks of the same team do not use the
// quota that is reserved for a starving job.
func TestStarvingJobReservesQuota(t *testing.T) {
	f := newFixture()
	f.state.Teams["red"].QuotaLimit.CPU = 5 * cpu
	running := f.addJob(cluster.JobSpec{ID: "running", Tasks: 1, SubmittedAt: 1_000_000})
	running.Spec.ResourceRequest = cluster.Resources{CPU: 2 * cpu}
	f.addRunningTask(running, f.addMachine("m-1"))
	f.addMachine("m-2")
	f.addMachine("m-3")
	f.addJob(cluster.JobSpec{ID: "starving", Tasks: 1, SubmittedAt: 800_000})
	filler := f.addJob(cluster.JobSpec{ID: "filler", Tasks: 9, SubmittedAt: 1_000_000})
	filler.Spec.ResourceRequest = cluster.Resources{CPU: cpu}
	f.ScheduleShard(f.shard)
	if filler.AssignedCount != 0 {
		t.Errorf("%d small tasks assigned, want none because the remaining quota is reserved", filler.AssignedCount)
	}
}

// TestZoneConstraints checks that the tasks of a job are spread over zones or colocated
// in one zone, as its spec requires.
func TestZoneConstraints(t *testing.T) {
	for _, test := range []struct {
		name string
		spec cluster.JobSpec
		want map[string]int
	}{
		{"spread", cluster.JobSpec{Spread: true}, map[string]int{"a": 2, "b": 1}},
		{"colocated", cluster.JobSpec{Colocate: true}, map[string]int{"a": 3}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			machineType := f.state.MachineTypes["small"]
			machineType.Zones = []string{"a", "b"}
			f.state.MachineTypes["small"] = machineType
			for _, id := range []cluster.MachineID{"m-1", "m-2", "m-3"} {
				f.addMachine(id)
			}
			f.addMachine("m-4").Zone = "b"
			test.spec.ID, test.spec.Tasks, test.spec.SubmittedAt = "j", 3, 1_000_000
			job := f.addJob(test.spec)
			f.ScheduleShard(f.shard)
			zones := f.Eligibility.countTasksByZone(job)
			if len(zones) != len(test.want) || zones["a"] != test.want["a"] || zones["b"] != test.want["b"] {
				t.Errorf("tasks by zone: %v, want %v", zones, test.want)
			}
		})
	}
}

// TestHasStartableTasks checks that pending tasks count as startable only if they fit on
// a machine.
func TestHasStartableTasks(t *testing.T) {
	f := newFixture()
	machine := f.addMachine("m-1")
	if f.HasStartableTasks(f.shard) {
		t.Error("startable tasks without any job")
	}
	job := f.addJob(cluster.JobSpec{ID: "j", Tasks: 2, SubmittedAt: 1_000_000})
	if !f.HasStartableTasks(f.shard) {
		t.Error("no startable task though a machine is free")
	}
	f.addRunningTask(job, machine)
	if f.HasStartableTasks(f.shard) {
		t.Error("startable tasks though the only machine is full")
	}
}
