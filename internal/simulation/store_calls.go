package simulation

import (
	"fmt"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// storeCallTimeout is how long a controller waits for the reply to a call to the store.
const storeCallTimeout = 1200 * millisecond

// StoreAPI delivers the controllers' calls to the store and injects faults into them.
type StoreAPI struct {
	*environment
	// DownUntil is when the outage of the store ends.
	DownUntil cluster.Time
	// Delay is the additional latency of replies to the calls that the store executes,
	// except for watches with a timeout. Replies that report an outage or a timeout are
	// sent without it.
	Delay     cluster.Time
	store     *FakeStore
	network   *Network
	failovers *Failovers
	slowBy    cluster.Time // additional latency of the replies until slowUntil
	slowUntil cluster.Time
	replyLoss replyLossFault
}

// replyLossFault is a fault that drops the replies to some transactions.
type replyLossFault struct {
	chance           float64
	until            cluster.Time
	applyImmediately bool
}

// Slow adds latency to the replies of the store for a duration.
func (s *StoreAPI) Slow(by, duration cluster.Time) {
	s.slowBy = by
	s.slowUntil = s.Now + duration
}

// LoseWriteReplies drops the replies to a share of the transactions for a duration. The
// transactions are applied 2 to 12 s later, possibly after newer ones from the same
// controller, or without that delay if applyImmediately is set.
func (s *StoreAPI) LoseWriteReplies(share float64, duration cluster.Time, applyImmediately bool) {
	s.replyLoss = replyLossFault{chance: share, until: s.Now + duration, applyImmediately: applyImmediately}
}

// storeCall is a pending call to the store with its possible replies.
type storeCall struct {
	pendingCall
	write       bool
	unavailable messages.ReplyBody // reply during an outage
	timedOut    messages.ReplyBody // reply after a timeout
	apply       func() messages.ReplyBody
}

func (s *StoreAPI) transact(node *Node, txn messages.StoreTxn) {
	s.send(storeCall{
		pendingCall: node.newCall(txn.Call),
		write:       true,
		unavailable: messages.TxnReply{Outcome: messages.NotApplied},
		timedOut:    messages.TxnReply{Outcome: messages.UnknownOutcome},
		apply:       func() messages.ReplyBody { return s.applyTxn(node, txn) },
	})
}

func (s *StoreAPI) get(node *Node, get messages.StoreGet) {
	s.send(storeCall{
		pendingCall: node.newCall(get.Call),
		unavailable: messages.GetReply{Outcome: messages.NotApplied},
		timedOut:    messages.GetReply{Outcome: messages.UnknownOutcome},
		apply:       func() messages.ReplyBody { return s.store.Get(get.Key) },
	})
}

func (s *StoreAPI) list(node *Node, list messages.StoreList) {
	s.send(storeCall{
		pendingCall: node.newCall(list.Call),
		unavailable: messages.ListReply{Outcome: messages.NotApplied},
		timedOut:    messages.ListReply{Outcome: messages.UnknownOutcome},
		apply:       func() messages.ReplyBody { return s.store.List(list.Prefix) },
	})
}

// watch replies when there are changes or the watch times out. A watch with a timeout of 0
// is an ordinary read that does not wait.
func (s *StoreAPI) watch(node *Node, watch messages.StoreWatch) {
	if watch.Timeout > 0 {
		s.pollWatch(node.newCall(watch.Call), watch, s.Now+watch.Timeout)
		return
	}
	s.send(storeCall{
		pendingCall: node.newCall(watch.Call),
		unavailable: messages.WatchReply{Outcome: messages.NotApplied},
		timedOut:    messages.WatchReply{Outcome: messages.UnknownOutcome},
		apply:       func() messages.ReplyBody { return s.store.Changes(watch.Prefix, watch.SinceRevision) },
	})
}

func (s *StoreAPI) pollWatch(call pendingCall, watch messages.StoreWatch, until cluster.Time) {
	s.After(s.RandomBetween(10*millisecond, 200*millisecond), func() {
		if !call.isAwaited() {
			return
		}
		if s.isReachableFrom(call.node) {
			changes := s.store.Changes(watch.Prefix, watch.SinceRevision)
			if len(changes.Items) > 0 || s.Now > until {
				call.replyAfter(0, changes)
				return
			}
		}
		s.pollWatch(call, watch, until)
	})
}

func (s *StoreAPI) isReachableFrom(node *Node) bool {
	return s.Now >= max(s.DownUntil, node.StorePartitionedUntil, node.StoreUnavailableUntil)
}

// send delivers a call to the store, or injects a fault.
func (s *StoreAPI) send(call storeCall) {
	node := call.node
	switch {
	case s.Now < s.DownUntil || s.Now < node.StoreUnavailableUntil:
		call.replyAfter(s.network.delay(), call.unavailable)
	case s.Now < node.StorePartitionedUntil:
		s.dropOrDelay(call, node.StorePartitionedUntil)
	case call.write && s.injectReplyLoss(call):
		call.replyAfter(storeCallTimeout, call.timedOut)
	case s.Chance(0.01):
		s.dropOrDelay(call, s.Now)
	default:
		s.After(s.network.delay(), func() { s.applyAndReply(call) })
	}
}

// dropOrDelay drops a call or delivers it late. In both cases the controller's call times
// out.
func (s *StoreAPI) dropOrDelay(call storeCall, partitionedUntil cluster.Time) {
	if delay, arrives := s.network.lateArrival(partitionedUntil); arrives {
		s.After(delay, func() { call.apply() })
	}
	call.replyAfter(storeCallTimeout, call.timedOut)
}

func (s *StoreAPI) applyAndReply(call storeCall) {
	reply := call.apply()
	if isApplied(reply) {
		s.network.repeat(s.network.RepeatChance, func() { s.applyAgain(call) })
	}
	if s.Chance(0.005) { // applied, but the reply is lost
		call.replyAfter(storeCallTimeout, call.timedOut)
		return
	}
	call.replyAfter(s.network.delay()+s.Delay+s.currentSlowdown(), reply)
}

func (s *StoreAPI) currentSlowdown() cluster.Time {
	if s.Now < s.slowUntil {
		return s.slowBy
	}
	return 0
}

// injectReplyLoss drops the reply to a transaction if a reply-loss fault affects it, and
// reports whether it did. The transaction is still applied, immediately or late.
func (s *StoreAPI) injectReplyLoss(call storeCall) bool {
	switch {
	case s.Now < call.node.StoreRepliesLostUntil:
		s.After(s.network.delay(), func() { s.applyWithoutReply(call) })
	case s.Now >= s.replyLoss.until || !s.Chance(s.replyLoss.chance):
		return false
	case s.replyLoss.applyImmediately:
		s.After(s.network.delay(), func() { s.applyWithoutReply(call) })
	default:
		s.After(s.RandomBetween(2*second, 12*second), func() { s.applyLate(call) })
	}
	return true
}

func (s *StoreAPI) applyWithoutReply(call storeCall) {
	if isApplied(call.apply()) {
		s.FaultCounts[FaultReplyLost]++
	}
}

// applyLate applies a transaction after the controller's call has timed out. During an
// outage, the transaction is postponed until the store is available again.
func (s *StoreAPI) applyLate(call storeCall) {
	if s.Now < s.DownUntil {
		s.After(s.DownUntil-s.Now+s.RandomBetween(0, second), func() { s.applyLate(call) })
		return
	}
	s.FaultCounts[FaultLateWrite]++
	if isApplied(call.apply()) {
		s.FaultCounts[FaultLateWriteApplied]++
	}
}

// applyAgain applies a transaction that was already applied a second time, unless a compare
// fails.
func (s *StoreAPI) applyAgain(call storeCall) {
	if s.Now >= s.DownUntil {
		s.FaultCounts[FaultRepeatedWrite]++
		call.apply()
	}
}

func isApplied(reply any) bool {
	txn, ok := reply.(messages.TxnReply)
	return ok && txn.Outcome == messages.OK
}

// applyTxn applies a controller's transaction unless it exceeds the limits or a compare
// fails.
func (s *StoreAPI) applyTxn(node *Node, txn messages.StoreTxn) messages.TxnReply {
	if outcome := s.store.Admit(s.Now, txn.Then, txn.If); outcome != messages.OK {
		return messages.TxnReply{Outcome: outcome}
	}
	reply := s.store.Commit(txn.If, txn.Then)
	s.logTxn(node, txn, reply)
	if reply.Outcome == messages.OK {
		s.failovers.recordShardOwners(txn.Then)
	}
	return reply
}

func (s *StoreAPI) logTxn(node *Node, txn messages.StoreTxn, reply messages.TxnReply) {
	verb := "writes"
	if reply.Outcome != messages.OK {
		verb = "may not write"
	}
	for _, operation := range txn.Then {
		value := string(operation.Value)
		if operation.Value == nil {
			value = "(dropped)"
		}
		s.Log(fmt.Sprintf("%s %s %s@%d %s", node.ID, verb, operation.Key, reply.Revision, value))
	}
}
