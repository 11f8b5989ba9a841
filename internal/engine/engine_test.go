package engine

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
	"stairrelay/internal/messages"
)

// patience is how long a test waits for what has to happen.
const patience = 5 * time.Second

// cpuShare is the share of a processor core that the engines of the tests may use.
const cpuShare = 0.1

// newEngine returns an engine for a controller without peers that logs to a buffer.
func newEngine(t *testing.T) (*Engine, *bytes.Buffer) {
	t.Helper()
	var output bytes.Buffer
	config := controller.Config{
		Self:          "n0",
		Nodes:         []cluster.NodeID{"n0"},
		MaxValueBytes: 4096,
		MaxTxnOps:     12,
		Tuning:        controller.DefaultTuning(),
	}
	return New(config, cpuShare, slog.New(slog.NewTextHandler(&output, nil))), &output
}

// run runs an engine, all of whose executors do nothing, until the returned function is
// called, which waits for its end.
func run(t *testing.T, engine *Engine) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ignore := func(messages.Effect) {}
	go engine.Run(ctx, Executors{
		Store:   ignore,
		Cloud:   ignore,
		Workers: ignore,
		Peers:   func(messages.PeerCall) {},
	})
	stop = func() {
		cancel()
		<-engine.stopped
	}
	t.Cleanup(stop)
	return stop
}

func health(id messages.RequestID) messages.Event { return messages.Health{Request: id} }

func TestRequestAnswered(t *testing.T) {
	engine, _ := newEngine(t)
	run(t, engine)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for want := messages.RequestID(1); want <= 2; want++ {
		answer, ok := engine.Request(ctx, health)
		if !ok || answer.Request != want {
			t.Errorf("answer %+v, %v; want one to request %d", answer, ok, want)
		}
	}
}

// TestRequestGivenUp checks that a requester whose context has ended does not wait.
func TestRequestGivenUp(t *testing.T) {
	engine, _ := newEngine(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if answer, ok := engine.Request(ctx, health); ok {
		t.Errorf("answered %+v by an engine that does not run", answer)
	}
}

// TestStopped checks that nobody waits for an engine that has stopped, however many
// events are left in its inbox.
func TestStopped(t *testing.T) {
	engine, _ := newEngine(t)
	run(t, engine)()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * inboxSize {
			engine.DeliverReply(1, nil)
		}
		if answer, ok := engine.Request(context.Background(), health); ok {
			t.Errorf("answered %+v by an engine that has stopped", answer)
		}
	}()
	select {
	case <-done:
	case <-time.After(patience):
		t.Fatal("callers wait for an engine that has stopped")
	}
}

// TestRespondOnce checks that a second answer to a request is dropped: its requester
// reads only one, and the engine must not wait for it.
func TestRespondOnce(t *testing.T) {
	engine, _ := newEngine(t)
	response := make(chan messages.Respond, 1)
	engine.register(queuedEvent{makeEvent: health, response: response})
	engine.respond(messages.Respond{Request: 1, RetryAfter: 1})
	engine.respond(messages.Respond{Request: 1, RetryAfter: 2})
	if answer := <-response; answer.RetryAfter != 1 {
		t.Errorf("answer %+v, want the first", answer)
	}
	if len(engine.pendingRequests) != 0 {
		t.Errorf("%d requests are pending", len(engine.pendingRequests))
	}
}

// TestLogLines checks the level of the controller's lines, and that the usage of the
// process is added to the stats line only.
func TestLogLines(t *testing.T) {
	for _, test := range []struct {
		line         messages.Log
		want         []string
		withoutUsage bool
	}{
		{messages.Log{Level: messages.LogInfo, Message: "stats"}, []string{"level=INFO", "cpu_ms=", "memory_kb="}, false},
		{messages.Log{Level: messages.LogInfo, Message: "ready"}, []string{"level=INFO", "msg=ready"}, true},
		{messages.Log{Level: messages.LogError, Message: "bad", Args: []any{"shard", 3}}, []string{"level=ERROR", "shard=3"}, true},
	} {
		engine, output := newEngine(t)
		engine.execute(test.line)
		for _, want := range test.want {
			if !strings.Contains(output.String(), want) {
				t.Errorf("line %q does not contain %q", output, want)
			}
		}
		if test.withoutUsage && strings.Contains(output.String(), "cpu_ms=") {
			t.Errorf("line %q contains the usage", output)
		}
	}
}
