package controller_test

import (
	"fmt"
	"strconv"
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/simulation"
)

// traceCommands maps the verbs of a trace's commands to their implementations. Commands
// that change the settings are not included; see applySetting.
var traceCommands = map[string]func(*traceRunner, traceCommand){
	"machines":  (*traceRunner).addMachines,
	"capacity":  (*traceRunner).setCapacity,
	"submit":    (*traceRunner).submit,
	"burst":     (*traceRunner).submitBurst,
	"stream":    (*traceRunner).submitStream,
	"query":     (*traceRunner).query,
	"cancel":    (*traceRunner).cancel,
	"corrupt":   (*traceRunner).corruptMachineGroup,
	"partition": (*traceRunner).partitionNode,
	"pause":     (*traceRunner).pauseNodes,
	// run 10s: advances the time.
	"run": func(r *traceRunner, c traceCommand) { r.simulator.RunUntil(r.until(c.duration(0))) },
	// upgrade n0 6s: its process ends and restarts after 6s with the current version.
	"upgrade": func(_ *traceRunner, c traceCommand) { c.node(0).Upgrade(c.duration(1)) },
	// lower-limits: the store enforces its lower limits.
	"lower-limits": func(r *traceRunner, _ traceCommand) { r.simulator.LowerStoreLimits() },
	// crash n0: its process is killed.
	"crash": func(_ *traceRunner, c traceCommand) { c.node(0).Kill() },
	// start n0: its process starts.
	"start": func(_ *traceRunner, c traceCommand) { c.node(0).Start() },
	// store-outage 30s: the store is down.
	"store-outage": func(r *traceRunner, c traceCommand) { r.simulator.StoreAPI.DownUntil = r.until(c.duration(0)) },
	// cloud-outage 30s: the cloud API is down.
	"cloud-outage": func(r *traceRunner, c traceCommand) { r.simulator.CloudAPI.DownUntil = r.until(c.duration(0)) },
	// store-reject n0 10s: the store rejects the requests of that controller only.
	"store-reject": func(r *traceRunner, c traceCommand) { c.node(0).StoreUnavailableUntil = r.until(c.duration(1)) },
	// lose n0 replies 3s: its transactions are applied, but their replies are lost.
	"lose": func(r *traceRunner, c traceCommand) { c.node(0).StoreRepliesLostUntil = r.until(c.duration(2)) },
	// slow-store 500ms 30s: the store replies 500ms later for 30s.
	"slow-store": func(r *traceRunner, c traceCommand) { r.simulator.StoreAPI.Slow(c.duration(0), c.duration(1)) },
	// hang m-000001 20s: the machine hangs.
	"hang": func(r *traceRunner, c traceCommand) { r.simulator.Machines.Hang(c.machine(), c.duration(1)) },
	// unreachable m-000001 20s: its heartbeats arrive, but nothing reaches it.
	"unreachable": func(r *traceRunner, c traceCommand) {
		r.simulator.Machines.MakeUnreachable(c.machine(), c.duration(1))
	},
	// block-heartbeats m-000001 20s: command pushes reach it, but its heartbeats reach no
	// controller.
	"block-heartbeats": func(r *traceRunner, c traceCommand) {
		r.simulator.Machines.BlockHeartbeats(c.machine(), c.duration(1))
	},
	// duplicate-heartbeat m-000001 20s: its current heartbeat is delivered again after 20s.
	"duplicate-heartbeat": func(r *traceRunner, c traceCommand) {
		r.simulator.Machines.DuplicateHeartbeat(c.machine(), c.duration(1))
	},
	// reboot m-000001: its worker restarts immediately with the next incarnation.
	"reboot": func(r *traceRunner, c traceCommand) { r.simulator.Machines.Reboot(c.machine()) },
	// preempt m-000001 20s: the cloud gives 20s of notice and then removes the machine.
	"preempt": func(r *traceRunner, c traceCommand) { r.simulator.Machines.Preempt(c.machine(), c.duration(1)) },
}

