// Package eventloop provides the deterministic event loop that runs the controller's
// state machine. It keeps the time of the current step, the timers, the outgoing calls
// that wait for their replies, and the effects that the step emits.
//
// The loop has no clock and no goroutine of its own. Time is constant within a step and
// never decreases between steps. Timers run in the order of their due times, and timers
// with the same due time in the order in which they were set. A reply is delivered at
// most once, and only to the call that it answers.
package eventloop

import (
	"fmt"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// Loop is the event loop of one state machine. All components of the state machine
// share it.
type Loop struct {
	now      cluster.Time
	wallTime cluster.WallTime
	effects  []messages.Effect
	timers   timerQueue

	lastCall     messages.CallID
	pendingCalls map[messages.CallID]func(body messages.ReplyBody)
}

// New returns a loop whose time is 0.
func New() *Loop {
	return &Loop{pendingCalls: map[messages.CallID]func(messages.ReplyBody){}}
}

// Begin starts a step and discards the effects of the previous one. Time never
// decreases: if now is earlier than the time of the previous step, that time is kept.
func (l *Loop) Begin(now cluster.Time, wallTime cluster.WallTime) {
	l.now = max(l.now, now)
	l.wallTime = wallTime
	l.effects = nil
}

// Now returns the time of the current step, measured from the start of the process.
func (l *Loop) Now() cluster.Time { return l.now }

// WallTime returns the wall-clock time of the current step.
func (l *Loop) WallTime() cluster.WallTime { return l.wallTime }

// Emit adds an effect to the current step.
func (l *Loop) Emit(effect messages.Effect) { l.effects = append(l.effects, effect) }

// Effects returns the effects emitted since the step began.
func (l *Loop) Effects() []messages.Effect { return l.effects }

// Log emits a log line with alternating keys and values.
func (l *Loop) Log(level messages.LogLevel, message string, keysAndValues ...any) {
	l.Emit(messages.Log{Level: level, Message: message, Args: keysAndValues})
}

// Call registers handle for the reply to an outgoing call and returns the ID of the call.
// The caller must then emit the effect that makes the call with this ID. The reply must
// have type R. A reply of another type, which is a bug in the code that made the call, is
// logged and dropped.
func Call[R messages.ReplyBody](l *Loop, handle func(R)) messages.CallID {
	l.lastCall++
	call := l.lastCall
	l.pendingCalls[call] = func(body messages.ReplyBody) {
		reply, ok := body.(R)
		if !ok {
			l.Log(messages.LogError, "reply has an unexpected type; dropping it", "call", uint64(call), "reply_type", fmt.Sprintf("%T", body))
			return
		}
		handle(reply)
	}
	return call
}

// Deliver passes a reply to the handler of the call that it answers. It drops the reply
// if the call is not pending, for example because it has already been answered.
func (l *Loop) Deliver(reply messages.Reply) {
	handle := l.pendingCalls[reply.Call]
	if handle == nil {
		return
	}
	delete(l.pendingCalls, reply.Call)
	handle(reply.Body)
}
