package standin

import (
	"fmt"

	"stairrelay/internal/core"
)

// What the controllers ask of the world around them.

// stalledPart is what a controller logs of a part that is not served. It may do
// so for some time after the troubles, since it tells of what went before.
const (
	stalledPart  = "part makes no progress"
	stallAllowed = 60 * second
)

func (w *World) effect(n *Node, f core.Effect) {
	gen := n.gen
	switch f := f.(type) {
	case core.Respond:
		if fn := n.waiting[f.Req]; fn != nil {
			delete(n.waiting, f.Req)
			w.After(w.delay(), func() { fn(f) })
		}
	case core.StoreTxn:
		w.store(n, f.Call, true, core.TxnReply{Out: core.NotDone}, core.TxnReply{Out: core.Unknown}, func() any {
			if out := w.State.Admit(w.Now, f.Then, f.When); out != core.OK {
				return core.TxnReply{Out: out}
			}
			r := w.State.Txn(f.When, f.Then)
			what := "writes"
			if r.Out != core.OK {
				what = "may not write"
			}
			for _, o := range f.Then {
				v := string(o.Value)
				if o.Value == nil {
					v = "(dropped)"
				}
				w.Log(fmt.Sprintf("%s %s %s@%d %s", n.ID, what, o.Key, r.Epoch, v))
			}
			if r.Out == core.OK {
				w.claimed(f.Then)
			}
			return r
		})
	case core.StoreGet:
		w.store(n, f.Call, false, core.GetReply{Out: core.NotDone}, core.GetReply{Out: core.Unknown}, func() any { return w.State.Get(f.Key) })
	case core.StoreList:
		w.store(n, f.Call, false, core.ListReply{Out: core.NotDone}, core.ListReply{Out: core.Unknown}, func() any { return w.State.List(f.Prefix) })
	case core.StoreWatch:
		if f.Wait == 0 { // a reading, answered at once like any other
			w.store(n, f.Call, false, core.WatchReply{Out: core.NotDone}, core.WatchReply{Out: core.Unknown}, func() any { return w.State.Changes(f.Prefix, f.Since) })
			return
		}
		w.watch(n, gen, f, w.Now+f.Wait)
	case core.CloudTypes:
		if w.Now < w.CloudDn {
			w.reply(n, gen, f.Call, w.delay(), core.TypesReply{Out: core.NotDone})
			return
		}
		w.reply(n, gen, f.Call, w.delay(), core.TypesReply{Out: core.OK, Types: w.Cloud.Types})
	case core.CloudRent:
		if w.Now < w.CloudDn {
			w.reply(n, gen, f.Call, w.delay(), core.RentReply{Out: core.NotDone})
			return
		}
		if w.Chance(0.05) { // carried out late, the answer lost
			w.After(w.Between(second, 30*second), func() { w.Cloud.Rent(w.Now, f) })
			w.reply(n, gen, f.Call, 4*second, core.RentReply{Out: core.Unknown})
			return
		}
		w.reply(n, gen, f.Call, w.delay(), w.Cloud.Rent(w.Now, f))
	case core.CloudReturn:
		if w.Now < w.CloudDn {
			w.reply(n, gen, f.Call, w.delay(), core.ReturnReply{Out: core.Unknown})
			return
		}
		for _, id := range f.IDs {
			w.Remove(id)
		}
		w.reply(n, gen, f.Call, w.delay(), core.ReturnReply{Out: core.OK})
	case core.CloudList:
		if w.Now < w.CloudDn {
			w.reply(n, gen, f.Call, w.delay(), core.CloudListReply{Out: core.NotDone})
			return
		}
		items, more := w.Cloud.Page(w.Now, f.Since)
		w.reply(n, gen, f.Call, w.cfg.ListLag/2, core.CloudListReply{Out: core.OK, Items: items, More: more})
	case core.Orders:
		w.orders(n, f)
	case core.Inspect:
		l := w.Workers[core.MachineID(f.Addr)]
		if l == nil || l.gone || w.Now < max(n.WorkerCut, l.cut, l.hang, l.deaf) {
			w.reply(n, gen, f.Call, 2500*milli, core.OrdersReply{Out: core.Unknown})
			return
		}
		w.reply(n, gen, f.Call, w.delay(), core.OrdersReply{Out: core.OK, Report: l.Report()})
	case core.PeerCall:
		w.peerCall(n, f)
	case core.Log:
		if f.Text != "stats" && f.Text != "load" {
			w.Log(fmt.Sprintf("%s logs %s: %s %v", n.ID, f.Level, f.Text, f.Args))
		}
		if f.Level == core.LogError {
			w.broke("%s logs an error: %s %v", n.ID, f.Text, f.Args)
		}
		if f.Text == stalledPart && w.Calmed > 0 && w.Now > w.Calmed+stallAllowed {
			w.broke("unserved: %s says %v", n.ID, f.Args)
		}
	}
}

