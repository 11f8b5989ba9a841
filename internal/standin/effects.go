package standin

import (
	"fmt"

	"stairrelay/internal/core"
)

// What the controllers ask of the world around them.

// stalledPart is what a controller logs of a part that is not served. It may do
// so for some time after the troubles, since it tells of what went before.
const (
	stallLogText        = "part makes no progress"
	stallLogGracePeriod = 60 * second
)

func (w *Simulator) executeEffect(n *Node, f core.Effect) {
	gen := n.generation
	switch f := f.(type) {
	case core.Respond:
		if fn := n.pendingRequests[f.Request]; fn != nil {
			delete(n.pendingRequests, f.Request)
			w.After(w.networkDelay(), func() { fn(f) })
		}
	case core.StoreTxn:
		w.callStore(n, f.Call, true, core.TxnReply{Outcome: core.NotApplied}, core.TxnReply{Outcome: core.UnknownOutcome}, func() any {
			if out := w.StateService.Admit(w.Now, f.Then, f.If); out != core.OK {
				return core.TxnReply{Outcome: out}
			}
			r := w.StateService.Commit(f.If, f.Then)
			what := "writes"
			if r.Outcome != core.OK {
				what = "may not write"
			}
			for _, o := range f.Then {
				v := string(o.Value)
				if o.Value == nil {
					v = "(dropped)"
				}
				w.Log(fmt.Sprintf("%s %s %s@%d %s", n.ID, what, o.Key, r.Revision, v))
			}
			if r.Outcome == core.OK {
				w.recordShardOwners(f.Then)
			}
			return r
		})
	case core.StoreGet:
		w.callStore(n, f.Call, false, core.GetReply{Outcome: core.NotApplied}, core.GetReply{Outcome: core.UnknownOutcome}, func() any { return w.StateService.Get(f.Key) })
	case core.StoreList:
		w.callStore(n, f.Call, false, core.ListReply{Outcome: core.NotApplied}, core.ListReply{Outcome: core.UnknownOutcome}, func() any { return w.StateService.List(f.Prefix) })
	case core.StoreWatch:
		if f.Timeout == 0 { // a reading, answered at once like any other
			w.callStore(n, f.Call, false, core.WatchReply{Outcome: core.NotApplied}, core.WatchReply{Outcome: core.UnknownOutcome}, func() any { return w.StateService.Changes(f.Prefix, f.SinceRevision) })
			return
		}
		w.pollWatch(n, gen, f, w.Now+f.Timeout)
	case core.CloudMachineTypes:
		if w.Now < w.CloudDownUntil {
			w.deliverReply(n, gen, f.Call, w.networkDelay(), core.MachineTypesReply{Outcome: core.NotApplied})
			return
		}
		w.deliverReply(n, gen, f.Call, w.networkDelay(), core.MachineTypesReply{Outcome: core.OK, Types: w.Cloud.MachineTypes})
	case core.CloudScaleOut:
		if w.Now < w.CloudDownUntil {
			w.deliverReply(n, gen, f.Call, w.networkDelay(), core.ScaleOutReply{Outcome: core.NotApplied})
			return
		}
		if w.Chance(0.05) { // carried out late, the answer lost
			w.After(w.RandomBetween(second, 30*second), func() { w.Cloud.ScaleOut(w.Now, f) })
			w.deliverReply(n, gen, f.Call, 4*second, core.ScaleOutReply{Outcome: core.UnknownOutcome})
			return
		}
		w.deliverReply(n, gen, f.Call, w.networkDelay(), w.Cloud.ScaleOut(w.Now, f))
	case core.CloudScaleIn:
		if w.Now < w.CloudDownUntil {
			w.deliverReply(n, gen, f.Call, w.networkDelay(), core.ScaleInReply{Outcome: core.UnknownOutcome})
			return
		}
		for _, id := range f.IDs {
			w.RemoveMachine(id)
		}
		w.deliverReply(n, gen, f.Call, w.networkDelay(), core.ScaleInReply{Outcome: core.OK})
	case core.CloudList:
		if w.Now < w.CloudDownUntil {
			w.deliverReply(n, gen, f.Call, w.networkDelay(), core.CloudListReply{Outcome: core.NotApplied})
			return
		}
		items, more := w.Cloud.ListPage(w.Now, f.After)
		w.deliverReply(n, gen, f.Call, w.config.CloudListLag/2, core.CloudListReply{Outcome: core.OK, Items: items, More: more})
	case core.PushCommands:
		w.pushCommands(n, f)
	case core.QueryWorkerStatus:
		l := w.Workers[core.MachineID(f.Addr)]
		if l == nil || l.removed || w.Now < max(n.WorkersCutUntil, l.cutUntil, l.hungUntil, l.unreachableUntil) {
			w.deliverReply(n, gen, f.Call, 2500*millisecond, core.PushCommandsReply{Outcome: core.UnknownOutcome})
			return
		}
		w.deliverReply(n, gen, f.Call, w.networkDelay(), core.PushCommandsReply{Outcome: core.OK, Status: l.NextStatus()})
	case core.PeerCall:
		w.callPeer(n, f)
	case core.Log:
		if f.Message != "stats" && f.Message != "load" {
			w.Log(fmt.Sprintf("%s logs %s: %s %v", n.ID, f.Level, f.Message, f.Args))
		}
		if f.Level == core.LogError {
			w.reportViolation("%s logs an error: %s %v", n.ID, f.Message, f.Args)
		}
		if f.Message == stallLogText && w.FaultsOverAt > 0 && w.Now > w.FaultsOverAt+stallLogGracePeriod {
			w.reportViolation("unserved: %s says %v", n.ID, f.Args)
		}
	}
}

