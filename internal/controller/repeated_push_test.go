package controller_test

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/simulation"
)

// pushRecorder records the pushes of all controllers.
type pushRecorder struct {
	pushes []messages.PushCommands
}

func (r *pushRecorder) observe(_ cluster.Time, _ cluster.NodeID, effect messages.Effect) {
	if push, ok := effect.(messages.PushCommands); ok {
		r.pushes = append(r.pushes, push)
	}
}

// startOf returns the first push that starts a task of a job. ok is false if there is none.
func (r *pushRecorder) startOf(job cluster.JobID) (push messages.PushCommands, ok bool) {
	for _, push := range r.pushes {
		for _, command := range push.Commands {
			if command.Kind == cluster.Start && command.Task.Job == job {
				return push, true
			}
		}
	}
	return messages.PushCommands{}, false
}

// newPushCluster returns a cluster with one machine, and a push to it that has started the
// task of a job. Another job keeps the machine in use.
func newPushCluster(t *testing.T) (*testCluster, *simulation.Job, messages.PushCommands) {
	t.Helper()
	recorder := &pushRecorder{}
	cfg := testConfig()
	c := &testCluster{t: t, config: cfg, Simulator: newSimulator(1, cfg, simulation.ObserveEffects(recorder.observe))}
	c.NoRandomFaults = true
	c.Machines.Add("small", "a", false)
	c.RunUntil(10 * second)
	c.submitJob("j-000002", 1, 300*second)
	c.RunUntil(20 * second)
	job := c.submitJob("j-000001", 1, 60*second)
	c.waitFor("the task runs", 30*second, func() bool { return c.countRunningTasks(job) == 1 })
	push, ok := recorder.startOf("j-000001")
	if !ok {
		t.Fatal("the start was not pushed")
	}
	return c, job, push
}

// waitForgotten waits until the worker of a machine has forgotten the attempt of a job's task.
func (c *testCluster) waitForgotten(job *simulation.Job, id cluster.MachineID) {
	c.t.Helper()
	task := cluster.TaskID{Job: job.Spec.ID}
	c.waitFor("the worker has forgotten the attempt", 30*second, func() bool { return c.Machines.Workers[id].Tasks[task] == nil })
}

// TestRepeatedPushStartsNoTask guards against ran_twice and ran_cancelled: a worker must reject
// an executed push that arrives again after it has forgotten the attempt.
func TestRepeatedPushStartsNoTask(t *testing.T) {
	t.Run("moved to another machine", func(t *testing.T) {
		c, job, push := newPushCluster(t)
		first := cluster.MachineID(push.Addr)
		c.Machines.Workers[first].Tasks[cluster.TaskID{Job: job.Spec.ID}].Remaining = 0
		c.Machines.Workers[first].FaultyUntil = c.Now + 5*second
		c.Machines.Add("small", "a", false)
		c.waitFor("the task fails", 5*second, func() bool { return c.countRunningTasks(job) == 0 })
		c.waitFor("the task runs again", 60*second, func() bool { return c.countRunningTasks(job) == 1 })
		c.waitForgotten(job, first)
		c.checkRepeatedPush(push)
	})
	t.Run("job cancelled", func(t *testing.T) {
		c, job, push := newPushCluster(t)
		c.cancelVia(c.Nodes[0], job)
		c.waitForgotten(job, cluster.MachineID(push.Addr))
		c.RunUntil(c.Now + c.config.CancelDeadline)
		c.checkRepeatedPush(push)
	})
	t.Run("worker's lease expired", func(t *testing.T) {
		c, job, push := newPushCluster(t)
		first := cluster.MachineID(push.Addr)
		c.Machines.Reboot(first)
		c.waitFor("the task runs again", 60*second, func() bool { return c.countRunningTasks(job) == 1 })
		c.checkRepeatedPush(push)
	})
	t.Run("owner killed", func(t *testing.T) {
		c, job, push := newPushCluster(t)
		c.cancelVia(c.Nodes[0], job)
		c.waitForgotten(job, cluster.MachineID(push.Addr))
		c.BusiestNode().Kill()
		c.RunUntil(c.Now + second)
		c.checkRepeatedPush(push)
	})
}

// checkRepeatedPush delivers a push once more and checks that its worker executes nothing.
func (c *testCluster) checkRepeatedPush(push messages.PushCommands) {
	c.t.Helper()
	worker := c.Machines.Workers[cluster.MachineID(push.Addr)]
	reply := worker.HandleCommands(push)
	c.RunUntil(c.Now + 10*second)
	if reply.Outcome != messages.Conflict {
		c.t.Errorf("the repeated push under token %d has outcome %v, want a conflict; the worker has seen token %d", push.FencingToken, reply.Outcome, reply.Status.FencingToken)
	}
	if len(c.Violations) > 0 {
		c.t.Errorf("invariants violated: %v", c.Violations)
	}
}
