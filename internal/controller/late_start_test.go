package controller_test

import (
	"maps"
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/simulation"
)

// shortAbsence is how long a controller or a machine is away before it comes back, which is
// too short for the failure detector and the workers' leases.
const shortAbsence = second / 2

// lateStart is a task whose start was executed and answered, before a copy of the start
// reaches the same worker.
type lateStart struct {
	*testCluster
	job     *simulation.Job
	machine cluster.MachineID
}

// newLateStart returns a cluster with one machine on which a task runs, besides the long job.
// Its start was pushed, or sent in a response by an owner that has pushed no start there.
func newLateStart(t *testing.T, inResponse bool) *lateStart {
	t.Helper()
	c := newIdleCluster(t, 1)
	c.StartCopies.Keep = true
	c.longJob = c.submitJob("j-000002", 1, 300*second)
	c.waitFor("the long job runs", 30*second, func() bool { return c.countRunningTasks(c.longJob) == 1 })
	if inResponse {
		returns["all controllers"](&lateStart{testCluster: c})
		c.RunUntil(c.Now + 20*second)
		c.reportLoad(1) // an overloaded controller pushes no starts to machines in use
	}
	job := c.submitJob("j-000001", 1, 60*second)
	c.waitFor("the task runs", 30*second, func() bool { return c.countRunningTasks(job) == 1 })
	c.reportLoad(0)
	c.RunUntil(c.Now + second)
	late := &lateStart{testCluster: c, job: job, machine: c.machineOf(job)}
	last := c.StartCopies.To(late.machine)
	if sent := last[len(last)-1]; sent.InResponse != inResponse || sent.Commands[0].Task.Job != job.Spec.ID {
		t.Fatalf("the last start is %+v, want that of j-000001, sent in a response: %v", sent, inResponse)
	}
	return late
}

// reportLoad tells all controllers their use of the processor.
func (c *testCluster) reportLoad(usage float64) {
	for _, node := range c.Nodes {
		node.SendRequest(func(messages.RequestID) messages.Event { return messages.ProcessLoad{CPUUsage: usage} }, func(messages.Respond) {})
	}
	c.RunUntil(c.Now + second/10)
}

// machineOf returns the machine on which a task of a job runs, or an empty ID.
func (c *testCluster) machineOf(job *simulation.Job) cluster.MachineID {
	for id, worker := range c.Machines.Workers {
		if task := worker.Tasks[cluster.TaskID{Job: job.Spec.ID}]; task != nil && task.State == cluster.Running {
			return id
		}
	}
	return ""
}

// returns are the ways in which a controller or the machine comes back. The copies that are
// delivered afterwards are the first messages that reach a machine that hung.
var returns = map[string]func(s *lateStart){
	"controller": func(s *lateStart) {
		owner := slices.IndexFunc(s.Nodes, func(node *simulation.Node) bool { return node.ID == s.longJobOwner() })
		restart(s.Simulator, s.Nodes[owner], shortAbsence)
		s.RunUntil(s.Now + shortAbsence)
	},
	"all controllers": func(s *lateStart) {
		for _, node := range s.Nodes {
			restart(s.Simulator, node, shortAbsence)
		}
		s.RunUntil(s.Now + shortAbsence)
	},
	"machine": func(s *lateStart) {
		s.Machines.Hang(s.machine, shortAbsence)
	},
	"machine in a new incarnation": func(s *lateStart) { s.Machines.Reboot(s.machine) },
}

// changes are what may have become of the task before the copy arrives.
var changes = map[string]func(s *lateStart){
	"runs": func(*lateStart) {},
	"moved": func(s *lateStart) {
		worker := s.Machines.Workers[s.machine]
		if task := worker.Tasks[cluster.TaskID{Job: s.job.Spec.ID}]; task != nil {
			task.Remaining = 0
			worker.FaultyUntil = s.Now + 5*second
		}
		s.Machines.Add("small", "a", false)
		s.waitFor("the task has left the machine", 30*second, func() bool { return s.machineOf(s.job) != s.machine })
		s.waitFor("the task runs again", 90*second, func() bool { return s.countRunningTasks(s.job) == 1 })
		if s.machineOf(s.job) != s.machine {
			s.waitForgotten(s.job, s.machine)
		}
	},
	"cancelled": func(s *lateStart) {
		s.cancelVia(s.Nodes[0], s.job)
		s.waitForgotten(s.job, s.machine)
	},
	"ended": func(s *lateStart) {
		if task := s.Machines.Workers[s.machine].Tasks[cluster.TaskID{Job: s.job.Spec.ID}]; task != nil {
			task.Remaining = 0
		}
		s.waitFor("the job is done", 150*second, func() bool { return s.job.ReportedStatus == cluster.JobDone })
		s.waitForgotten(s.job, s.machine)
	},
}

// checkCopies delivers copies of all starts that the machine has executed and checks that
// none of them starts a task. A machine that hangs gets them when it comes back.
func (s *lateStart) checkCopies(t *testing.T) {
	t.Helper()
	worker := s.Machines.Workers[s.machine]
	tasksBefore := maps.Clone(worker.Tasks)
	copies := slices.Clone(s.StartCopies.To(s.machine))
	s.StartCopies.Deliver(s.machine)
	for at, end := s.Now, s.Now+shortAbsence+10*millisecond; at <= end; at += millisecond {
		s.RunUntil(at)
		for _, message := range copies {
			for _, command := range message.Commands {
				task := worker.Tasks[command.Task]
				if task != nil && task.Attempt == command.Attempt && task != tasksBefore[command.Task] {
					t.Fatalf("a copy has started attempt %d of %s", task.Attempt, command.Task)
				}
			}
		}
	}
}

// TestLateStartCopies guards against ran_twice and ran_cancelled: a copy of an executed start
// arrives as a controller or the machine is back, before or after which the task has changed.
func TestLateStartCopies(t *testing.T) {
	for way, inResponse := range map[string]bool{"pushed": false, "in a response": true} {
		for who, comeBack := range returns {
			for what, change := range changes {
				check := func(order string, steps ...func(s *lateStart)) {
					t.Run(way+"/"+who+"/"+what+" "+order, func(t *testing.T) {
						t.Parallel()
						s := newLateStart(t, inResponse)
						for _, step := range steps {
							step(s)
						}
						s.checkCopies(t)
						s.RunUntil(s.Now + 40*second)
						s.checkNoViolations()
					})
				}
				check("before", change, comeBack)
				check("after", comeBack, change)
			}
		}
	}
}
