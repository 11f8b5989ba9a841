// Package engine runs a controller's state machine. A single goroutine passes events to
// the state machine, one at a time, and dispatches the effects that it returns.
package engine

import (
	"context"
	"log/slog"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
	"stairrelay/internal/messages"
)

// inboxSize is the number of queued events at which senders start to block.
const inboxSize = 256

// Requester passes a request to the controller and waits for the response. It returns
// false if there is no response before the context ends.
type Requester interface {
	Request(ctx context.Context, makeEvent func(messages.RequestID) messages.Event) (messages.Respond, bool)
}

// ReplyFunc delivers the reply to one of the controller's outgoing calls.
type ReplyFunc func(call messages.CallID, body messages.ReplyBody)

// Engine runs the state machine of a controller. Request and DeliverReply are safe for
// concurrent use. All other state is owned by the goroutine that calls Run.
type Engine struct {
	controller      *controller.Controller
	inbox           chan queuedEvent
	stopped         chan struct{} // closed when Run returns
	log             *slog.Logger
	executors       Executors
	startTime       time.Time // corresponds to cluster.Time 0
	pendingRequests map[messages.RequestID]chan<- messages.Respond
	lastRequestID   messages.RequestID
	load            loadMeter
	usage           usageMeter
}

// queuedEvent is an entry of the inbox. Its event is created when the entry is dequeued,
// because the request ID is not known before.
type queuedEvent struct {
	makeEvent  func(messages.RequestID) messages.Event
	responses  chan<- messages.Respond // nil if no response is expected
	enqueuedAt time.Time
}

// New returns an engine with a new state machine. cpuQuota is the number of CPU cores that
// the process may use, which may be a fraction; 0 means no limit. Run starts the engine.
func New(config controller.Config, cpuQuota float64, log *slog.Logger) *Engine {
	return &Engine{
		controller:      controller.New(config),
		inbox:           make(chan queuedEvent, inboxSize),
		stopped:         make(chan struct{}),
		log:             log,
		startTime:       time.Now(),
		pendingRequests: map[messages.RequestID]chan<- messages.Respond{},
		load:            loadMeter{cpuQuota: cpuQuota},
	}
}

// Request passes a request to the controller and waits for the response. It returns false
// if ctx ends or the engine stops first.
func (e *Engine) Request(ctx context.Context, makeEvent func(messages.RequestID) messages.Event) (messages.Respond, bool) {
	// The channel is buffered so that the engine never blocks on a caller that is no
	// longer waiting.
	responses := make(chan messages.Respond, 1)
	select {
	case e.inbox <- queuedEvent{makeEvent: makeEvent, responses: responses, enqueuedAt: time.Now()}:
	case <-ctx.Done():
		return messages.Respond{}, false
	case <-e.stopped:
		return messages.Respond{}, false
	}
	select {
	case response := <-responses:
		return response, true
	case <-ctx.Done():
		return messages.Respond{}, false
	case <-e.stopped:
		return messages.Respond{}, false
	}
}

// DeliverReply queues the reply to one of the controller's outgoing calls. It blocks while
// the inbox is full, and drops the reply if the engine has stopped.
func (e *Engine) DeliverReply(call messages.CallID, body messages.ReplyBody) {
	makeEvent := func(messages.RequestID) messages.Event { return messages.Reply{Call: call, Body: body} }
	select {
	case e.inbox <- queuedEvent{makeEvent: makeEvent, enqueuedAt: time.Now()}:
	case <-e.stopped:
	}
}

// Run processes events and passes the resulting effects to the executors until ctx ends.
// It must be called only once.
func (e *Engine) Run(ctx context.Context, executors Executors) {
	defer close(e.stopped)
	e.executors = executors
	e.load.windowStart = time.Now()
	wakeAt := e.now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			e.load.recordDelay(time.Duration(e.now() - wakeAt))
			e.step(messages.Tick{})
		case queued := <-e.inbox:
			e.load.recordDelay(time.Since(queued.enqueuedAt))
			e.step(e.register(queued))
		}
		if load, shouldReport := e.load.measure(); shouldReport {
			e.step(load)
		}
		if wake, wanted := e.controller.NextWake(); wanted {
			wakeAt = max(wake, e.now())
			timer.Reset(time.Duration(wakeAt - e.now()))
		}
	}
}

// register creates the event of an inbox entry with a new request ID, and records the
// channel for the response to it.
func (e *Engine) register(queued queuedEvent) messages.Event {
	e.lastRequestID++
	if queued.responses != nil {
		e.pendingRequests[e.lastRequestID] = queued.responses
	}
	return queued.makeEvent(e.lastRequestID)
}

// step passes an event to the controller and executes the resulting effects.
func (e *Engine) step(event messages.Event) {
	e.usage.steps++
	wallTime := cluster.WallTime(time.Now().UnixMilli())
	for _, effect := range e.controller.Step(e.now(), wallTime, event) {
		e.execute(effect)
	}
}

// now returns the time since the engine was created.
func (e *Engine) now() cluster.Time { return cluster.Time(time.Since(e.startTime)) }
