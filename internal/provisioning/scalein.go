package provisioning

import (
	"maps"
	"slices"
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

const (
	// MaxMachinesPerScaleIn is the maximum number of machines in one call of the
	// cloud's API.
	MaxMachinesPerScaleIn = 100
	// scaleInDelay is how long machines whose release is confirmed are batched for one
	// call.
	scaleInDelay = 50 * millisecond
	// scaleInRetryDelay is the delay before the machines of a failed call can be part
	// of another call.
	scaleInRetryDelay = 2 * second
	// releaseLogDelay is how long releases are batched for one log line. Hundreds of
	// machines may be released together.
	releaseLogDelay = second
)

// The reasons for which this package releases machines.
const (
	releaseFailed            = "failed"
	releaseCancelledInOutage = "cancelled tasks in an outage"
)

// ScaleIn releases machines to the cloud. It batches releases into few calls and log
// lines.
type ScaleIn struct {
	*shared
	rateLimiter *CloudRateLimiter

	callScheduled bool
	unlogged      releaseSummary
}

// releaseSummary counts the releases that are not logged yet. While there are any, a log
// line is scheduled.
type releaseSummary struct {
	machinesByReason map[string]int // nil if there are none
	taskCount        int            // number of live tasks on these machines
}

// add counts a release. It reports whether the release is the first one, for which a
// log line must be scheduled.
func (s *releaseSummary) add(reason string, tasks int) bool {
	isFirst := s.machinesByReason == nil
	if isFirst {
		s.machinesByReason = map[string]int{}
	}
	s.machinesByReason[reason]++
	s.taskCount += tasks
	return isFirst
}

// takeLogArgs returns the arguments of the log line, which are the number of machines for
// each reason and the number of live tasks, and resets the summary.
func (s *releaseSummary) takeLogArgs() []any {
	args := make([]any, 0, 2*len(s.machinesByReason)+2)
	for _, reason := range slices.Sorted(maps.Keys(s.machinesByReason)) {
		args = append(args, strings.ReplaceAll(reason, " ", "_"), s.machinesByReason[reason])
	}
	args = append(args, "live_tasks", s.taskCount)
	*s = releaseSummary{}
	return args
}

// Release starts the release of a machine for a reason that is logged. It enqueues the write
// of the machine's record, which must list the release before the cloud is called. It does
// nothing if the machine is being released already.
func (s *ScaleIn) Release(machine *state.Machine, reason string) {
	if machine.Releasing {
		return
	}
	tasks := machine.LiveTaskCount()
	s.loop.Log(messages.LogDebug, "releasing machine", "machine", string(machine.ID), "reason", reason, "live_tasks", tasks)
	if s.unlogged.add(reason, tasks) {
		s.loop.After(releaseLogDelay, s.logReleases)
	}
	machine.BeginRelease()
	s.deps.Records.WriteMachine(machine, writequeue.PriorityOutcome)
}

func (s *ScaleIn) logReleases() {
	s.loop.Log(messages.LogInfo, "releasing machines; counts by reason and number of live tasks", s.unlogged.takeLogArgs()...)
}

// ReleaseBeforeRecorded starts the release of a machine and lets the cloud be called before
// the machine's record is stored. It does nothing if the ownership lease of the shard no
// longer allows this controller to answer the shard's workers.
//
// It is used for a machine with cancelled tasks during an outage of the store, as the
// tasks must not keep running until the outage ends. It is safe because no other shard
// can acquire a machine whose record lists tasks, and the tasks can't start elsewhere
// before the record is stored. If another controller has acquired the machine's shard
// in the meantime, the machine appears to that controller to have failed.
func (s *ScaleIn) ReleaseBeforeRecorded(machine *state.Machine) {
	if s.deps.Ownership.CanAnswerWorkers(s.state.Shards[machine.ShardID]) {
		s.Release(machine, releaseCancelledInOutage)
		machine.ConfirmRelease()
	}
}

// ScheduleCall schedules a call to the cloud for the machines whose release is confirmed,
// unless one is scheduled already. See state.Machine.ConfirmRelease.
func (s *ScaleIn) ScheduleCall() {
	if s.callScheduled {
		return
	}
	s.callScheduled = true
	s.loop.After(scaleInDelay, func() {
		s.callScheduled = false
		s.call()
	})
}

// call calls the cloud to terminate machines whose release is confirmed. It does nothing
// if there are none or the rate limiter denies the call.
func (s *ScaleIn) call() {
	machines := s.confirmedReleases()
	if len(machines) == 0 || !s.rateLimiter.TryAcquire() {
		return
	}
	ids := make([]cluster.MachineID, len(machines))
	for i, machine := range machines {
		ids[i] = machine.ID
		machine.ScaleInCallInFlight = true
	}
	call := eventloop.Call(s.loop, func(reply messages.ScaleInReply) { s.handleReply(machines, reply) })
	s.loop.Emit(messages.CloudScaleIn{IDs: ids, Call: call})
}

// confirmedReleases returns machines of the owned shards whose release is confirmed and that
// are in no call, at most as many as one call may release.
func (s *ScaleIn) confirmedReleases() []*state.Machine {
	var machines []*state.Machine
	for _, shard := range s.state.Shards {
		if !shard.Owned {
			continue
		}
		for _, machine := range shard.Machines {
			if len(machines) == MaxMachinesPerScaleIn {
				return machines
			}
			if machine.AwaitsScaleInCall() {
				machines = append(machines, machine)
			}
		}
	}
	return machines
}

func (s *ScaleIn) handleReply(machines []*state.Machine, reply messages.ScaleInReply) {
	if reply.Outcome != messages.OK {
		s.loop.After(scaleInRetryDelay, func() {
			for _, machine := range machines {
				machine.ScaleInCallInFlight = false
			}
		})
		return
	}
	for _, machine := range machines {
		if s.state.Machines[machine.ID] == machine {
			s.HandleTerminated(machine)
		}
	}
}

// HandleTerminated records that the cloud has terminated a machine and all its tasks, and
// enqueues the write of the machine's record. The tasks may start elsewhere once the record
// is stored.
func (s *ScaleIn) HandleTerminated(machine *state.Machine) {
	machine.Terminated = true
	for _, assignment := range machine.Assignments {
		machine.MarkConfirmedAbsent(assignment)
	}
	s.deps.Records.WriteMachine(machine, writequeue.PriorityStart)
}
