package core

import (
	"slices"
	"testing"

	"stairrelay/internal/grouprecord"
)

// stallsLogged lists what the log says of parts without progress.
func stallsLogged(effects []Effect) []string {
	var whys []string
	for _, effect := range effects {
		if line, ok := effect.(Log); ok && line.Text == "part makes no progress" {
			whys = append(whys, line.Args[3].(string))
		}
	}
	return whys
}

// checkpoints lets so many checkpoints pass with nothing else happening.
func (b *coreHarness) checkpoints(n int) []string {
	b.out = nil
	for range n {
		b.now += 2 * second
		for _, id := range []NodeID{"n1", "n2"} {
			b.peers[id].pingAt = b.now
		}
		b.watchProgress()
	}
	return stallsLogged(b.out)
}

// TestStalledPartIsLogged: operators are told of a part that nobody serves, and
// of one whose holder gets nowhere with it, and of no other.
func TestStalledPartIsLogged(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(*coreHarness)
		want    string
	}{
		{"all parts idle", func(*coreHarness) {}, ""},
		{"nobody holds it", func(b *coreHarness) {
			b.parts[0].held, b.parts[0].holder = false, "n1"
		}, "nobody serves it"},
		{"another holds it", func(b *coreHarness) {
			b.parts[0].held, b.parts[0].holder = false, "n1"
			b.peers["n1"].ping.Parts = []PartTerm{{Part: 0, Term: 2}}
		}, ""},
		{"idle machines beside waiting tasks", func(b *coreHarness) {
			b.running(b.job("j-1", 1))
			b.job("j-2", 2)
		}, "waiting tasks fit on its machines and none is started"},
		{"waiting tasks that fit nowhere", func(b *coreHarness) {
			m, _ := b.running(b.job("j-1", 1))
			m.draining = true
			b.job("j-2", 2)
		}, ""},
		{"waiting tasks that may not go to the zone", func(b *coreHarness) {
			b.running(b.job("j-1", 1))
			far := b.addMachine(b.newGroup(b.parts[0], "far", 31), grouprecord.Machine{ID: "m-9", Kind: grouprecord.Kind{Type: "small", Zone: "b"}}, 31)
			j := b.job("j-2", 2)
			j.spec.SamePlace = true
			j.setPlaced(0, &assign{task: TaskID{Job: "j-2", Index: 0}, job: j, mach: far.id, phase: aSeen})
		}, ""},
		{"a record that is never stored", func(b *coreHarness) {
			m, _ := b.running(b.job("j-1", 1))
			m.group.writing = true
		}, "its writes are not stored"},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newCoreHarness()
			test.prepare(b)
			beat := func() { // the machine goes on reporting
				for _, m := range b.machines {
					m.heard = b.now + 2*second
				}
			}
			var logged []string
			for range stallCheckpoints {
				beat()
				logged = append(logged, b.checkpoints(1)...)
			}
			want := []string{test.want}
			if test.want == "" {
				want = nil
			}
			if !slices.Equal(logged, want) {
				t.Errorf("logged %q, want %q", logged, want)
			}
			if stalled := b.stalledParts(); stalled != len(want) {
				t.Errorf("%d parts stalled, want %d", stalled, len(want))
			}
		})
	}
}

// TestProgressEndsStall: one stored transaction, or one planned start, is
// progress.
func TestProgressEndsStall(t *testing.T) {
	b := newCoreHarness()
	b.enlist(b.parts[0], []grouprecord.Machine{{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a"}, Address: "m-1"}}, func() {})
	b.play(100 * milli)
	m := b.machines["m-1"]
	m.group.writing = true
	b.checkpoints(stallCheckpoints - 1)
	b.parts[0].storedTxns++
	if logged := b.checkpoints(stallCheckpoints - 1); len(logged) > 0 {
		t.Errorf("logged %q beside progress", logged)
	}
}
