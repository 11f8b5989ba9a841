package core

import (
	"slices"
	"testing"
)

// TestOnlyStops: what is sent to a machine that waits for a higher token, or
// has not acknowledged its own, holds the stops of cancelled tasks and no start.
func TestOnlyStops(t *testing.T) {
	for _, x := range []struct {
		name            string
		bumping, acked  bool
		answer, ordered []Verb
	}{
		{"in order", false, true, []Verb{Stop, Start}, []Verb{Stop, Start}},
		{"bumping", true, true, []Verb{Stop}, []Verb{Stop}},
		{"unacknowledged", false, false, []Verb{Stop, Start}, []Verb{Stop}},
	} {
		for _, byAnswer := range []bool{true, false} {
			b := newCoreHarness()
			m, a := b.running(b.job("j-1", 2))
			other := b.job("j-2", 1)
			ready := &assign{task: TaskID{Job: "j-2", Index: 0}, job: other, mach: m.id, attempt: 8, phase: aReady}
			m.addAssign(ready)
			other.setPlaced(0, ready)
			b.cancelHere("j-1", func(ReplyStatus, *JobView) {})
			m.bumping, m.acked = x.bumping, x.acked
			var cmds []Command
			want := x.ordered
			if byAnswer {
				want = x.answer
				m.pending = 9
				b.answerReport(m)
				cmds = b.out[len(b.out)-1].(Respond).Worker.Commands
			} else {
				b.pushOrders()
				for _, f := range b.out {
					if o, ok := f.(Orders); ok {
						cmds = o.Commands
					}
				}
			}
			var got []Verb
			for _, c := range cmds {
				got = append(got, c.Verb)
			}
			if !slices.Equal(got, want) || !a.stop {
				t.Errorf("%s, in an answer %v: sent %v, want %v", x.name, byAnswer, got, want)
			}
		}
	}
}

// TestUnsentStopAgain: a stop whose call was not carried out, or has no answer,
// is sent again by the next call; one that arrived is not.
func TestUnsentStopAgain(t *testing.T) {
	for out, again := range map[Outcome]bool{NotDone: true, Unknown: true, OK: false} {
		b := newCoreHarness()
		m, _ := b.running(b.job("j-1", 1))
		b.cancelHere("j-1", func(ReplyStatus, *JobView) {})
		b.pushOrders()
		o := b.out[len(b.out)-1].(Orders)
		b.out = nil
		r := Report{Machine: m.id, Addr: m.addr, Session: 1, Stamp: 2, Token: m.token, Notice: -1, Tasks: []TaskReport{{Task: TaskID{Job: "j-1", Index: 0}, Attempt: 7, State: Running}}}
		b.calls[o.Call](OrdersReply{Out: out, Report: r})
		b.orderSoon(m)
		b.out = nil
		b.pushOrders()
		if sent := len(b.out) > 0; sent != again {
			t.Errorf("after %v the stop is sent again: %v", out, sent)
		}
	}
}
