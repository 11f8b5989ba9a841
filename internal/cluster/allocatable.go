package cluster

// Allocatable is what further tasks can use on a machine.
type Allocatable struct {
	Resources Resources
	Tasks     int // how many more tasks the machine's heartbeat can list; may be negative
}

// Allocatable returns what tasks can use on an empty machine of the type.
func (t *MachineType) Allocatable() Allocatable {
	return Allocatable{Resources: t.Capacity, Tasks: MaxTasksPerHeartbeat(0)}
}

// TaskCPU returns the CPUs that a task occupies on a machine with the given CPUs that can have
// maxTasks tasks: the requested ones, or its part of the machine if that is more.
func TaskCPU(request, machineCPU Amount, maxTasks int) Amount {
	return max(request, machineCPU/Amount(max(maxTasks, 1)))
}

// TaskCPU returns the CPUs that a task occupies on a machine of the type.
func (t *MachineType) TaskCPU(request Resources) Amount {
	return TaskCPU(request.CPU, t.Capacity.CPU, t.Allocatable().Tasks)
}

// Fits reports whether a task with a request can be placed on the machine.
func (a Allocatable) Fits(request Resources) bool {
	return a.Tasks > 0 && request.FitsIn(a.Resources)
}

// FitCount returns how many tasks with a request can be placed on the machine.
func (a Allocatable) FitCount(request Resources) int {
	return max(min(a.Tasks, a.Resources.FitCount(request)), 0)
}

// Minus returns what is left after count tasks with a request were placed on the machine.
func (a Allocatable) Minus(request Resources, count int) Allocatable {
	return Allocatable{Resources: a.Resources.Minus(request.Times(count)), Tasks: a.Tasks - count}
}

// Plus returns what is available after a task with a request has left the machine.
func (a Allocatable) Plus(request Resources) Allocatable {
	return Allocatable{Resources: a.Resources.Plus(request), Tasks: a.Tasks + 1}
}

// UsableCPU returns the free CPUs, or 0 if no further task can use them.
func (a Allocatable) UsableCPU() Amount {
	if a.Tasks <= 0 {
		return 0
	}
	return a.Resources.CPU
}
