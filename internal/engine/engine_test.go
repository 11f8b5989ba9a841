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

// testTimeout limits how long a test waits for an expected event.
const testTimeout = 5 * time.Second

// cpuQuota is the CPU quota of the engines under test, in cores.
const cpuQuota = 0.1

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
	return New(config, cpuQuota, slog.New(slog.NewTextHandler(&output, nil))), &output
}

// startEngine runs an engine whose executors ignore all effects. The returned function
// stops it and waits until Run has returned.
func startEngine(t *testing.T, engine *Engine) (stop func()) {
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

func newHealthCheck(id messages.RequestID) messages.Event { return messages.Health{Request: id} }

// TestRequestAnswered checks that each request gets the response with its own request ID.
func TestRequestAnswered(t *testing.T) {
	engine, _ := newEngine(t)
	startEngine(t, engine)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for want := messages.RequestID(1); want <= 2; want++ {
		response, ok := engine.Request(ctx, newHealthCheck)
		if !ok || response.Request != want {
			t.Errorf("response %+v, %v; want a response to request %d", response, ok, want)
		}
	}
}

// TestRequestContextCancelled checks that Request returns if its context is cancelled
// before the engine responds.
func TestRequestContextCancelled(t *testing.T) {
	engine, _ := newEngine(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if response, ok := engine.Request(ctx, newHealthCheck); ok {
		t.Errorf("got %+v from an engine that is not running", response)
	}
}

// TestStoppedEngine checks that calls to a stopped engine do not block, even if its inbox
// is full.
func TestStoppedEngine(t *testing.T) {
	engine, _ := newEngine(t)
	startEngine(t, engine)()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * inboxSize {
			engine.DeliverReply(1, nil)
		}
		if response, ok := engine.Request(context.Background(), newHealthCheck); ok {
			t.Errorf("got %+v from a stopped engine", response)
		}
	}()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("calls to a stopped engine block")
	}
}

// TestRespondOnce checks that a second response to a request is dropped. Sending it would
// block the engine.
func TestRespondOnce(t *testing.T) {
	engine, _ := newEngine(t)
	responses := make(chan messages.Respond, 1)
	engine.register(queuedEvent{makeEvent: newHealthCheck, responses: responses})
	engine.respond(messages.Respond{Request: 1, RetryAfter: 1})
	engine.respond(messages.Respond{Request: 1, RetryAfter: 2})
	if response := <-responses; response.RetryAfter != 1 {
		t.Errorf("response %+v, want the first", response)
	}
	if len(engine.pendingRequests) != 0 {
		t.Errorf("%d requests are pending", len(engine.pendingRequests))
	}
}

// TestLogLines checks the level of log lines, and that resource usage is appended to the
// stats line only.
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
			t.Errorf("line %q contains resource usage", output)
		}
	}
}
