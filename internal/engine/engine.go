// Package engine is the one goroutine that owns the core: it feeds it events
// and hands its effects to the actors.
package engine

import (
	"context"
	"log/slog"
	"runtime/metrics"
	"syscall"
	"time"

	"stairrelay/internal/core"
)

// Actors carry out effects.
type Actors struct {
	Store, Cloud, Workers func(core.Effect)
	Peers                 func(core.PeerCall)
}

// Engine runs a core.
type Engine struct {
	core   *core.Core
	inbox  chan message
	log    *slog.Logger
	actors Actors
	start  time.Time
	cpu    time.Duration
	steps  int
}

type message struct {
	event func(core.ReqID) core.Event
	reply chan core.Respond // nil: nobody waits
}

// New makes an engine; Run starts it.
func New(cfg core.Config, log *slog.Logger) *Engine {
	return &Engine{core: core.New(cfg), inbox: make(chan message, 256), log: log, start: time.Now()}
}

// Ask hands a request to the core and waits for its answer.
func (e *Engine) Ask(ctx context.Context, event func(core.ReqID) core.Event) (core.Respond, bool) {
	reply := make(chan core.Respond, 1)
	select {
	case e.inbox <- message{event, reply}:
	case <-ctx.Done():
		return core.Respond{}, false
	}
	select {
	case r := <-reply:
		return r, true
	case <-ctx.Done():
		return core.Respond{}, false
	}
}

// Answer hands an outgoing call's result to the core.
func (e *Engine) Answer(id core.CallID, body any) {
	e.inbox <- message{event: func(core.ReqID) core.Event { return core.Reply{Call: id, Body: body} }}
}

// Run owns the core until ctx ends.
func (e *Engine) Run(ctx context.Context, actors Actors) {
	e.actors = actors
	waiting := map[core.ReqID]chan core.Respond{}
	var next core.ReqID
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var ev core.Event = core.Tick{}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case m := <-e.inbox:
			next++
			ev = m.event(next)
			if m.reply != nil {
				waiting[next] = m.reply
			}
		}
		e.steps++
		for _, f := range e.core.Step(e.now(), core.Wall(time.Now().UnixMilli()), ev) {
			if r, ok := f.(core.Respond); ok {
				if ch := waiting[r.Req]; ch != nil {
					ch <- r
					delete(waiting, r.Req)
				}
				continue
			}
			e.carryOut(f)
		}
		if at, ok := e.core.NextWake(); ok {
			timer.Reset(max(0, time.Duration(at-e.now())))
		}
	}
}

// cost is what the process has used since the last time, so that a day can be
// judged from its log.
func (e *Engine) cost() []any {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return nil
	}
	cpu := time.Duration(u.Utime.Nano() + u.Stime.Nano())
	used, steps := cpu-e.cpu, e.steps
	e.cpu, e.steps = cpu, 0
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}}
	metrics.Read(sample)
	return []any{"cpu_ms", used.Milliseconds(), "events", steps, "cpu_us_per_event", used.Microseconds() / int64(max(steps, 1)),
		"memory_kb", sample[0].Value.Uint64() / 1024}
}

func (e *Engine) now() core.Time { return core.Time(time.Since(e.start)) }

func (e *Engine) carryOut(f core.Effect) {
	switch f := f.(type) {
	case core.StoreTxn, core.StoreGet, core.StoreList, core.StoreWatch:
		e.actors.Store(f)
	case core.CloudTypes, core.CloudRent, core.CloudReturn, core.CloudList:
		e.actors.Cloud(f)
	case core.Orders, core.Inspect:
		e.actors.Workers(f)
	case core.PeerCall:
		e.actors.Peers(f)
	case core.Log:
		level := slog.LevelInfo
		switch f.Level {
		case "debug":
			level = slog.LevelDebug
		case "error":
			level = slog.LevelError
		}
		if f.Text == "stats" {
			f.Args = append(f.Args, e.cost()...)
		}
		e.log.Log(context.Background(), level, f.Text, f.Args...)
	}
}
