package eventloop_test

import (
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

// TestTimersRunInOrder shows that timers run by their time, and those of one
// time as they were set, also one that a timer sets for the same time.
func TestTimersRunInOrder(t *testing.T) {
	loop := eventloop.New()
	var ran []string
	note := func(name string) func() { return func() { ran = append(ran, name) } }
	loop.After(2*cluster.Second, note("late"))
	loop.After(cluster.Second, note("first"))
	loop.After(cluster.Second, func() {
		ran = append(ran, "second")
		loop.After(0, note("third"))
	})

	loop.Begin(cluster.Second, 0)
	loop.RunTimers()
	if want := []string{"first", "second", "third"}; !slices.Equal(ran, want) {
		t.Errorf("ran %v, want %v", ran, want)
	}
	if next, set := loop.NextWake(); !set || next != 2*cluster.Second {
		t.Errorf("next wake %v, %v", next, set)
	}
}

// TestEveryAsksForItsInterval shows that the interval is asked for after each run.
func TestEveryAsksForItsInterval(t *testing.T) {
	loop := eventloop.New()
	interval, runs := cluster.Second, 0
	loop.Every(func() cluster.Time { return interval }, func() { runs++ })
	interval = 3 * cluster.Second
	for now := cluster.Time(0); now <= 4*cluster.Second; now += cluster.Second {
		loop.Begin(now, 0)
		loop.RunTimers()
	}
	if runs != 3 { // at 0, 1 and 4 s
		t.Errorf("%d runs", runs)
	}
}

// TestTimeNeverGoesBack shows that an earlier time than the last step's is not taken.
func TestTimeNeverGoesBack(t *testing.T) {
	loop := eventloop.New()
	loop.Begin(5*cluster.Second, 0)
	loop.Begin(3*cluster.Second, 0)
	if loop.Now() != 5*cluster.Second {
		t.Errorf("now is %v", loop.Now())
	}
}

// TestReplyReachesItsCallOnce shows that a reply is delivered typed, once, and
// only to the call that it answers.
func TestReplyReachesItsCallOnce(t *testing.T) {
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
		t.Errorf("delivered %v", got)
	}
}

// TestReplyOfTheWrongTypeIsLogged shows that a reply of another type than the
// call's never reaches it.
func TestReplyOfTheWrongTypeIsLogged(t *testing.T) {
	loop := eventloop.New()
	call := eventloop.Call(loop, func(messages.GetReply) { t.Error("delivered") })
	loop.Begin(0, 0)
	loop.Deliver(messages.Reply{Call: call, Body: messages.ListReply{}})
	effects := loop.Effects()
	if len(effects) != 1 {
		t.Fatalf("effects: %v", effects)
	}
	if line, ok := effects[0].(messages.Log); !ok || line.Level != messages.LogError {
		t.Errorf("effect %v", effects[0])
	}
}
