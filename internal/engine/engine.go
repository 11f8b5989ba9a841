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
type Asker interface {
	Ask(ctx context.Context, event func(core.ReqID) core.Event) (core.Respond, bool)
}

// ReplyFunc hands an outgoing call's reply to the core.
type ReplyFunc func(call core.CallID, body any)

// Actors carry out effects. They must not block.
type Actors struct {
	Store   func(core.Effect)
	Cloud   func(core.Effect)
	Workers func(core.Effect)
	Peers   func(core.PeerCall)
}

// Engine runs a core.
type Engine struct {
	core    *core.Core
	inbox   chan message
	log     *slog.Logger
	actors  Actors
	start   time.Time
	waiting map[core.ReqID]chan core.Respond
	lastReq core.ReqID
	load    loadMeter
	usage   usageMeter
}

// message is an event on its way to the core.
type message struct {
	event   func(core.ReqID) core.Event
	answer  chan core.Respond // nil: nobody waits
	arrived time.Time
}

// New makes an engine for a process that may use a share of a core; 0: not
// limited. Run starts it.
func New(config core.Config, coreShare float64, log *slog.Logger) *Engine {
	return &Engine{
		core:    core.New(config),
		inbox:   make(chan message, inboxSize),
		log:     log,
		start:   time.Now(),
		waiting: map[core.ReqID]chan core.Respond{},
		load:    loadMeter{coreShare: coreShare},
	}
}

// Ask hands a request to the core and waits for its answer; false when ctx
// ended first.
func (e *Engine) Ask(ctx context.Context, event func(core.ReqID) core.Event) (core.Respond, bool) {
	answer := make(chan core.Respond, 1)
	select {
	case e.inbox <- message{event: event, answer: answer, arrived: time.Now()}:
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
func (e *Engine) Answer(call core.CallID, body any) {
	reply := func(core.ReqID) core.Event { return core.Reply{Call: call, Body: body} }
	e.inbox <- message{event: reply, arrived: time.Now()}
}

// Run owns the core until ctx ends.
func (e *Engine) Run(ctx context.Context, actors Actors) {
	e.actors = actors
	e.load.since = time.Now()
	due := e.now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			e.load.noteLag(time.Duration(e.now() - due))
			e.step(core.Tick{})
		case m := <-e.inbox:
			e.load.noteLag(time.Since(m.arrived))
			e.step(e.receive(m))
		}
		if load, worthTelling := e.load.measure(); worthTelling {
			e.step(load)
		}
		if wake, wanted := e.core.NextWake(); wanted {
			due = max(wake, e.now())
			timer.Reset(time.Duration(due - e.now()))
		}
	}
}

// receive numbers a message and notes who waits for its answer.
func (e *Engine) receive(m message) core.Event {
	e.lastReq++
	if m.answer != nil {
		e.waiting[e.lastReq] = m.answer
	}
	return m.event(e.lastReq)
}

// step takes an event to the core and has its effects carried out.
func (e *Engine) step(event core.Event) {
	e.usage.steps++
	wall := core.Wall(time.Now().UnixMilli())
	for _, effect := range e.core.Step(e.now(), wall, event) {
		e.carryOut(effect)
	}
}

func (e *Engine) now() core.Time { return core.Time(time.Since(e.start)) }

func (e *Engine) carryOut(effect core.Effect) {
	switch effect := effect.(type) {
	case core.Respond:
		e.respond(effect)
	case core.StoreTxn, core.StoreGet, core.StoreList, core.StoreWatch:
		e.actors.Store(effect)
	case core.CloudTypes, core.CloudRent, core.CloudReturn, core.CloudList:
		e.actors.Cloud(effect)
	case core.Orders, core.Inspect:
		e.actors.Workers(effect)
	case core.PeerCall:
		e.actors.Peers(effect)
	case core.Log:
		e.write(effect)
	}
}

// respond answers a request, unless its sender has been answered.
func (e *Engine) respond(respond core.Respond) {
	if answer := e.waiting[respond.Req]; answer != nil {
		answer <- respond
		delete(e.waiting, respond.Req)
	}
}

// statsLine is the log line that the engine adds the process's usage to.
const statsLine = "stats"

// write writes a line of the core's to the log.
func (e *Engine) write(line core.Log) {
	arguments := line.Args
	if line.Text == statsLine {
		arguments = append(arguments, e.usage.sample(&e.load)...)
	}
	e.log.Log(context.Background(), levelOf(line), line.Text, arguments...)
}

func levelOf(line core.Log) slog.Level {
	switch line.Level {
	case core.LogDebug:
		return slog.LevelDebug
	case core.LogError:
		return slog.LevelError
	}
	return slog.LevelInfo
}
