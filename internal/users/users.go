// Package users serves the users' interface and the health check.
package users

import (
	"io"
	"net/http"
	"strconv"

	"stairrelay/internal/core"
	"stairrelay/internal/engine"
	"stairrelay/internal/wire"
)

// retryAfterSeconds is when a user should ask again whose request was not
// answered in time.
const retryAfterSeconds = 1

// checkinPath is where workers send their reports.
const checkinPath = "/checkin"

// Handler serves users, the health check and, through checkin, workers. What
// is not a worker's goes through markUser.
func Handler(asker engine.Asker, markUser func(http.Handler) http.Handler, checkin http.Handler) http.Handler {
	h := &handler{asker: asker}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", h.health)
	mux.HandleFunc("POST /v2/runs", h.submit)
	mux.HandleFunc("GET /v2/runs/{id}", h.query)
	mux.HandleFunc("POST /v2/runs/{id}/cancel", h.cancel)
	marked := markUser(mux)
	// Reports are most of what comes in: they don't go through the patterns.
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == checkinPath && r.Method == http.MethodPost {
			checkin.ServeHTTP(w, r)
			return
		}
		marked.ServeHTTP(w, r)
	})
}

type handler struct {
	asker engine.Asker
}

func (h *handler) health(w http.ResponseWriter, r *http.Request) {
	h.ask(w, r, func(id core.ReqID) core.Event { return core.Health{Req: id} })
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
	if err != nil {
		http.Error(w, "body unreadable or too large", http.StatusBadRequest)
		return
	}
	spec, err := wire.DecodeSubmission(body)
	submit := core.Submit{Job: spec}
	if err != nil {
		if spec.ID == "" {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		// The id may be that of a known job, which only the core can tell.
		submit.Bad = core.ReplyMalformed
		submit.Why = err.Error()
	}
	h.ask(w, r, func(id core.ReqID) core.Event {
		submit.Req = id
		return submit
	})
}

func (h *handler) query(w http.ResponseWriter, r *http.Request) {
	job, valid := jobOf(r)
	if !valid {
		http.NotFound(w, r)
		return
	}
	h.ask(w, r, func(id core.ReqID) core.Event { return core.Query{Req: id, ID: job} })
}

func (h *handler) cancel(w http.ResponseWriter, r *http.Request) {
	job, valid := jobOf(r)
	if !valid {
		http.NotFound(w, r)
		return
	}
	// A body has no meaning here; read, it does not cost the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, wire.MaxBody))
	h.ask(w, r, func(id core.ReqID) core.Event { return core.Cancel{Req: id, ID: job} })
}

// jobOf is the job that a request's path names. One whose id is malformed was
// never accepted.
func jobOf(r *http.Request) (core.JobID, bool) {
	id := r.PathValue("id")
	return core.JobID(id), wire.ValidJobID(id)
}

// ask hands a request to the core and writes its answer.
func (h *handler) ask(w http.ResponseWriter, r *http.Request, event func(core.ReqID) core.Event) {
	answer, answered := h.asker.Ask(r.Context(), event)
	if !answered {
		answer = core.Respond{Status: http.StatusServiceUnavailable, RetryAfter: retryAfterSeconds}
	}
	if answer.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(answer.RetryAfter))
	}
	switch {
	case answer.View != nil:
		w.Header().Set("Content-Type", wire.JSON)
		w.WriteHeader(int(answer.Status))
		_, _ = w.Write(wire.EncodeView(*answer.View))
	case answer.Status == core.ReplyOK:
		w.WriteHeader(http.StatusOK)
	default:
		http.Error(w, answer.Error, int(answer.Status))
	}
}
