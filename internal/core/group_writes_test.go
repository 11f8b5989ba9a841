package core

import (
	"testing"

	"stairrelay/internal/grouprecord"
)

// TestWriteQueuedInBuild: what a write's building queues at its own priority is
// not lost. A group whose write was lost so stood still for good.
func TestWriteQueuedInBuild(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []NodeID{"n0"}, StoreRPS: 100, WriteRPS: 100, ValueBytes: 4096, TxnOps: 12, Tuning: DefaultTuning()})
	built := 0
	second := &write{part: NoPart, keys: []string{"b"}, build: func(string) ([]TxnOp, []Mark) {
		built++
		return []TxnOp{{"b", []byte(`{}`)}}, []Mark{0}
	}}
	c.writer.add(prioStart, &write{part: NoPart, keys: []string{"a"}, build: func(string) ([]TxnOp, []Mark) {
		c.writer.add(prioStart, second)
		return nil, nil // no longer wanted
	}})
	c.writer.pump()
	c.writer.pump()
	if built != 1 {
		t.Errorf("the write queued meanwhile was built %d times", built)
	}
}

// TestStaleGroupRead: a part's reading may be older than another's, held here
// too, taking a machine and joining its group with others. The later write
// counts; there are never two pictures of one machine.
func TestStaleGroupRead(t *testing.T) {
	for mark, want := range map[Mark]Part{40: 0, 60: 1} {
		c := New(Config{Self: "n0", Nodes: []NodeID{"n0", "n1"}, ValueBytes: 4096, TxnOps: 12, Tuning: DefaultTuning()})
		for _, p := range c.parts {
			p.held, p.claim = true, 30
		}
		l := grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "s", Zone: "a"}}
		c.addMachine(c.newGroup(c.parts[0], "joined", 50), l, 50) // taken at revision 50
		c.learnGroup(KV{Key: "groups/old", Value: grouprecord.Encode(grouprecord.Record{Part: 1, Machines: []grouprecord.Machine{l}, Nonce: "n"}), Mark: mark}, c.parts[1])
		m := c.machines["m-1"]
		if m == nil || m.part != want || len(c.parts[0].machines)+len(c.parts[1].machines) != 1 {
			t.Errorf("read at %d: the parts hold %d and %d machines, want one in part %d", mark, len(c.parts[0].machines), len(c.parts[1].machines), want)
		}
	}
}
