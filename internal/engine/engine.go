// Package engine is the one goroutine that owns the core: it feeds it events
// and hands its effects to those that carry them out.
package engine

import (
	"context"
	"log/slog"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"

	"stairrelay/internal/controller"
)

// inboxSize is the number of events that may wait before their senders do.
const inboxSize = 256

// Requester hands a request to the core and waits for its answer; false when the
// context ended first.
type Requester interface {
	Request(ctx context.Context, event func(messages.RequestID) messages.Event) (messages.Respond, bool)
}

// ReplyFunc hands an outgoing call's reply to the core.
type ReplyFunc func(call messages.CallID, body any)

// Executors carry out effects. They must not block.
type Executors struct {
	Store   func(messages.Effect)
	Cloud   func(messages.Effect)
	Workers func(messages.Effect)
	Peers   func(messages.PeerCall)
}

// Engine runs a core.
type Engine struct {
	controller      *controller.Controller
	inbox           chan queuedEvent
	log             *slog.Logger
	executors       Executors
	startTime       time.Time
	pendingRequests map[messages.RequestID]chan messages.Respond
	lastRequestID   messages.RequestID
	load            loadMeter
	usage           usageMeter
}

// queuedEvent is an event on its way to the core.
type queuedEvent struct {
	makeEvent  func(messages.RequestID) messages.Event
	response   chan messages.Respond // nil: nobody waits
	enqueuedAt time.Time
}

// New makes an engine for a process that may use a share of a core; 0: not
// limited. Run starts it.
func New(config controller.Config, coreShare float64, log *slog.Logger) *Engine {
	return &Engine{
		controller:      controller.New(config),
		inbox:           make(chan queuedEvent, inboxSize),
		log:             log,
		startTime:       time.Now(),
		pendingRequests: map[messages.RequestID]chan messages.Respond{},
		load:            loadMeter{cpuShare: coreShare},
	}
}

// Request hands a request to the core and waits for its answer; false when ctx
// ended first.
func (e *Engine) Request(ctx context.Context, event func(messages.RequestID) messages.Event) (messages.Respond, bool) {
	answer := make(chan messages.Respond, 1)
	select {
	case e.inbox <- queuedEvent{makeEvent: event, response: answer, enqueuedAt: time.Now()}:
	case <-ctx.Done():
		return messages.Respond{}, false
	}
	select {
	case respond := <-answer:
		return respond, true
	case <-ctx.Done():
		return messages.Respond{}, false
	}
}

// DeliverReply hands an outgoing call's reply to the core.
func (e *Engine) DeliverReply(call messages.CallID, body any) {
	reply := func(messages.RequestID) messages.Event { return messages.Reply{Call: call, Body: body} }
	e.inbox <- queuedEvent{makeEvent: reply, enqueuedAt: time.Now()}
}

// Run owns the core until ctx ends.
func (e *Engine) Run(ctx context.Context, actors Executors) {
	e.executors = actors
	e.load.windowStart = time.Now()
	due := e.now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			e.load.recordLag(time.Duration(e.now() - due))
			e.step(messages.Tick{})
		case m := <-e.inbox:
			e.load.recordLag(time.Since(m.enqueuedAt))
			e.step(e.assignRequestID(m))
		}
		if load, worthTelling := e.load.measure(); worthTelling {
			e.step(load)
		}
		if wake, wanted := e.controller.NextWake(); wanted {
			due = max(wake, e.now())
			timer.Reset(time.Duration(due - e.now()))
		}
	}
}

// assignRequestID numbers a message and notes who waits for its answer.
func (e *Engine) assignRequestID(m queuedEvent) messages.Event {
	e.lastRequestID++
	if m.response != nil {
		e.pendingRequests[e.lastRequestID] = m.response
	}
	return m.makeEvent(e.lastRequestID)
}

// step takes an event to the core and has its effects carried out.
func (e *Engine) step(event messages.Event) {
	e.usage.steps++
	wall := cluster.WallTime(time.Now().UnixMilli())
	for _, effect := range e.controller.Step(e.now(), wall, event) {
		e.executeEffect(effect)
	}
}

func (e *Engine) now() cluster.Time { return cluster.Time(time.Since(e.startTime)) }

func (e *Engine) executeEffect(effect messages.Effect) {
	switch effect := effect.(type) {
	case messages.Respond:
		e.respond(effect)
	case messages.StoreTxn, messages.StoreGet, messages.StoreList, messages.StoreWatch:
		e.executors.Store(effect)
	case messages.CloudMachineTypes, messages.CloudScaleOut, messages.CloudScaleIn, messages.CloudList:
		e.executors.Cloud(effect)
	case messages.PushCommands, messages.QueryWorkerStatus:
		e.executors.Workers(effect)
	case messages.PeerCall:
		e.executors.Peers(effect)
	case messages.Log:
		e.writeLog(effect)
	}
}

// respond answers a request, unless its sender has been answered.
func (e *Engine) respond(respond messages.Respond) {
	if answer := e.pendingRequests[respond.Request]; answer != nil {
		answer <- respond
		delete(e.pendingRequests, respond.Request)
	}
}

// statsLine is the log line that the engine adds the process's usage to.
const statsLine = "stats"

// writeLog writes a line of the core's to the log.
func (e *Engine) writeLog(line messages.Log) {
	arguments := line.Args
	if line.Message == statsLine {
		arguments = append(arguments, e.usage.sample(&e.load)...)
	}
	e.log.Log(context.Background(), slogLevel(line), line.Message, arguments...)
}

func slogLevel(line messages.Log) slog.Level {
	switch line.Level {
	case messages.LogDebug:
		return slog.LevelDebug
	case messages.LogError:
		return slog.LevelError
	}
	return slog.LevelInfo
}
