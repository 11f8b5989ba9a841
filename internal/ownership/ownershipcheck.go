package ownership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// minCheckInterval is the minimum time between the starts of two reads of a shard's
// claim record for ownership checks. Checks requested in between share one read.
const minCheckInterval = 100 * millisecond

// ownershipCheck batches the callers of Manager.ConfirmOwnership for one shard.
//
// A read of the claim record answers only the calls made before it started; calls
// made during a read are answered by the next one. While callbacks is not empty, a
// read is scheduled or in flight.
type ownershipCheck struct {
	callbacks  []func(owned bool)
	scheduled  bool         // a read is scheduled or in flight
	lastReadAt cluster.Time // when the last read started
}

// takeCallbacks removes and returns the pending callbacks.
func (c *ownershipCheck) takeCallbacks() []func(owned bool) {
	callbacks := c.callbacks
	c.callbacks = nil
	return callbacks
}

// ConfirmOwnership calls handle with whether this controller still owns the shard, as
// shown by a read of the claim record that starts after the call. handle is called with
// false if the read fails, the store is unavailable or the shard is lost in the meantime.
// Callers use it before they answer from memory, because a deposed owner that has not
// noticed the loss could return stale data.
func (m *Manager) ConfirmOwnership(shard *state.Shard, handle func(owned bool)) {
	if m.isStoreUnavailable() {
		handle(false)
		return
	}
	check := &m.checks[shard.ID]
	check.callbacks = append(check.callbacks, handle)
	if check.scheduled {
		return
	}
	check.scheduled = true
	m.loop.After(max(0, check.lastReadAt+minCheckInterval-m.loop.Now()), func() { m.readForCheck(shard) })
}

// readForCheck reads and applies a shard's claim record, and then answers the checks that
// were pending when the read started.
func (m *Manager) readForCheck(shard *state.Shard) {
	check := &m.checks[shard.ID]
	callbacks := check.takeCallbacks()
	check.lastReadAt = m.loop.Now()
	if len(callbacks) == 0 { // the shard was lost in the meantime
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
		for _, handle := range callbacks {
			handle(owned)
		}
		for _, handle := range check.takeCallbacks() {
			m.ConfirmOwnership(shard, handle)
		}
	})
}
