// Package engine runs a controller's state machine: one goroutine passes events to it,
// one at a time, and hands its effects to those that carry them out.
package engine

import (
	"context"
	"log/slog"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
	"stairrelay/internal/messages"
)

// inboxSize is the number of events that may wait before their senders have to.
const inboxSize = 256

// Requester passes a request to the controller and waits for the answer. It returns
// false when the request's context ends first.
type Requester interface {
	Request(ctx context.Context, event func(messages.RequestID) messages.Event) (messages.Respond, bool)
}

// ReplyFunc passes the reply to an outgoing call to the controller.
type ReplyFunc func(call messages.CallID, body messages.ReplyBody)

// Engine runs the state machine of a controller. Request and DeliverReply may be called
// from any goroutine; everything else belongs to the goroutine of Run.
type Engine struct {
	controller      *controller.Controller
	inbox           chan queuedEvent
	stopped         chan struct{} // closed when Run returns
	log             *slog.Logger
	executors       Executors
	startTime       time.Time // the zero of cluster.Time
	pendingRequests map[messages.RequestID]chan<- messages.Respond
	lastRequestID   messages.RequestID
	load            loadMeter
	usage           usageMeter
}

// queuedEvent is an event that waits in the inbox. It is made when its number is known.
type queuedEvent struct {
	makeEvent  func(messages.RequestID) messages.Event
	response   chan<- messages.Respond // nil: nobody waits for an answer
	enqueuedAt time.Time
}

// New returns an engine with a new state machine. cpuShare is the share of a processor
// core that the process may use; 0 means no limit. Run starts the engine.
func New(config controller.Config, cpuShare float64, log *slog.Logger) *Engine {
	return &Engine{
		controller:      controller.New(config),
		inbox:           make(chan queuedEvent, inboxSize),
		stopped:         make(chan struct{}),
		log:             log,
		startTime:       time.Now(),
		pendingRequests: map[messages.RequestID]chan<- messages.Respond{},
		load:            loadMeter{cpuShare: cpuShare},
	}
}

// Request passes a request to the controller and waits for the answer. It returns false
// when ctx ends or the engine stops first.
func (e *Engine) Request(ctx context.Context, event func(messages.RequestID) messages.Event) (messages.Respond, bool) {
	// There is room for the answer, so that the engine never waits for a requester
	// that has given up.
	response := make(chan messages.Respond, 1)
	select {
	case e.inbox <- queuedEvent{makeEvent: event, response: response, enqueuedAt: time.Now()}:
	case <-ctx.Done():
		return messages.Respond{}, false
	case <-e.stopped:
		return messages.Respond{}, false
	}
	select {
	case answer := <-response:
		return answer, true
	case <-ctx.Done():
		return messages.Respond{}, false
	case <-e.stopped:
		return messages.Respond{}, false
	}
}

// DeliverReply passes the reply to an outgoing call to the controller. It waits while
// the inbox is full, and drops the reply once the engine has stopped.
func (e *Engine) DeliverReply(call messages.CallID, body messages.ReplyBody) {
	makeEvent := func(messages.RequestID) messages.Event { return messages.Reply{Call: call, Body: body} }
	select {
	case e.inbox <- queuedEvent{makeEvent: makeEvent, enqueuedAt: time.Now()}:
	case <-e.stopped:
	}
}

// Run passes events to the controller and hands its effects to the executors until ctx
// ends. It may be called once.
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
			e.load.recordLag(time.Duration(e.now() - wakeAt))
			e.step(messages.Tick{})
		case queued := <-e.inbox:
			e.load.recordLag(time.Since(queued.enqueuedAt))
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

// register numbers an event and records who waits for its answer.
func (e *Engine) register(queued queuedEvent) messages.Event {
	e.lastRequestID++
	if queued.response != nil {
		e.pendingRequests[e.lastRequestID] = queued.response
	}
	return queued.makeEvent(e.lastRequestID)
}

// step passes an event to the controller and has its effects carried out.
func (e *Engine) step(event messages.Event) {
	e.usage.steps++
	wallTime := cluster.WallTime(time.Now().UnixMilli())
	for _, effect := range e.controller.Step(e.now(), wallTime, event) {
		e.execute(effect)
	}
}

// now returns the time since the engine was made.
func (e *Engine) now() cluster.Time { return cluster.Time(time.Since(e.startTime)) }
