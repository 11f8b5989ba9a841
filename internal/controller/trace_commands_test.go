package controller_test

import (
	"fmt"
	"strconv"
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/simulation"
)

// traceCommands are the commands that a trace has once the controllers run.
var traceCommands = map[string]func(*traceRunner, traceCommand){
	"machines": (*traceRunner).addMachines,
	"capacity": (*traceRunner).setCapacity,
	"submit":   (*traceRunner).submit,
	"flood":    (*traceRunner).flood,
	"stream":   (*traceRunner).stream,
	"query":    (*traceRunner).query,
	"cancel":   (*traceRunner).cancel,
	"corrupt":  (*traceRunner).corruptMachineGroup,
	"cut":      (*traceRunner).partitionNode,
	"freeze":   (*traceRunner).pauseNodes,
	// run 10s: time passes.
	"run": func(r *traceRunner, c traceCommand) { r.simulator.RunUntil(r.until(c.duration(0))) },
	// upgrade n0 6s: its process ends and is back after that with the current version.
	"upgrade": func(_ *traceRunner, c traceCommand) { c.node(0).Upgrade(c.duration(1)) },
	// limits: the lower limits of the state service come into force.
	"limits": func(r *traceRunner, _ traceCommand) { r.simulator.LowerStoreLimits() },
	// crash n0: its process ends.
	"crash": func(_ *traceRunner, c traceCommand) { c.node(0).Kill() },
	// boot n0: its process starts.
	"boot": func(_ *traceRunner, c traceCommand) { c.node(0).Start() },
	// outage 30s: the state service is down.
	"outage": func(r *traceRunner, c traceCommand) { r.simulator.Store.DownUntil = r.until(c.duration(0)) },
	// cloud 30s: the cloud's interface is down.
	"cloud": func(r *traceRunner, c traceCommand) { r.simulator.CloudAPI.DownUntil = r.until(c.duration(0)) },
	// refuse n0 10s: the state service refuses that controller alone.
	"refuse": func(r *traceRunner, c traceCommand) { c.node(0).StoreRefusesUntil = r.until(c.duration(1)) },
	// lose n0 answers 3s: its transactions are applied, but their replies are lost.
	"lose": func(r *traceRunner, c traceCommand) { c.node(0).StoreRepliesLostUntil = r.until(c.duration(2)) },
	// slow 500ms 30s: the state service replies that much later.
	"slow": func(r *traceRunner, c traceCommand) { r.simulator.Store.Slow(c.duration(0), c.duration(1)) },
	// hang m-000001 20s: it stands still.
	"hang": func(r *traceRunner, c traceCommand) { r.simulator.Machines.Hang(c.machine(), c.duration(1)) },
	// deaf m-000001 20s: its heartbeats arrive, nothing reaches it.
	"deaf": func(r *traceRunner, c traceCommand) {
		r.simulator.Machines.MakeUnreachable(c.machine(), c.duration(1))
	},
	// mute m-000001 20s: it reaches no controller, command pushes reach it.
	"mute": func(r *traceRunner, c traceCommand) {
		r.simulator.Machines.BlockHeartbeats(c.machine(), c.duration(1))
	},
	// copy m-000001 20s: its present heartbeat is delivered again later.
	"copy": func(r *traceRunner, c traceCommand) {
		r.simulator.Machines.DuplicateHeartbeat(c.machine(), c.duration(1))
	},
	// reboot m-000001: its worker is back at once in its next incarnation.
	"reboot": func(r *traceRunner, c traceCommand) { r.simulator.Machines.Reboot(c.machine()) },
	// notice m-000001 20s: the cloud takes the machine after that.
	"notice": func(r *traceRunner, c traceCommand) { r.simulator.Machines.Preempt(c.machine(), c.duration(1)) },
}

// applySetting applies a command about the settings; false: it is another one.
func (r *traceRunner) applySetting(command traceCommand) bool {
	r.t.Helper()
	switch {
	case command.verb == "teams" && len(command.args) > 0 && strings.HasPrefix(command.args[0], "one-shard"):
		r.config.Teams = teamsWithSharedShard()
	case command.verb == "aim" && len(command.args) == 2: // aim CLASS SECONDS: its jobs are done within that
		within, err := strconv.ParseFloat(command.arg(1), 64)
		if err != nil {
			r.fail("%v", err)
		}
		r.config.SLOs = append(r.config.SLOs, cluster.SLO{Kind: "finished", Class: command.arg(0), WithinSeconds: within})
	case command.verb == "production" && len(command.args) == 3: // the production version under these limits; the settings have those of upgradeConfig
		r.limitsBeforeUpgrade = r.parseLimits(command)
	default:
		return false
	}
	return true
}

// teamsWithSharedShard are four teams on three shards, so that two share one.
func teamsWithSharedShard() []cluster.Team {
	return []cluster.Team{
		testTeam("red", 8*cpu, 16*cpu),
		testTeam("green", 40*cpu, 48*cpu),
		testTeam("blue", 40*cpu, 48*cpu),
		testTeam("gold", 8*cpu, 16*cpu),
	}
}

