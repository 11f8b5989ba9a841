package ownership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// checkInterval is the least time between the beginnings of two reads of a shard's
// claim record for ownership checks: all that come in between share one.
const checkInterval = 100 * millisecond

// check gathers the callers that wait until the state service has shown that a
// shard is still owned.
//
// A read serves only those who asked before it began. While any wait, one is
// scheduled or under way; those that come during one are served by the next.
type check struct {
	waiting    []func(owned bool)
	scheduled  bool         // a read is under way, or is about to be
	lastReadAt cluster.Time // when the last read began
}

// takeWaiting returns those who wait.
func (k *check) takeWaiting() []func(owned bool) {
	waiting := k.waiting
	k.waiting = nil
	return waiting
}

// Confirm calls answer after the state service has shown whether the shard is still
// owned, by a read begun after this call. Without it an owner that was deposed
// without knowing could answer with an older state than its successor.
func (m *Manager) ConfirmOwnership(shard *state.Shard, answer func(owned bool)) {
	if m.isStoreOut() {
		answer(false)
		return
	}
	check := &m.checks[shard.ID]
	check.waiting = append(check.waiting, answer)
	if check.scheduled {
		return
	}
	check.scheduled = true
	m.loop.After(max(0, check.lastReadAt+checkInterval-m.loop.Now()), func() { m.readForCheck(shard) })
}

// readForCheck reads a shard's claim record for those who wait now.
func (m *Manager) readForCheck(shard *state.Shard) {
	check := &m.checks[shard.ID]
	served := check.takeWaiting()
	check.lastReadAt = m.loop.Now()
	if len(served) == 0 { // the shard was lost meanwhile
		check.scheduled = false
		return
	}
	sentAt, modRevision := m.loop.Now(), shard.ModRevision
	m.queue.ReadKey(shard.Key(), func(reply messages.GetReply) {
		check.scheduled = false
		if reply.Outcome == messages.OK {
			m.applyRead(shard, reply.KV, sentAt)
		}
		owned := reply.Outcome == messages.OK && shard.Owned &&
			reply.KV.ModRevision == modRevision && shard.ModRevision == modRevision
		for _, answer := range served {
			answer(owned)
		}
		for _, answer := range check.takeWaiting() {
			m.ConfirmOwnership(shard, answer)
		}
	})
}
