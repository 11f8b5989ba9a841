package simulation

import (
	"fmt"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// What the controllers ask of the world around them.

// stalledPart is what a controller logs of a part that is not served. It may do
// so for some time after the troubles, since it tells of what went before.
const (
	stallLogText        = "part makes no progress"
	stallLogGracePeriod = 60 * second
)

func (w *Simulator) executeEffect(n *Node, f messages.Effect) {
	gen := n.generation
	switch f := f.(type) {
	case messages.Respond:
		if fn := n.pendingRequests[f.Request]; fn != nil {
			delete(n.pendingRequests, f.Request)
			w.After(w.networkDelay(), func() { fn(f) })
		}
	case messages.StoreTxn:
		w.callStore(n, f.Call, true, messages.TxnReply{Outcome: messages.NotApplied}, messages.TxnReply{Outcome: messages.UnknownOutcome}, func() any {
			if out := w.StateService.Admit(w.Now, f.Then, f.If); out != messages.OK {
				return messages.TxnReply{Outcome: out}
			}
			r := w.StateService.Commit(f.If, f.Then)
			what := "writes"
			if r.Outcome != messages.OK {
				what = "may not write"
			}
			for _, o := range f.Then {
				v := string(o.Value)
				if o.Value == nil {
					v = "(dropped)"
				}
				w.Log(fmt.Sprintf("%s %s %s@%d %s", n.ID, what, o.Key, r.Revision, v))
			}
			if r.Outcome == messages.OK {
				w.recordShardOwners(f.Then)
			}
			return r
		})
	case messages.StoreGet:
		w.callStore(n, f.Call, false, messages.GetReply{Outcome: messages.NotApplied}, messages.GetReply{Outcome: messages.UnknownOutcome}, func() any { return w.StateService.Get(f.Key) })
	case messages.StoreList:
		w.callStore(n, f.Call, false, messages.ListReply{Outcome: messages.NotApplied}, messages.ListReply{Outcome: messages.UnknownOutcome}, func() any { return w.StateService.List(f.Prefix) })
	case messages.StoreWatch:
		if f.Timeout == 0 { // a reading, answered at once like any other
			w.callStore(n, f.Call, false, messages.WatchReply{Outcome: messages.NotApplied}, messages.WatchReply{Outcome: messages.UnknownOutcome}, func() any { return w.StateService.Changes(f.Prefix, f.SinceRevision) })
			return
		}
		w.pollWatch(n, gen, f, w.Now+f.Timeout)
	case messages.CloudMachineTypes:
		if w.Now < w.CloudDownUntil {
			w.deliverReply(n, gen, f.Call, w.networkDelay(), messages.MachineTypesReply{Outcome: messages.NotApplied})
			return
		}
		w.deliverReply(n, gen, f.Call, w.networkDelay(), messages.MachineTypesReply{Outcome: messages.OK, Types: w.Cloud.MachineTypes})
	case messages.CloudScaleOut:
		if w.Now < w.CloudDownUntil {
			w.deliverReply(n, gen, f.Call, w.networkDelay(), messages.ScaleOutReply{Outcome: messages.NotApplied})
			return
		}
		if w.Chance(0.05) { // carried out late, the answer lost
			w.After(w.RandomBetween(second, 30*second), func() { w.Cloud.ScaleOut(w.Now, f) })
			w.deliverReply(n, gen, f.Call, 4*second, messages.ScaleOutReply{Outcome: messages.UnknownOutcome})
			return
		}
		w.deliverReply(n, gen, f.Call, w.networkDelay(), w.Cloud.ScaleOut(w.Now, f))
	case messages.CloudScaleIn:
		if w.Now < w.CloudDownUntil {
			w.deliverReply(n, gen, f.Call, w.networkDelay(), messages.ScaleInReply{Outcome: messages.UnknownOutcome})
			return
		}
		for _, id := range f.IDs {
			w.RemoveMachine(id)
		}
		w.deliverReply(n, gen, f.Call, w.networkDelay(), messages.ScaleInReply{Outcome: messages.OK})
	case messages.CloudList:
		if w.Now < w.CloudDownUntil {
			w.deliverReply(n, gen, f.Call, w.networkDelay(), messages.CloudListReply{Outcome: messages.NotApplied})
			return
		}
		items, more := w.Cloud.ListPage(w.Now, f.After)
		w.deliverReply(n, gen, f.Call, w.config.CloudListLag/2, messages.CloudListReply{Outcome: messages.OK, Items: items, More: more})
	case messages.PushCommands:
		w.pushCommands(n, f)
	case messages.QueryWorkerStatus:
		l := w.Workers[cluster.MachineID(f.Addr)]
		if l == nil || l.removed || w.Now < max(n.WorkersCutUntil, l.cutUntil, l.hungUntil, l.unreachableUntil) {
			w.deliverReply(n, gen, f.Call, 2500*millisecond, messages.PushCommandsReply{Outcome: messages.UnknownOutcome})
			return
		}
		w.deliverReply(n, gen, f.Call, w.networkDelay(), messages.PushCommandsReply{Outcome: messages.OK, Status: l.NextStatus()})
	case messages.PeerCall:
		w.callPeer(n, f)
	case messages.Log:
		if f.Message != "stats" && f.Message != "load" {
			w.Log(fmt.Sprintf("%s logs %s: %s %v", n.ID, f.Level, f.Message, f.Args))
		}
		if f.Level == messages.LogError {
			w.reportViolation("%s logs an error: %s %v", n.ID, f.Message, f.Args)
		}
		if f.Message == stallLogText && w.FaultsOverAt > 0 && w.Now > w.FaultsOverAt+stallLogGracePeriod {
			w.reportViolation("unserved: %s says %v", n.ID, f.Args)
		}
	}
}

func (w *Simulator) callStore(n *Node, id messages.CallID, txn bool, refused, unknown any, do func() any) {
	gen := n.generation
	switch {
	case w.Now < w.StoreDownUntil || w.Now < n.StoreRefusesUntil:
		w.deliverReply(n, gen, id, w.networkDelay(), refused)
	case w.Now < n.StoreCutUntil:
		if d, ok := w.lateArrival(n.StoreCutUntil); ok {
			w.After(d, func() { do() })
		}
		w.deliverReply(n, gen, id, 1200*millisecond, unknown)
	case txn && w.loseWriteReply(n, do):
		w.deliverReply(n, gen, id, 1200*millisecond, unknown)
	case w.Chance(0.01): // lost on the way, or delivered late
		if d, ok := w.lateArrival(w.Now); ok {
			w.After(d, func() { do() })
		}
		w.deliverReply(n, gen, id, 1200*millisecond, unknown)
	default:
		w.After(w.networkDelay(), func() {
			body := do()
			if w.Chance(0.005) { // carried out, the answer lost
				w.deliverReply(n, gen, id, 1200*millisecond, unknown)
				return
			}
			w.deliverReply(n, gen, id, w.networkDelay()+w.StoreDelay+w.faults.currentStoreDelay(w.Now), body)
		})
	}
}

func (w *Simulator) pollWatch(n *Node, gen int, f messages.StoreWatch, until cluster.Time) {
	w.After(w.RandomBetween(10*millisecond, 200*millisecond), func() {
		if !n.running || n.generation != gen {
			return
		}
		if w.Now >= w.StoreDownUntil && w.Now >= n.StoreCutUntil && w.Now >= n.StoreRefusesUntil {
			if r := w.StateService.Changes(f.Prefix, f.SinceRevision); len(r.Items) > 0 || w.Now > until {
				w.deliverReply(n, gen, f.Call, 0, r)
				return
			}
		}
		w.pollWatch(n, gen, f, until)
	})
}

func (w *Simulator) callPeer(n *Node, f messages.PeerCall) {
	to, gen := w.nodeByID(f.To), n.generation
	lost := messages.PeerReply{Outcome: messages.UnknownOutcome}
	if !to.running || w.Now < n.PeersRefuseUntil || w.Now < to.PeersRefuseUntil {
		w.deliverReply(n, gen, f.Call, w.networkDelay(), lost) // refused
		return
	}
	if w.Now < n.PeersCutUntil || w.Now < to.PeersCutUntil {
		w.deliverReply(n, gen, f.Call, f.Timeout, lost)
		return
	}
	answered := false
	send := func() {
		w.SendRequest(to, func(id messages.RequestID) messages.Event {
			return messages.PeerRequest{Request: id, Message: f.Message}
		}, func(r messages.Respond) {
			if answered {
				return
			}
			answered = true
			if r.Peer == nil {
				w.deliverReply(n, gen, f.Call, 0, lost)
				return
			}
			w.deliverReply(n, gen, f.Call, w.networkDelay(), messages.PeerReply{Outcome: messages.OK, Message: *r.Peer})
		})
	}
	if w.SlowPeerChance > 0 && w.Chance(w.SlowPeerChance) { // else what one controller tells another would always be there before its user asks there
		w.FaultCounts["slow messages between controllers"]++
		w.After(w.RandomBetween(50*millisecond, 400*millisecond), send)
	} else {
		send()
	}
	w.After(f.Timeout, func() {
		if !answered {
			answered = true
			if n.running && n.generation == gen {
				w.stepNode(n, messages.Reply{Call: f.Call, Body: lost})
			}
		}
	})
}

func (w *Simulator) nodeByID(id cluster.NodeID) *Node {
	for _, n := range w.Nodes {
		if n.ID == id {
			return n
		}
	}
	return nil
}

func (w *Simulator) pushCommands(n *Node, f messages.PushCommands) {
	gen := n.generation
	l := w.Workers[cluster.MachineID(f.Addr)]
	if l == nil || l.removed {
		w.deliverReply(n, gen, f.Call, 1500*millisecond, messages.PushCommandsReply{Outcome: messages.NotApplied})
		return
	}
	cut := max(n.WorkersCutUntil, l.cutUntil, l.hungUntil, l.unreachableUntil)
	if w.Now < l.heartbeatsBlockedUntil && w.Now >= cut {
		w.FaultCounts["commands to a mute machine"]++
	}
	if w.Now < l.unreachableUntil {
		w.FaultCounts["commands to a one-way machine"]++
	}
	if w.Now < cut || w.Chance(0.01) {
		if d, ok := w.lateArrival(cut); ok {
			w.After(d, func() { w.deliverLateCommands(l, f) })
		}
		w.deliverReply(n, gen, f.Call, 2500*millisecond, messages.PushCommandsReply{Outcome: messages.UnknownOutcome})
		return
	}
	w.After(w.networkDelay(), func() {
		if l.removed {
			w.deliverReply(n, gen, f.Call, 2*second, messages.PushCommandsReply{Outcome: messages.UnknownOutcome})
			return
		}
		r := l.HandleCommands(f)
		w.logCommands(n, l, f.FencingToken, f.Commands)
		w.scheduleHeartbeat(l)
		if w.Chance(0.01) {
			w.deliverReply(n, gen, f.Call, 2*second, messages.PushCommandsReply{Outcome: messages.UnknownOutcome})
			return
		}
		w.deliverReply(n, gen, f.Call, w.networkDelay(), r)
	})
}

func (w *Simulator) deliverLateCommands(l *SimulatedWorker, f messages.PushCommands) {
	if l.removed {
		return
	}
	if w.Now < l.hungUntil {
		w.After(l.hungUntil-w.Now+millisecond, func() { w.deliverLateCommands(l, f) })
		return
	}
	if w.Now-l.leaseRenewedAt > l.LeaseDuration { // it notices that first when it goes on
		l.Advance(w.Now)
	}
	l.HandleCommands(f)
}

func (w *Simulator) logCommands(n *Node, l *SimulatedWorker, token cluster.FencingToken, cmds []cluster.Command) {
	for _, c := range cmds {
		verb := [...]string{"start", "stop", "forget"}[c.Kind]
		w.Log(fmt.Sprintf("%s -> %s token %d: %s %s attempt %d", n.ID, l.ID, token, verb, c.Task, c.Attempt))
	}
}
