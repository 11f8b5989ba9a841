// Package users is the handler of the users' interface and the health check.
package users

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"stairrelay/internal/core"
	"stairrelay/internal/wire"
)

// Asker hands a request to the core and waits for its answer.
type Asker interface {
	Ask(ctx context.Context, event func(core.ReqID) core.Event) (core.Respond, bool)
}

// Handler answers users, the health check and, through checkin, workers. What
// is not a worker's goes through mark.
func Handler(a Asker, mark func(http.Handler) http.Handler, checkin http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) {
		ask(a, w, r, func(id core.ReqID) core.Event { return core.Health{Req: id} })
	})
	mux.HandleFunc("POST /v2/runs", func(w http.ResponseWriter, r *http.Request) { submit(a, w, r) })
	mux.HandleFunc("GET /v2/runs/{id}", func(w http.ResponseWriter, r *http.Request) {
		job := r.PathValue("id")
		if !wire.ValidJobID(job) { // no such id was ever accepted
			http.NotFound(w, r)
			return
		}
		ask(a, w, r, func(id core.ReqID) core.Event { return core.Query{Req: id, ID: core.JobID(job)} })
	})
	mux.HandleFunc("POST /v2/runs/{id}/cancel", func(w http.ResponseWriter, r *http.Request) {
		job := r.PathValue("id")
		if !wire.ValidJobID(job) {
			http.NotFound(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, wire.MaxBody))
		ask(a, w, r, func(id core.ReqID) core.Event { return core.Cancel{Req: id, ID: core.JobID(job)} })
	})
	marked := mark(mux)
	// Reports are most of what comes in: they don't go through the patterns.
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/checkin" && r.Method == http.MethodPost {
			checkin.ServeHTTP(w, r)
			return
		}
		marked.ServeHTTP(w, r)
	})
}

func submit(a Asker, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
	if err != nil {
		http.Error(w, "body unreadable or too large", http.StatusBadRequest)
		return
	}
	spec, err := wire.DecodeSubmission(body)
	e := core.Submit{Job: spec}
	if err != nil {
		if spec.ID == "" {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.Bad, e.Why = http.StatusBadRequest, err.Error()
	}
	ask(a, w, r, func(id core.ReqID) core.Event {
		e.Req = id
		return e
	})
}

func ask(a Asker, w http.ResponseWriter, r *http.Request, event func(core.ReqID) core.Event) {
	res, ok := a.Ask(r.Context(), event)
	if !ok {
		res = core.Respond{Status: http.StatusServiceUnavailable, RetryAfter: 1}
	}
	if res.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(res.RetryAfter))
	}
	if res.View == nil {
		if res.Status == http.StatusOK {
			w.WriteHeader(http.StatusOK)
			return
		}
		http.Error(w, res.Error, res.Status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(res.Status)
	_, _ = w.Write(wire.EncodeView(*res.View))
}
