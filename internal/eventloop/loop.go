// Package eventloop is the deterministic frame in which the controller's state
// machine runs: the time of the present step, timers, outgoing calls that wait
// for their replies, and the effects that a step asks for.
//
// It has no clock and no goroutine of its own. Time stands still within a step
// and never goes back between steps; timers run in the order of their times, and
// those of one time in the order in which they were set. A reply is delivered to
// the one call that it answers, and once.
package eventloop

import (
	"fmt"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// Loop is the frame of one state machine. Its components share it.
type Loop struct {
	now      cluster.Time
	wallTime cluster.WallTime
	effects  []messages.Effect
	timers   timerQueue

	lastCall     messages.CallID
	pendingCalls map[messages.CallID]func(body messages.ReplyBody)
}

// New makes a loop whose time is 0.
func New() *Loop {
	return &Loop{pendingCalls: map[messages.CallID]func(messages.ReplyBody){}}
}

// Begin starts a step: its effects are collected from now on. Time never goes
// back, so an earlier now than that of the last step is taken for the latter.
func (l *Loop) Begin(now cluster.Time, wallTime cluster.WallTime) {
	l.now = max(l.now, now)
	l.wallTime = wallTime
	l.effects = nil
}

// Now is the time of the present step, from the process's start.
func (l *Loop) Now() cluster.Time { return l.now }

// WallTime is the time of day of the present step.
func (l *Loop) WallTime() cluster.WallTime { return l.wallTime }

// Emit adds an effect to those of the present step.
func (l *Loop) Emit(effect messages.Effect) { l.effects = append(l.effects, effect) }

// Effects lists what was emitted since the step began.
func (l *Loop) Effects() []messages.Effect { return l.effects }

// Log emits a line for the operators, with keys and values in turn.
func (l *Loop) Log(level messages.LogLevel, message string, keysAndValues ...any) {
	l.Emit(messages.Log{Level: level, Message: message, Args: keysAndValues})
}

// Call registers an outgoing call whose reply has the type R, and returns the id
// that its effect must carry. A reply of another type is an error of an I/O
// actor: it is logged and dropped.
func Call[R messages.ReplyBody](l *Loop, handle func(R)) messages.CallID {
	l.lastCall++
	call := l.lastCall
	l.pendingCalls[call] = func(body messages.ReplyBody) {
		reply, ok := body.(R)
		if !ok {
			l.Log(messages.LogError, "reply of the wrong type", "call", uint64(call), "reply_type", fmt.Sprintf("%T", body))
			return
		}
		handle(reply)
	}
	return call
}

// Deliver hands a reply to the call that it answers. A reply to a call that is
// not pending, as to one that was answered already, is dropped.
func (l *Loop) Deliver(reply messages.Reply) {
	handle := l.pendingCalls[reply.Call]
	if handle == nil {
		return
	}
	delete(l.pendingCalls, reply.Call)
	handle(reply.Body)
}
