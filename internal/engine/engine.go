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
	share  float64 // of a core that the process may use; 0: not limited
	gauge  gauge
}

// gauge measures how busy the process is.
type gauge struct {
	at       time.Time
	cpu      time.Duration
	lag      time.Duration // the worst since at
	told     bool          // the core believes that the process is busy
	busiest  float64       // since the last stats line
	mostLate time.Duration
}

type message struct {
	event func(core.ReqID) core.Event
	reply chan core.Respond // nil: nobody waits
	at    time.Time         // when it came in
}

// New makes an engine for a process that may use a share of a core; 0: not
// limited. Run starts it.
func New(cfg core.Config, share float64, log *slog.Logger) *Engine {
	return &Engine{core: core.New(cfg), inbox: make(chan message, 256), log: log, start: time.Now(), share: share}
}

// Ask hands a request to the core and waits for its answer.
func (e *Engine) Ask(ctx context.Context, event func(core.ReqID) core.Event) (core.Respond, bool) {
	reply := make(chan core.Respond, 1)
	select {
	case e.inbox <- message{event, reply, time.Now()}:
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
	e.inbox <- message{event: func(core.ReqID) core.Event { return core.Reply{Call: id, Body: body} }, at: time.Now()}
}

// Run owns the core until ctx ends.
func (e *Engine) Run(ctx context.Context, actors Actors) {
	e.actors = actors
	waiting := map[core.ReqID]chan core.Respond{}
	var next core.ReqID
	timer := time.NewTimer(0)
	defer timer.Stop()
	e.gauge.at = time.Now()
	due := e.now()
	for {
		var ev core.Event = core.Tick{}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			e.gauge.lag = max(e.gauge.lag, time.Duration(e.now()-due))
		case m := <-e.inbox:
			e.gauge.lag = max(e.gauge.lag, time.Since(m.at))
			next++
			ev = m.event(next)
			if m.reply != nil {
				waiting[next] = m.reply
			}
		}
		e.step(ev, waiting)
		if load, ok := e.load(); ok {
			e.step(load, waiting)
		}
		if at, ok := e.core.NextWake(); ok {
			due = max(at, e.now())
			timer.Reset(time.Duration(due - e.now()))
		}
	}
}

func (e *Engine) step(ev core.Event, waiting map[core.ReqID]chan core.Respond) {
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
}

// load looks once a second how busy the process is, and says so while that is
// worth knowing.
func (e *Engine) load() (core.Load, bool) {
	g, now := &e.gauge, time.Now()
	took := now.Sub(g.at)
	if took < time.Second {
		return core.Load{}, false
	}
	cpu, ok := usedSoFar()
	if !ok {
		return core.Load{}, false
	}
	l := core.Load{Lag: core.Time(g.lag)}
	if e.share > 0 {
		l.Busy = (cpu - g.cpu).Seconds() / took.Seconds() / e.share
	}
	g.busiest, g.mostLate = max(g.busiest, l.Busy), max(g.mostLate, g.lag)
	g.at, g.cpu, g.lag = now, cpu, 0
	tell := g.told
	g.told = l.Busy > 0.5 || l.Lag > core.Time(100*time.Millisecond)
	return l, tell || g.told
}

// usedSoFar is the processor time that the process has taken so far.
func usedSoFar() (time.Duration, bool) {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0, false
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), true
}

// cost is what the process has used since the last time, so that a day can be
// judged from its log.
func (e *Engine) cost() []any {
	cpu, ok := usedSoFar()
	if !ok {
		return nil
	}
	used, steps := cpu-e.cpu, e.steps
	e.cpu, e.steps = cpu, 0
	busiest, late := e.gauge.busiest, e.gauge.mostLate
	e.gauge.busiest, e.gauge.mostLate = 0, 0
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}}
	metrics.Read(sample)
	return []any{"cpu_ms", used.Milliseconds(), "events", steps, "cpu_us_per_event", used.Microseconds() / int64(max(steps, 1)),
		"busiest_pct", int(busiest * 100), "latest_ms", late.Milliseconds(), "memory_kb", sample[0].Value.Uint64() / 1024}
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
