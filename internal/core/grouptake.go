package core

import (
	"slices"
	"strings"

	"stairrelay/internal/grouprecord"
)

// groupTake moves a group of idle machines to a part held here, by a conditional
// write on a record that lists no task. The revision of this write is the
// machines' token: it lies above all earlier ones.
//
// Where the part that offers the group is held here too, the group stays in its
// books until the write is done, and counts as being written until then.
type groupTake struct {
	core     *Core
	part     *part
	claim    Epoch
	id       string
	mark     Mark // of the record when it was offered
	from     Part
	machines []grouprecord.Machine
	offered  *group // of a part held here; nil: another controller's
	size     int    // of the record as last built
}

// takeGroup takes a group that was offered to a part at a revision of its record.
func (c *Core) takeGroup(p *part, key string, mark Mark) {
	take := &groupTake{core: c, part: p, claim: p.claim, id: strings.TrimPrefix(key, "groups/"), mark: mark}
	c.get(key, func(r GetReply) {
		if r.Out == OK && r.KV.Mark == mark && p.heldUnder(take.claim) {
			take.begin(r.KV.Value)
		}
	})
}

func (t *groupTake) key() string { return "groups/" + t.id }

// begin queues the write if the record lists machines that may be taken.
func (t *groupTake) begin(value []byte) {
	c := t.core
	record, err := grouprecord.Decode(value)
	if err != nil || record.Part == t.part.id || len(record.Machines) == 0 {
		return
	}
	t.from, t.machines = record.Part, record.Machines
	if slices.ContainsFunc(t.machines, inUse) || !t.lock() {
		return
	}
	c.writer.add(prioRent, &write{
		part:     t.part.id,
		keys:     []string{t.key()},
		build:    t.build,
		ok:       t.stored,
		conflict: t.refused,
		lost:     t.unlock,
	})
}

// inUse tells whether a machine must stay with its part.
func inUse(m grouprecord.Machine) bool { return len(m.Tasks) > 0 || m.Returned }

// lock marks a group that is held here as being written; false: it can't be
// taken any more.
func (t *groupTake) lock() bool {
	g := t.core.groups[t.id]
	if g == nil {
		return true
	}
	if g.writing || g.mark != t.mark || g.offer == nil {
		return false
	}
	for _, m := range g.machines {
		if len(m.assigns) > 0 {
			return false
		}
	}
	t.offered = g
	g.writing, g.sent, g.again = true, true, prios
	return true
}

// unlock leaves the group with the part that offered it.
func (t *groupTake) unlock() {
	if t.offered != nil {
		t.offered.endWrite()
		t.core.writeAgain(t.offered)
	}
}

func (t *groupTake) build(nonce string) ([]TxnOp, []Mark) {
	value := grouprecord.Encode(grouprecord.Record{Part: t.part.id, Machines: t.machines, Nonce: nonce})
	t.size = len(value)
	return []TxnOp{{t.key(), value}}, []Mark{t.mark}
}

// stored follows the write: the machines are the part's now.
func (t *groupTake) stored(e Epoch) {
	c, p := t.core, t.part
	if g := t.offered; g != nil && c.groups[t.id] == g {
		c.groupMoved(g, p.id)
	}
	if !p.heldUnder(t.claim) || c.groups[t.id] != nil {
		return
	}
	g := c.newGroup(p, t.id, Mark(e))
	g.size = t.size
	for _, line := range t.machines {
		if c.machines[line.ID] == nil {
			c.addMachine(g, line, Token(e))
		}
	}
	c.logf(LogDebug, "took idle machines", "group", t.id, "machines", len(t.machines), "part", int(p.id), "from", int(t.from))
	c.placement.request()
	c.machineSweep()
}

// refused follows a conflict with another writer of the record.
func (t *groupTake) refused() {
	g := t.offered
	if g == nil {
		return
	}
	g.endWrite()
	if t.core.groups[t.id] == g {
		t.core.checkGroup(g)
	}
}
