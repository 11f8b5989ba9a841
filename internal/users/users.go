// Package users serves the users' interface and the health check.
package users

import (
	"io"
	"net/http"
	"strconv"

	"stairrelay/internal/cluster"
	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
	"stairrelay/internal/wire"
)

// retryAfterSeconds is when a user should ask again whose request was not answered
// in time.
const retryAfterSeconds = 1

// Handler serves users, the health check and, through the heartbeats handler, workers.
// All requests but heartbeats go through userMiddleware.
func Handler(requester engine.Requester, userMiddleware func(http.Handler) http.Handler, heartbeats http.Handler) http.Handler {
	h := &handler{requester: requester}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.HealthPath, h.health)
	mux.HandleFunc("POST "+wire.JobsPath, h.submit)
	mux.HandleFunc("GET "+wire.JobsPath+"/{id}", h.query)
	mux.HandleFunc("POST "+wire.JobsPath+"/{id}/cancel", h.cancel)
	userHandler := userMiddleware(mux)
	// Heartbeats are most of what comes in: they skip the patterns of the ServeMux.
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == wire.HeartbeatPath && r.Method == http.MethodPost {
			heartbeats.ServeHTTP(w, r)
			return
		}
		userHandler.ServeHTTP(w, r)
	})
}

type handler struct {
	requester engine.Requester
}

func (h *handler) health(w http.ResponseWriter, r *http.Request) {
	h.serve(w, r, func(id messages.RequestID) messages.Event { return messages.Health{Request: id} })
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodySize))
	if err != nil {
		http.Error(w, "body unreadable or too large", http.StatusBadRequest)
		return
	}
	spec, err := wire.DecodeSubmission(body)
	submit := messages.Submit{Spec: spec}
	if err != nil {
		if spec.ID == "" {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		// The id may be that of an accepted job, whose user must never get a 400. Only
		// the controller can tell.
		submit.Rejection = messages.ReplyBadRequest
		submit.Reason = err.Error()
	}
	h.serve(w, r, func(id messages.RequestID) messages.Event {
		submit.Request = id
		return submit
	})
}

func (h *handler) query(w http.ResponseWriter, r *http.Request) {
	job, valid := jobIDFromPath(r)
	if !valid {
		http.NotFound(w, r)
		return
	}
	h.serve(w, r, func(id messages.RequestID) messages.Event { return messages.Query{Request: id, ID: job} })
}

func (h *handler) cancel(w http.ResponseWriter, r *http.Request) {
	job, valid := jobIDFromPath(r)
	if !valid {
		http.NotFound(w, r)
		return
	}
	// A body has no meaning here. It is read so that the connection can be kept; if it
	// can't be read the cancellation stands all the same.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, wire.MaxBodySize))
	h.serve(w, r, func(id messages.RequestID) messages.Event { return messages.Cancel{Request: id, ID: job} })
}

// jobIDFromPath is the job that the path of a request names. A job whose id is malformed
// was never accepted.
func jobIDFromPath(r *http.Request) (cluster.JobID, bool) {
	id := r.PathValue("id")
	return cluster.JobID(id), wire.IsValidJobID(id)
}

// serve hands a request to the controller and writes its response.
func (h *handler) serve(w http.ResponseWriter, r *http.Request, event func(messages.RequestID) messages.Event) {
	response, answered := h.requester.Request(r.Context(), event)
	if !answered {
		response = messages.Respond{Status: messages.ReplyUnavailable, RetryAfter: retryAfterSeconds}
	}
	if response.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(response.RetryAfter))
	}
	switch {
	case response.View != nil:
		w.Header().Set("Content-Type", wire.ContentTypeJSON)
		w.WriteHeader(int(response.Status))
		_, _ = w.Write(wire.EncodeJobView(*response.View)) // fails if the user has gone away
	case response.Status == messages.ReplyOK:
		w.WriteHeader(http.StatusOK)
	default:
		http.Error(w, response.Error, int(response.Status))
	}
}