// applySetting applies a command if it changes the settings, and reports whether it does.
func (r *traceRunner) applySetting(command traceCommand) bool {
	r.t.Helper()
	switch {
	case command.verb == "teams" && len(command.args) > 0 && strings.HasPrefix(command.args[0], "shared-shard"):
		r.config.Teams = teamsWithSharedShard()
	case command.verb == "slo" && len(command.args) == 2: // slo CLASS SECONDS: the target for finishing its jobs
		within, err := strconv.ParseFloat(command.arg(1), 64)
		if err != nil {
			r.fail("%v", err)
		}
		r.config.SLOs = append(r.config.SLOs, cluster.SLO{Kind: "finished", Class: command.arg(0), WithinSeconds: within})
	// production VALUE_BYTES TXN_OPS WRITE_RPS: all controllers start with the production
	// version under these limits. The settings announce the lower limits of upgradeConfig.
	case command.verb == "production" && len(command.args) == 3:
		r.limitsBeforeUpgrade = r.parseLimits(command)
	default:
		return false
	}
	return true
}

// teamsWithSharedShard returns four teams for three shards, so that two teams share one.
func teamsWithSharedShard() []cluster.Team {
	return []cluster.Team{
		testTeam("red", 8*cpu, 16*cpu),
		testTeam("green", 40*cpu, 48*cpu),
		testTeam("blue", 40*cpu, 48*cpu),
		testTeam("gold", 8*cpu, 16*cpu),
	}
}

// parseLimits parses the arguments VALUE_BYTES TXN_OPS WRITE_RPS.
func (r *traceRunner) parseLimits(command traceCommand) *simulation.StoreLimits {
	r.t.Helper()
	rate, err := strconv.ParseFloat(command.arg(2), 64)
	if err != nil {
		r.fail("%v", err)
	}
	return &simulation.StoreLimits{WriteRPS: rate, ValueBytes: command.count(0), TxnOps: command.count(1)}
}

// until returns the time at which a duration from now ends.
func (r *traceRunner) until(duration cluster.Time) cluster.Time { return r.simulator.Now + duration }

// addMachines adds running machines, as in "machines small a 2 spot=1".
func (r *traceRunner) addMachines(command traceCommand) {
	for range command.count(2) {
		r.simulator.Machines.Add(command.arg(0), command.arg(1), command.isSet("spot"))
	}
}

// setCapacity sets how many machines the cloud can still provide, as in
// "capacity small a 2 spot=1".
func (r *traceRunner) setCapacity(command traceCommand) {
	key := simulation.CapacityKey(command.arg(0), command.arg(1), command.isSet("spot"))
	r.cloud.AvailableCapacity[key] = command.count(2)
}

// submit submits a job, as in "submit j-000001 red via n0 tasks=3 run=10 cpu=1".
func (r *traceRunner) submit(command traceCommand) {
	id := command.arg(0)
	run := command.runDuration()
	spec := newJobSpec(cluster.JobID(id), command.arg(1), int(command.number("tasks", 1)), run)
	spec.Priority = cluster.Priority(command.number("priority", 1))
	spec.ResourceRequest.CPU = cluster.Amount(command.number("cpu", 1) * float64(cpu))
	spec.Spot = command.isSet("spot")
	spec.SubmittedAt = wallTime(r.simulator.Now)
	if command.isSet("depends-on") {
		spec.Dependencies = []cluster.JobID{cluster.JobID(command.options["depends-on"])}
	}
	job := newJob(spec, run)
	if seconds := command.number("save", 0); seconds > 0 {
		job.Spec.CheckpointIntervalSeconds, job.Spec.CheckpointWriteSeconds = 5, seconds
		job.Info.CanCheckpoint, job.Info.SaveDuration = true, cluster.Time(seconds*float64(second))
	}
	if r.simulator.Jobs[spec.ID] == nil {
		r.jobs[id] = job
		r.simulator.Jobs[spec.ID] = job
	}
	command.node(3).SendRequest(submitRequest(job.Spec), r.writeResponse("submits", id))
}

// writeResponse returns a handler that writes the response to a user to the trace and
// checks the job status in the response.
func (r *traceRunner) writeResponse(request, id string) func(messages.Respond) {
	return func(response messages.Respond) {
		switch {
		case response.View != nil:
			r.write(fmt.Sprintf("user %s %s: %d %s done %d running %d", request, id, response.Status, response.View.Status, response.View.Done, response.View.Running))
		case response.Status == 0:
			r.write(fmt.Sprintf("user %s %s: no answer", request, id))
		default:
			r.write(fmt.Sprintf("user %s %s: %d, again after %d s", request, id, response.Status, response.RetryAfter))
		}
		if job := r.jobs[id]; job != nil && response.View != nil {
			job.Accepted = true
			r.simulator.Users.CheckReportedStatus(job, response.View.Status)
		}
	}
}