func (w *World) store(n *Node, id core.CallID, txn bool, refused, unknown any, do func() any) {
	gen := n.gen
	switch {
	case w.Now < w.Down || w.Now < n.Refused:
		w.reply(n, gen, id, w.delay(), refused)
	case w.Now < n.StoreCut:
		if d, ok := w.lateBy(n.StoreCut); ok {
			w.After(d, func() { do() })
		}
		w.reply(n, gen, id, 1200*milli, unknown)
	case txn && w.lateWrite(n, do):
		w.reply(n, gen, id, 1200*milli, unknown)
	case w.Chance(0.01): // lost on the way, or delivered late
		if d, ok := w.lateBy(w.Now); ok {
			w.After(d, func() { do() })
		}
		w.reply(n, gen, id, 1200*milli, unknown)
	default:
		w.After(w.delay(), func() {
			body := do()
			if w.Chance(0.005) { // carried out, the answer lost
				w.reply(n, gen, id, 1200*milli, unknown)
				return
			}
			w.reply(n, gen, id, w.delay()+w.Slow+w.more.slowNow(w.Now), body)
		})
	}
}

func (w *World) watch(n *Node, gen int, f core.StoreWatch, until core.Time) {
	w.After(w.Between(10*milli, 200*milli), func() {
		if !n.up || n.gen != gen {
			return
		}
		if w.Now >= w.Down && w.Now >= n.StoreCut && w.Now >= n.Refused {
			if r := w.State.Changes(f.Prefix, f.Since); len(r.Items) > 0 || w.Now > until {
				w.reply(n, gen, f.Call, 0, r)
				return
			}
		}
		w.watch(n, gen, f, until)
	})
}

func (w *World) peerCall(n *Node, f core.PeerCall) {
	to, gen := w.node(f.To), n.gen
	lost := core.PeerReply{Out: core.Unknown}
	if !to.up || w.Now < n.NoPeers || w.Now < to.NoPeers {
		w.reply(n, gen, f.Call, w.delay(), lost) // refused
		return
	}
	if w.Now < n.PeerCut || w.Now < to.PeerCut {
		w.reply(n, gen, f.Call, f.Timeout, lost)
		return
	}
	answered := false
	send := func() {
		w.Ask(to, func(id core.ReqID) core.Event { return core.PeerAsk{Req: id, Msg: f.Msg} }, func(r core.Respond) {
			if answered {
				return
			}
			answered = true
			if r.Peer == nil {
				w.reply(n, gen, f.Call, 0, lost)
				return
			}
			w.reply(n, gen, f.Call, w.delay(), core.PeerReply{Out: core.OK, Msg: *r.Peer})
		})
	}
	if w.SlowPeers > 0 && w.Chance(w.SlowPeers) { // else what one controller tells another would always be there before its user asks there
		w.Faults["slow messages between controllers"]++
		w.After(w.Between(50*milli, 400*milli), send)
	} else {
		send()
	}
	w.After(f.Timeout, func() {
		if !answered {
			answered = true
			if n.up && n.gen == gen {
				w.step(n, core.Reply{Call: f.Call, Body: lost})
			}
		}
	})
}

func (w *World) node(id core.NodeID) *Node {
	for _, n := range w.Nodes {
		if n.ID == id {
			return n
		}
	}
	return nil
}

func (w *World) orders(n *Node, f core.Orders) {
	gen := n.gen
	l := w.Workers[core.MachineID(f.Addr)]
	if l == nil || l.gone {
		w.reply(n, gen, f.Call, 1500*milli, core.OrdersReply{Out: core.NotDone})
		return
	}
	cut := max(n.WorkerCut, l.cut, l.hang, l.deaf)
	if w.Now < l.mute && w.Now >= cut {
		w.Faults["commands to a mute machine"]++
	}
	if w.Now < l.deaf {
		w.Faults["commands to a one-way machine"]++
	}
	if w.Now < cut || w.Chance(0.01) {
		if d, ok := w.lateBy(cut); ok {
			w.After(d, func() { w.late(l, f) })
		}
		w.reply(n, gen, f.Call, 2500*milli, core.OrdersReply{Out: core.Unknown})
		return
	}
	w.After(w.delay(), func() {
		if l.gone {
			w.reply(n, gen, f.Call, 2*second, core.OrdersReply{Out: core.Unknown})
			return
		}
		r := l.Orders(f)
		w.logCommands(n, l, f.Token, f.Commands)
		w.changed(l)
		if w.Chance(0.01) {
			w.reply(n, gen, f.Call, 2*second, core.OrdersReply{Out: core.Unknown})
			return
		}
		w.reply(n, gen, f.Call, w.delay(), r)
	})
}

func (w *World) late(l *Live, f core.Orders) {
	if l.gone {
		return
	}
	if w.Now < l.hang {
		w.After(l.hang-w.Now+milli, func() { w.late(l, f) })
		return
	}
	if w.Now-l.renewed > l.Lease { // it notices that first when it goes on
		l.Advance(w.Now)
	}
	l.Orders(f)
}

func (w *World) logCommands(n *Node, l *Live, token core.Token, cmds []core.Command) {
	for _, c := range cmds {
		verb := [...]string{"start", "stop", "forget"}[c.Verb]
		w.Log(fmt.Sprintf("%s -> %s token %d: %s %s attempt %d", n.ID, l.ID, token, verb, c.Task, c.Attempt))
	}
}