func (w *Simulator) callStore(n *Node, id core.CallID, txn bool, refused, unknown any, do func() any) {
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

func (w *Simulator) pollWatch(n *Node, gen int, f core.StoreWatch, until core.Time) {
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

func (w *Simulator) callPeer(n *Node, f core.PeerCall) {
	to, gen := w.nodeByID(f.To), n.generation
	lost := core.PeerReply{Outcome: core.UnknownOutcome}
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
		w.SendRequest(to, func(id core.RequestID) core.Event { return core.PeerRequest{Request: id, Message: f.Message} }, func(r core.Respond) {
			if answered {
				return
			}
			answered = true
			if r.Peer == nil {
				w.deliverReply(n, gen, f.Call, 0, lost)
				return
			}
			w.deliverReply(n, gen, f.Call, w.networkDelay(), core.PeerReply{Outcome: core.OK, Message: *r.Peer})
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
				w.stepNode(n, core.Reply{Call: f.Call, Body: lost})
			}
		}
	})
}

func (w *Simulator) nodeByID(id core.NodeID) *Node {
	for _, n := range w.Nodes {
		if n.ID == id {
			return n
		}
	}
	return nil
}

func (w *Simulator) pushCommands(n *Node, f core.PushCommands) {
	gen := n.generation
	l := w.Workers[core.MachineID(f.Addr)]
	if l == nil || l.removed {
		w.deliverReply(n, gen, f.Call, 1500*millisecond, core.PushCommandsReply{Outcome: core.NotApplied})
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
		w.deliverReply(n, gen, f.Call, 2500*millisecond, core.PushCommandsReply{Outcome: core.UnknownOutcome})
		return
	}
	w.After(w.networkDelay(), func() {
		if l.removed {
			w.deliverReply(n, gen, f.Call, 2*second, core.PushCommandsReply{Outcome: core.UnknownOutcome})
			return
		}
		r := l.HandleCommands(f)
		w.logCommands(n, l, f.FencingToken, f.Commands)
		w.scheduleHeartbeat(l)
		if w.Chance(0.01) {
			w.deliverReply(n, gen, f.Call, 2*second, core.PushCommandsReply{Outcome: core.UnknownOutcome})
			return
		}
		w.deliverReply(n, gen, f.Call, w.networkDelay(), r)
	})
}

func (w *Simulator) deliverLateCommands(l *SimulatedWorker, f core.PushCommands) {
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

func (w *Simulator) logCommands(n *Node, l *SimulatedWorker, token core.FencingToken, cmds []core.Command) {
	for _, c := range cmds {
		verb := [...]string{"start", "stop", "forget"}[c.Kind]
		w.Log(fmt.Sprintf("%s -> %s token %d: %s %s attempt %d", n.ID, l.ID, token, verb, c.Task, c.Attempt))
	}
}
