// Package engine is the one goroutine that owns the core: it feeds it events
// and hands its effects to those that carry them out.
package engine

import (
	"context"
	"log/slog"
	"time"

	"stairrelay/internal/core"
)

// inboxSize is the number of events that may wait before their senders do.
const inboxSize = 256

// Asker hands a request to the core and waits for its answer; false when the
// context ended first.
type Requester interface {
	Request(ctx context.Context, event func(core.RequestID) core.Event) (core.Respond, bool)
}

// ReplyFunc hands an outgoing call's reply to the core.
type ReplyFunc func(call core.CallID, body any)

// Actors carry out effects. They must not block.
type Executors struct {
	Store   func(core.Effect)
	Cloud   func(core.Effect)
	Workers func(core.Effect)
	Peers   func(core.PeerCall)
}

// Engine runs a core.
type Engine struct {
	controller      *core.Controller
	inbox           chan queuedEvent
	log             *slog.Logger
	executors       Executors
	startTime       time.Time
	pendingRequests map[core.RequestID]chan core.Respond
	lastRequestID   core.RequestID
	load            loadMeter
	usage           usageMeter
}

// message is an event on its way to the core.
type queuedEvent struct {
	makeEvent  func(core.RequestID) core.Event
	response   chan core.Respond // nil: nobody waits
	enqueuedAt time.Time
}

// New makes an engine for a process that may use a share of a core; 0: not
// limited. Run starts it.
func New(config core.Config, coreShare float64, log *slog.Logger) *Engine {
	return &Engine{
		controller:      core.New(config),
		inbox:           make(chan queuedEvent, inboxSize),
		log:             log,
		startTime:       time.Now(),
		pendingRequests: map[core.RequestID]chan core.Respond{},
		load:            loadMeter{cpuShare: coreShare},
	}
}

// Ask hands a request to the core and waits for its answer; false when ctx
// ended first.
func (e *Engine) Request(ctx context.Context, event func(core.RequestID) core.Event) (core.Respond, bool) {
	answer := make(chan core.Respond, 1)
	select {
	case e.inbox <- queuedEvent{makeEvent: event, response: answer, enqueuedAt: time.Now()}:
	case <-ctx.Done():
		return core.Respond{}, false
	}
	select {
	case respond := <-answer:
		return respond, true
	case <-ctx.Done():
		return core.Respond{}, false
	}
}

// Answer hands an outgoing call's reply to the core.
func (e *Engine) DeliverReply(call core.CallID, body any) {
	reply := func(core.RequestID) core.Event { return core.Reply{Call: call, Body: body} }
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
			e.step(core.Tick{})
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

// receive numbers a message and notes who waits for its answer.
func (e *Engine) assignRequestID(m queuedEvent) core.Event {
	e.lastRequestID++
	if m.response != nil {
		e.pendingRequests[e.lastRequestID] = m.response
	}
	return m.makeEvent(e.lastRequestID)
}

// step takes an event to the core and has its effects carried out.
func (e *Engine) step(event core.Event) {
	e.usage.steps++
	wall := core.WallTime(time.Now().UnixMilli())
	for _, effect := range e.controller.Step(e.now(), wall, event) {
		e.executeEffect(effect)
	}
}

func (e *Engine) now() core.Time { return core.Time(time.Since(e.startTime)) }

func (e *Engine) executeEffect(effect core.Effect) {
	switch effect := effect.(type) {
	case core.Respond:
		e.respond(effect)
	case core.StoreTxn, core.StoreGet, core.StoreList, core.StoreWatch:
		e.executors.Store(effect)
	case core.CloudMachineTypes, core.CloudScaleOut, core.CloudScaleIn, core.CloudList:
		e.executors.Cloud(effect)
	case core.PushCommands, core.QueryWorkerStatus:
		e.executors.Workers(effect)
	case core.PeerCall:
		e.executors.Peers(effect)
	case core.Log:
		e.writeLog(effect)
	}
}

// respond answers a request, unless its sender has been answered.
func (e *Engine) respond(respond core.Respond) {
	if answer := e.pendingRequests[respond.Request]; answer != nil {
		answer <- respond
		delete(e.pendingRequests, respond.Request)
	}
}

// statsLine is the log line that the engine adds the process's usage to.
const statsLine = "stats"

// write writes a line of the core's to the log.
func (e *Engine) writeLog(line core.Log) {
	arguments := line.Args
	if line.Message == statsLine {
		arguments = append(arguments, e.usage.sample(&e.load)...)
	}
	e.log.Log(context.Background(), slogLevel(line), line.Message, arguments...)
}

func slogLevel(line core.Log) slog.Level {
	switch line.Level {
	case core.LogDebug:
		return slog.LevelDebug
	case core.LogError:
		return slog.LevelError
	}
	return slog.LevelInfo
}
