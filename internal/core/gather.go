package core

import "strconv"

// condsPerOp is how many conditions the protocol allows per change that a
// transaction may make.
const condsPerOp = 4

const (
	// maxGatheredBytes is how much a transaction may hold before nothing is added.
	// The protocol takes 64 KiB.
	maxGatheredBytes = 40_000
	// opOverhead is what a change takes beside its key and value, roughly.
	opOverhead = 80
)

// gathering is a transaction while writes are added to it, most urgent first.
//
// It writes no key twice and none that another transaction in flight writes,
// holds writes of one part at most, and stays within the limits of the protocol
// and what is left of the write rate.
type gathering struct {
	writer *writer
	txn    *txn
	budget float64 // puts that may still be spent
	bytes  int
	used   map[string]bool
}

// gather makes a transaction of the writes whose turn has come, or returns nil.
func (w *writer) gather() *txn {
	now := w.core.now
	w.puts.Refill(now)
	w.reqs.Refill(now)
	if w.depth() == 0 {
		return nil
	}
	if w.reqs.Level() < 1 {
		w.wakeIn(second / 20)
		return nil
	}
	w.orderStarts()
	w.advanceLazy()
	g := w.newGathering()
	for prio := 0; prio < prios; prio++ {
		// Checkpoint writes leave some of the budget to what may come next.
		if prio == prioLazy && g.budget < w.puts.Capacity()/3 {
			if len(w.queues[prio]) > 0 {
				w.wakeIn(second / 10)
			}
			break
		}
		queue := w.queues[prio]
		w.queues[prio] = nil // what a build adds comes behind the rest
		rest := g.takeFrom(queue, prio)
		w.queues[prio] = append(rest, w.queues[prio]...)
	}
	return g.finish()
}

// advanceLazy puts a checkpoint write before the starts when its turn has come.
func (w *writer) advanceLazy() {
	lazy := w.queues[prioLazy]
	if w.credit < 1 || len(lazy) == 0 {
		return
	}
	w.credit = 0
	w.queues[prioLazy] = lazy[1:]
	w.queues[prioStart] = append([]*write{lazy[0]}, w.queues[prioStart]...)
}

func (w *writer) newGathering() *gathering {
	w.seq++
	nonce := w.core.cfg.Boot + "-" + strconv.Itoa(w.seq)
	return &gathering{
		writer: w,
		txn:    &txn{nonce: nonce, part: NoPart, prio: prios},
		budget: w.puts.Level(),
		used:   map[string]bool{},
	}
}

// takeFrom adds what it can of a queue, and returns the rest in its order.
func (g *gathering) takeFrom(queue []*write, prio int) []*write {
	var rest []*write
	for i, x := range queue {
		if g.closedTo(prio) {
			return append(rest, queue[i:]...)
		}
		if float64(len(x.keys)) > g.budget {
			g.writer.wakeIn(second / 10)
			return append(rest, queue[i:]...)
		}
		if g.clashes(x) || g.bytes > maxGatheredBytes {
			rest = append(rest, x)
			continue
		}
		g.add(x, prio)
	}
	return rest
}

// closedTo tells whether nothing of a priority may be added any more: the
// transaction is full, or what it holds is so much more urgent that it goes
// without.
func (g *gathering) closedTo(prio int) bool {
	if len(g.txn.then) >= g.writer.core.cfg.TxnOps {
		return true
	}
	return g.txn.prio != prios && prio > max(g.txn.prio, prioAccept)+1
}

// clashes tells whether a write can't be in the same transaction as those that
// it has already, or not yet.
func (g *gathering) clashes(x *write) bool {
	t, ops := g.txn, g.writer.core.cfg.TxnOps
	switch {
	case x.part != NoPart && t.part != NoPart && x.part != t.part:
		return true
	case len(t.then)+len(x.keys) > ops:
		return true
	case len(t.when)+len(x.keys)+max(x.mostAlso, len(x.also))+1 > condsPerOp*ops:
		return true
	case len(t.writes) > 0 && (x.alone || t.writes[0].alone):
		return true
	}
	for _, key := range x.keys {
		if g.writer.busy[key] || g.used[key] {
			return true
		}
	}
	return false
}

// add builds a write and adds it, unless its part's claim was lost or it is no
// longer wanted.
func (g *gathering) add(x *write, prio int) {
	t := g.txn
	// Without the claim there is no mark of ours to make the write
	// conditional on: the one in the books is the new holder's.
	if x.part != NoPart && prio != prioClaim && !g.writer.core.parts[x.part].held {
		if x.lost != nil {
			x.lost()
		}
		return
	}
	ops, marks := x.build(t.nonce)
	if ops == nil {
		return
	}
	for i, op := range ops {
		t.when = append(t.when, Cond{op.Key, marks[i]})
		g.used[op.Key] = true
		g.bytes += len(op.Value) + len(op.Key) + opOverhead
	}
	t.then = append(t.then, ops...)
	t.when = append(t.when, x.also...)
	t.kinds[prio] += len(ops)
	t.writes = append(t.writes, x)
	g.budget -= float64(len(ops))
	if x.part != NoPart {
		t.part = x.part
	}
	t.prio = min(t.prio, prio)
}

// finish makes the transaction conditional on its part's claim and marks its
// keys as in flight; nil: there is nothing in it.
func (g *gathering) finish() *txn {
	t := g.txn
	if len(t.writes) == 0 {
		return nil
	}
	if t.part != NoPart && t.prio != prioClaim {
		p := g.writer.core.parts[t.part]
		t.pmark = p.mark
		t.when = append(t.when, Cond{p.key(), p.mark})
	}
	for key := range g.used {
		g.writer.busy[key] = true
	}
	return t
}