// parseLimits reads value bytes, changes a transaction and changes a second.
func (r *traceRunner) parseLimits(command traceCommand) *simulation.StoreLimits {
	r.t.Helper()
	rate, err := strconv.ParseFloat(command.arg(2), 64)
	if err != nil {
		r.fail("%v", err)
	}
	return &simulation.StoreLimits{WriteRPS: rate, ValueBytes: command.count(0), TxnOps: command.count(1)}
}

// until is the time after a duration.
func (r *traceRunner) until(duration cluster.Time) cluster.Time { return r.simulator.Now + duration }

// addMachines: machines small a 2 [spot=1].
func (r *traceRunner) addMachines(command traceCommand) {
	for range command.count(2) {
		r.simulator.Machines.Add(command.arg(0), command.arg(1), command.isSet("spot"))
	}
}

// setCapacity: capacity small a 2 [spot=1].
func (r *traceRunner) setCapacity(command traceCommand) {
	key := simulation.CapacityKey(command.arg(0), command.arg(1), command.isSet("spot"))
	r.cloud.AvailableCapacity[key] = command.count(2)
}

// submit: submit j-000001 red via n0 tasks=3 run=10 cpu=1.
func (r *traceRunner) submit(command traceCommand) {
	id := command.arg(0)
	run := command.runDuration()
	spec := newJobSpec(cluster.JobID(id), command.arg(1), int(command.number("tasks", 1)), run)
	spec.Priority = cluster.Priority(command.number("priority", 1))
	spec.ResourceRequest.CPU = cluster.Amount(command.number("cpu", 1) * float64(cpu))
	spec.Spot = command.isSet("spot")
	spec.SubmittedAt = wallTime(r.simulator.Now)
	if command.isSet("awaits") {
		spec.Dependencies = []cluster.JobID{cluster.JobID(command.options["awaits"])}
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
	command.node(3).SendRequest(submitRequest(job.Spec), r.writeAnswer("submits", id))
}

// writeAnswer writes the answer that a user gets to the trace, and checks it.
func (r *traceRunner) writeAnswer(request, id string) func(messages.Respond) {
	return func(answer messages.Respond) {
		switch {
		case answer.View != nil:
			r.write(fmt.Sprintf("user %s %s: %d %s done %d running %d", request, id, answer.Status, answer.View.Status, answer.View.Done, answer.View.Running))
		case answer.Status == 0:
			r.write(fmt.Sprintf("user %s %s: no answer", request, id))
		default:
			r.write(fmt.Sprintf("user %s %s: %d, again after %d s", request, id, answer.Status, answer.RetryAfter))
		}
		if job := r.jobs[id]; job != nil && answer.View != nil {
			job.Accepted = true
			r.simulator.Users.CheckReportedStatus(job, answer.View.Status)
		}
	}
}

// flood: flood 50 red via n0 priority=1 has users submit many jobs at once, and
// writes how many got which answer.
func (r *traceRunner) flood(command traceCommand) {
	const (
		answersAfter = 3500 * millisecond
		run          = 500 * second
	)
	priority := command.number("priority", 1)
	answers := map[string]int{}
	for i := range command.count(0) {
		spec := newJobSpec(cluster.JobID(fmt.Sprintf("j-%v%05d", priority, i)), command.arg(1), 1, run)
		spec.Priority = cluster.Priority(priority)
		r.simulator.Jobs[spec.ID] = newJob(spec, run)
		command.node(3).SendRequest(submitRequest(spec), func(answer messages.Respond) { answers[fmt.Sprint(answer.Status)]++ })
	}
	r.simulator.After(answersAfter, func() { r.write(fmt.Sprintf("users of priority %v: %v", priority, answers)) })
}

// stream: stream red via n0 every=4s for=60s tasks=1 run=10 has users submit small
// jobs again and again.
func (r *traceRunner) stream(command traceCommand) {
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

// query: query j-000001 via n0.
func (r *traceRunner) query(command traceCommand) {
	id := command.arg(0)
	command.node(2).SendRequest(queryRequest(cluster.JobID(id)), r.writeAnswer("asks for", id))
}

// cancel: cancel j-000001 via n0.
func (r *traceRunner) cancel(command traceCommand) {
	id := command.arg(0)
	if job := r.jobs[id]; job != nil {
		job.CancelRequested = true
	}
	command.node(2).SendRequest(cancelRequest(cluster.JobID(id)), r.writeAnswer("cancels", id))
}

// corruptMachineGroup: corrupt m-000001 makes the record that lists a machine
// unreadable.
func (r *traceRunner) corruptMachineGroup(command traceCommand) {
	for _, record := range r.simulator.StateService.List("groups/").Items {
		if strings.Contains(string(record.Value), command.arg(0)) {
			r.simulator.StateService.Commit(nil, []messages.TxnOp{{Key: record.Key, Value: []byte(`{"p":1,"m":["?"]}`)}})
		}
	}
}

// partitionNode: cut n0 store 10s partitions a controller from the store, the workers or
// the peers; from the "servers", which leaves it its workers; or from "all".
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
		r.fail("cut from %q", from)
	}
}

// pauseNodes: freeze n0 20s, or freeze all 20s, pauses processes while their clocks
// run on.
func (r *traceRunner) pauseNodes(command traceCommand) {
	name := command.arg(0)
	for _, node := range r.simulator.Nodes {
		if name == "all" || name == string(node.ID) {
			node.PausedUntil = r.until(command.duration(1))
		}
	}
}
