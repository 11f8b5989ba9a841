// Package workers is the actor that sends commands straight to workers, and
// the handler of their reports.
package workers

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"stairrelay/internal/core"
	"stairrelay/internal/sockets"
	"stairrelay/internal/wire"
)

// Asker hands a request to the core and waits for its answer.
type Asker interface {
	Ask(ctx context.Context, event func(core.ReqID) core.Event) (core.Respond, bool)
}

// Workers carries out the core's Orders effects.
type Workers struct {
	h       *http.Client
	answer  func(core.CallID, any)
	timeout time.Duration
	slots   *sockets.Slots
}

// slotWait is how long a call waits for others to end before it is given up as
// certainly not made.
const slotWait = time.Second

// New makes the actor, for so many calls at once; 0: without limit.
func New(calls int, answer func(core.CallID, any)) *Workers {
	return &Workers{h: wire.NewClient(1500*time.Millisecond, 1, calls), answer: answer, timeout: 2500 * time.Millisecond, slots: sockets.NewSlots(calls)}
}

// Do sends commands, or asks for a report; the answer comes as a message.
func (w *Workers) Do(e core.Effect) {
	switch e := e.(type) {
	case core.Orders:
		go func() { w.answer(e.Call, w.send("POST", e.Addr, "/orders", wire.EncodeOrders(e))) }()
	case core.Inspect:
		go func() { w.answer(e.Call, w.send("GET", e.Addr, "/inspect", nil)) }()
	}
}

func (w *Workers) send(method, addr, path string, body []byte) core.OrdersReply {
	done, ok := w.slots.Take(addr, slotWait)
	if !ok {
		return core.OrdersReply{Out: core.NotDone}
	}
	r := w.call(method, addr, path, body)
	done(r.Out == core.OK || r.Out == core.Conflict)
	return r
}

func (w *Workers) call(method, addr, path string, body []byte) core.OrdersReply {
	ctx, cancel := context.WithTimeout(context.Background(), w.timeout)
	defer cancel()
	status, b, err := wire.Call(ctx, w.h, method, "http://"+addr+path, "application/json", body)
	switch {
	case errors.Is(err, wire.ErrNotSent):
		return core.OrdersReply{Out: core.NotDone}
	case err != nil:
		return core.OrdersReply{Out: core.Unknown}
	case status != 200 && status != 409:
		return core.OrdersReply{Out: core.Unknown}
	}
	r, err := wire.DecodeReport(b)
	if err != nil {
		return core.OrdersReply{Out: core.Unknown}
	}
	out := core.OK
	if status == 409 {
		out = core.Conflict
	}
	return core.OrdersReply{Out: out, Report: r}
}

// Handler answers POST /checkin.
func Handler(a Asker, log *slog.Logger) http.Handler {
	seen := &once{seen: map[string]bool{}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
		if err != nil {
			http.Error(w, "body unreadable or too large", http.StatusBadRequest)
			return
		}
		rep, err := wire.DecodeReport(body)
		if err != nil {
			if seen.first(r.RemoteAddr + err.Error()) {
				log.Info("malformed report", "from", r.RemoteAddr, "error", err)
			}
			http.Error(w, "malformed report", http.StatusBadRequest)
			return
		}
		res, ok := a.Ask(r.Context(), func(id core.ReqID) core.Event { return core.Checkin{Req: id, Report: rep} })
		if !ok {
			http.Error(w, "given up", http.StatusServiceUnavailable)
			return
		}
		if res.Worker == nil {
			http.Error(w, res.Error, res.Status)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(res.Status)
		_, _ = w.Write(wire.EncodeWorkerAnswer(res.Status, *res.Worker))
	})
}

// once remembers what has been logged, so that a sender that repeats itself
// fills no log.
type once struct {
	mu   sync.Mutex
	seen map[string]bool
}

func (o *once) first(key string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.seen[key] || len(o.seen) > 1000 {
		return false
	}
	o.seen[key] = true
	return true
}