// submitBurst submits many jobs at once, as in "burst 50 red via n0 priority=1", and
// later writes the number of responses by status to the trace.
func (r *traceRunner) submitBurst(command traceCommand) {
	const (
		reportDelay = 3500 * millisecond
		run         = 500 * second
	)
	priority := command.number("priority", 1)
	responses := map[string]int{}
	for i := range command.count(0) {
		spec := newJobSpec(cluster.JobID(fmt.Sprintf("j-%v%05d", priority, i)), command.arg(1), 1, run)
		spec.Priority = cluster.Priority(priority)
		r.simulator.Jobs[spec.ID] = newJob(spec, run)
		command.node(3).SendRequest(submitRequest(spec), func(response messages.Respond) { responses[fmt.Sprint(response.Status)]++ })
	}
	r.simulator.After(reportDelay, func() { r.write(fmt.Sprintf("users of priority %v: %v", priority, responses)) })
}

// submitStream submits small jobs at a fixed interval, as in
// "stream red via n0 every=4s for=60s tasks=1 run=10".
func (r *traceRunner) submitStream(command traceCommand) {
	interval, left := command.durationOption("every"), command.durationOption("for")
	run, tasks := command.runDuration(), int(command.number("tasks", 1))
	count := 0
	var next func()
	next = func() {
		count++
		spec := newJobSpec(cluster.JobID(fmt.Sprintf("j-8%05d", count)), command.arg(0), tasks, run)
		spec.Class = "small"
		spec.Priority = cluster.Priority(command.number("priority", 1))
		spec.SubmittedAt = wallTime(r.simulator.Now)
		r.simulator.Jobs[spec.ID] = newJob(spec, run)
		command.node(2).SendRequest(submitRequest(spec), func(messages.Respond) {})
		if left -= interval; left > 0 {
			r.simulator.After(interval, next)
		}
	}
	next()
}

// query queries a job, as in "query j-000001 via n0".
func (r *traceRunner) query(command traceCommand) {
	id := command.arg(0)
	command.node(2).SendRequest(queryRequest(cluster.JobID(id)), r.writeResponse("asks for", id))
}

// cancel cancels a job, as in "cancel j-000001 via n0".
func (r *traceRunner) cancel(command traceCommand) {
	id := command.arg(0)
	if job := r.jobs[id]; job != nil {
		job.CancelRequested = true
	}
	command.node(2).SendRequest(cancelRequest(cluster.JobID(id)), r.writeResponse("cancels", id))
}

// corruptMachineGroup overwrites the record that lists a machine with an invalid value,
// as in "corrupt m-000001".
func (r *traceRunner) corruptMachineGroup(command traceCommand) {
	for _, record := range r.simulator.Store.List("groups/").Items {
		if strings.Contains(string(record.Value), command.arg(0)) {
			r.simulator.Store.Commit(nil, []messages.TxnOp{{Key: record.Key, Value: []byte(`{"p":1,"m":["?"]}`)}})
		}
	}
}

// partitionNode partitions a controller, as in "partition n0 store 10s". The controller may
// be partitioned from the "store", the "workers", the "peers", the "servers" (the store
// and the peers) or "all".
func (r *traceRunner) partitionNode(command traceCommand) {
	node, until := command.node(0), r.until(command.duration(2))
	switch from := command.arg(1); from {
	case "store":
		node.StorePartitionedUntil = until
	case "workers":
		node.WorkersPartitionedUntil = until
	case "peers":
		node.PeersPartitionedUntil = until
	case "servers":
		node.StorePartitionedUntil, node.PeersPartitionedUntil = until, until
	case "all":
		node.StorePartitionedUntil, node.WorkersPartitionedUntil, node.PeersPartitionedUntil = until, until, until
	default:
		r.fail("can't partition a controller from %q", from)
	}
}

// pauseNodes pauses processes while their clocks continue, as in "pause n0 20s" or
// "pause all 20s".
func (r *traceRunner) pauseNodes(command traceCommand) {
	name := command.arg(0)
	for _, node := range r.simulator.Nodes {
		if name == "all" || name == string(node.ID) {
			node.PausedUntil = r.until(command.duration(1))
		}
	}
}
