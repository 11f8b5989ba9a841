// Package users serves the HTTP API for users and the health check.
package users

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
	"stairrelay/internal/wire"
)

// retryAfterSeconds is the Retry-After header of the response to a request for which the
// controller returned no response.
const retryAfterSeconds = 1

// Handler returns a handler of users' requests, health checks and heartbeats. It passes
// heartbeats to the given handler, and applies userMiddleware to all other requests.
func Handler(requester engine.Requester, userMiddleware func(http.Handler) http.Handler, heartbeats http.Handler) http.Handler {
	h := &handler{requester: requester}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.HealthPath, h.health)
	mux.HandleFunc("POST "+wire.JobsPath, h.submit)
	mux.HandleFunc("GET "+wire.JobsPath+"/{id}", h.query)
	mux.HandleFunc("POST "+wire.JobsPath+"/{id}/cancel", h.cancel)
	userHandler := userMiddleware(mux)
	// Most requests are heartbeats, so they bypass the pattern matching of the ServeMux.
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
			respondError(w, err.Error(), http.StatusBadRequest)
			return
		}
		// If a job with this ID exists, this is a repeated submission and must not be
		// rejected. Only the controller knows whether the job exists.
		submit.Rejection = messages.StatusBadRequest
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
	// The body is ignored, but must be read so that the connection can be reused. An error
	// doesn't affect the cancellation.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, wire.MaxBodySize))
	h.serve(w, r, func(id messages.RequestID) messages.Event { return messages.Cancel{Request: id, ID: job} })
}

// jobIDFromPath returns the job ID in the path of a request and reports whether it is
// valid. If it is not, the job cannot exist.
func jobIDFromPath(r *http.Request) (cluster.JobID, bool) {
	id := r.PathValue("id")
	return cluster.JobID(id), wire.IsValidJobID(id)
}

// serve passes a request to the controller and writes the controller's response, or status
// 503 if there is none.
func (h *handler) serve(w http.ResponseWriter, r *http.Request, makeEvent func(messages.RequestID) messages.Event) {
	response, answered := h.requester.Request(r.Context(), makeEvent)
	if !answered {
		response = messages.Respond{Status: messages.StatusUnavailable, RetryAfter: retryAfterSeconds}
	}
	if response.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(response.RetryAfter))
	}
	switch {
	case response.View != nil:
		w.Header().Set("Content-Type", wire.ContentTypeJSON)
		w.WriteHeader(int(response.Status))
		_, _ = w.Write(wire.EncodeJobView(*response.View)) // fails if the user has disconnected
	case response.Status == messages.StatusOK:
		w.WriteHeader(http.StatusOK)
	default:
		respondError(w, response.Error, int(response.Status))
	}
}

// maxReasonLength limits the length of the reason in a response, in bytes. The protocol
// limits a line to 64 KiB, and the text of a decoding error may quote the whole submission.
const maxReasonLength = 1000

// respondError writes a response with a reason, which is shortened if it is too long.
func respondError(w http.ResponseWriter, reason string, status int) {
	if len(reason) > maxReasonLength {
		reason = strings.ToValidUTF8(reason[:maxReasonLength], "") + "..."
	}
	http.Error(w, reason, status)
}
