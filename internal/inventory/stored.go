package inventory

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// applyStored updates a group's machines and assignments after a record was stored. The
// tasks that the record lists may be started on its machines, and those that it no longer
// lists may be started on other machines. A group without machines is removed.
func (inv *Inventory) applyStored(group *state.MachineGroup, snapshot *recordSnapshot, revision cluster.Revision) {
	for i := range snapshot.machines {
		if s := &snapshot.machines[i]; inv.state.Machines[s.machine.ID] == s.machine {
			inv.applyStoredMachine(s, revision)
		}
	}
	for _, m := range snapshot.terminated {
		inv.removeTerminated(m)
	}
	if len(group.Machines) == 0 {
		delete(inv.state.Groups, group.ID)
	}
}

func (inv *Inventory) applyStoredMachine(s *machineSnapshot, revision cluster.Revision) {
	m := s.machine
	m.RecordedTaskCount = len(s.listed)
	if m.PendingHeartbeat != 0 {
		inv.workers.RecheckHeldHeartbeat(m)
	}
	for _, a := range s.listed {
		if !a.MarkRecorded() {
			continue
		}
		if a.Job.IsActive() {
			inv.workers.QueueCommandPush(m)
		} else {
			inv.workers.ConfirmAbsent(m, a) // the job has ended and the start was never sent
		}
	}
	for _, a := range s.removed {
		inv.RemoveAssignment(m, a)
	}
	for _, a := range s.completed {
		if a.MarkRemovedFromRecord() {
			inv.RemoveAssignment(m, a)
		}
	}
	if s.raisesToken {
		m.MarkTokenRaised(cluster.FencingToken(revision), inv.loop.Now())
	}
	if s.releases && !m.ReleaseConfirmed {
		m.ConfirmRelease()
		inv.cloud.ScheduleScaleIn()
	}
}
