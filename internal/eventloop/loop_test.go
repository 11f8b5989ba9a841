package eventloop_test

import (
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

// TestTimersRunInOrder checks that timers run by due time and then in the order in
// which they were set, including a timer that is set while timers run.
func TestTimersRunInOrder(t *testing.T) {
	loop := eventloop.New()
	var ran []string
	record := func(name string) func() { return func() { ran = append(ran, name) } }
	loop.After(2*cluster.Second, record("late"))
	loop.After(cluster.Second, record("first"))
	loop.After(cluster.Second, func() {
		ran = append(ran, "second")
		loop.After(0, record("third"))
	})

	loop.Begin(cluster.Second, 0)
	loop.RunTimers()
	if want := []string{"first", "second", "third"}; !slices.Equal(ran, want) {
		t.Errorf("ran %v, want %v", ran, want)
	}
	if next, set := loop.NextWake(); !set || next != 2*cluster.Second {
		t.Errorf("next timer at %v (set: %v), want 2 s", next, set)
	}
}

// TestEveryReevaluatesInterval checks that Every determines the interval again after each
// run.
func TestEveryReevaluatesInterval(t *testing.T) {
	loop := eventloop.New()
	interval, runs := cluster.Second, 0
	loop.Every(func() cluster.Time { return interval }, func() { runs++ })
	interval = 3 * cluster.Second
	for now := cluster.Time(0); now <= 4*cluster.Second; now += cluster.Second {
		loop.Begin(now, 0)
		loop.RunTimers()
	}
	if runs != 3 { // at 0, 1 and 4 s
		t.Errorf("%d runs, want 3", runs)
	}
}

// TestTimeIsMonotonic checks that a step with an earlier time than the previous step
// does not set the time back.
func TestTimeIsMonotonic(t *testing.T) {
	loop := eventloop.New()
	loop.Begin(5*cluster.Second, 0)
	loop.Begin(3*cluster.Second, 0)
	if loop.Now() != 5*cluster.Second {
		t.Errorf("time is %v, want 5 s", loop.Now())
	}
}

// TestReplyDeliveredOnce checks that a reply is delivered once, and only to the call
// that it answers.
func TestReplyDeliveredOnce(t *testing.T) {
	loop := eventloop.New()
	var got []messages.GetReply
	call := eventloop.Call(loop, func(reply messages.GetReply) { got = append(got, reply) })
	other := eventloop.Call(loop, func(messages.ListReply) { t.Error("reply delivered to another call") })
	if call == other {
		t.Fatal("two calls share an id")
	}
	reply := messages.Reply{Call: call, Body: messages.GetReply{Outcome: messages.NotFound}}
	loop.Deliver(reply)
	loop.Deliver(reply)
	if len(got) != 1 || got[0].Outcome != messages.NotFound {
		t.Errorf("delivered %v, want one reply", got)
	}
}

// TestUnexpectedReplyTypeLogged checks that a reply of another type than the call
// expects is logged and does not reach its handler.
func TestUnexpectedReplyTypeLogged(t *testing.T) {
	loop := eventloop.New()
	call := eventloop.Call(loop, func(messages.GetReply) { t.Error("reply of another type was delivered") })
	loop.Begin(0, 0)
	loop.Deliver(messages.Reply{Call: call, Body: messages.ListReply{}})
	effects := loop.Effects()
	if len(effects) != 1 {
		t.Fatalf("effects %v, want one log line", effects)
	}
	if line, ok := effects[0].(messages.Log); !ok || line.Level != messages.LogError {
		t.Errorf("effect %v, want an error log line", effects[0])
	}
}
