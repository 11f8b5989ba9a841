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
	// MaxMachinesPerScaleIn is how many machines the protocol lets one call release.
	MaxMachinesPerScaleIn = 100
	// scaleInDelay is how long machines whose release is recorded are gathered for
	// one call.
	scaleInDelay = 50 * millisecond
	// scaleInRetryDelay is the wait after the cloud has not carried out a call.
	scaleInRetryDelay = 2 * second
	// releaseLogDelay is how long releases are gathered for one log line: hundreds of
	// machines may be released together.
	releaseLogDelay = second
)

// The reasons for which machines are released here.
const (
	releaseFailed            = "failed"
	releaseCancelledInOutage = "cancelled tasks in an outage"
)

// ScaleIn gives machines back to the cloud. Many share one call and one log line.
type ScaleIn struct {
	*shared
	rate *RequestRate

	callScheduled bool
	unlogged      releaseSummary
}

// releaseSummary counts the releases that are not logged yet. While there are any, a
// log line is scheduled that will tell of them.
type releaseSummary struct {
	machinesByReason map[string]int // nil: none
	taskCount        int            // that were on these machines
}

// add counts a release; true: a log line has yet to be scheduled.
func (s *releaseSummary) add(reason string, tasks int) bool {
	isFirst := s.machinesByReason == nil
	if isFirst {
		s.machinesByReason = map[string]int{}
	}
	s.machinesByReason[reason]++
	s.taskCount += tasks
	return isFirst
}

// takeLogArgs returns the arguments of the log line that is due.
func (s *releaseSummary) takeLogArgs() []any {
	args := make([]any, 0, 2*len(s.machinesByReason)+2)
	for _, reason := range slices.Sorted(maps.Keys(s.machinesByReason)) {
		args = append(args, strings.ReplaceAll(reason, " ", "_"), s.machinesByReason[reason])
	}
	args = append(args, "live_tasks", s.taskCount)
	*s = releaseSummary{}
	return args
}

// Release gives a machine back: first its record says so, then the cloud is called.
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
	s.loop.Log(messages.LogInfo, "releasing machines", s.unlogged.takeLogArgs()...)
}

// ReleaseBeforeRecorded gives a machine back before its record says so: it has
// cancelled tasks, and an outage of the state service may last longer than they may
// go on. No other shard can take a machine whose record lists tasks. If its shard was
// acquired by another controller meanwhile, that one may lose the machine as if it had
// failed: only the record frees its tasks, not the call of the cloud.
func (s *ScaleIn) ReleaseBeforeRecorded(machine *state.Machine) {
	if s.deps.Ownership.CanAnswerWorkers(s.state.Shards[machine.ShardID]) {
		s.Release(machine, releaseCancelledInOutage)
		machine.ConfirmRelease()
	}
}

// ScheduleCall has the cloud called soon for the machines whose release is recorded.
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

// call tells the cloud of the machines whose release is recorded.
func (s *ScaleIn) call() {
	machines := s.confirmedReleases()
	if len(machines) == 0 || !s.rate.TryCall() {
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

// confirmedReleases lists machines that the cloud has yet to be told of, at most as
// many as one call may release.
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

// HandleTerminated is called when the cloud has confirmed that a machine and all that
// ran on it are gone. Its tasks may start elsewhere once the record says so.
func (s *ScaleIn) HandleTerminated(machine *state.Machine) {
	machine.Terminated = true
	for _, assignment := range machine.Assignments {
		machine.MarkConfirmedAbsent(assignment)
	}
	s.deps.Records.WriteMachine(machine, writequeue.PriorityStart)
}
