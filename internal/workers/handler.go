package workers

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
	"stairrelay/internal/wire"
)

// Handler serves the heartbeats of workers.
func Handler(requester engine.Requester, log *slog.Logger) http.Handler {
	return &handler{requester: requester, log: log, loggedErrors: &logDeduplicator{seen: map[string]bool{}}}
}

type handler struct {
	requester    engine.Requester
	log          *slog.Logger
	loggedErrors *logDeduplicator
}

// ServeHTTP hands a heartbeat to the controller and answers with its commands.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodySize))
	if err != nil {
		h.logMalformed(r.RemoteAddr, err)
		http.Error(w, "body unreadable or too large", http.StatusBadRequest)
		return
	}
	status, err := wire.DecodeHeartbeatStatus(body)
	if err != nil {
		h.logMalformed(r.RemoteAddr, err)
		http.Error(w, "malformed report", http.StatusBadRequest) // the text of all versions
		return
	}
	heartbeat := func(id messages.RequestID) messages.Event { return messages.Heartbeat{Request: id, Status: status} }
	response, answered := h.requester.Request(r.Context(), heartbeat)
	if !answered {
		http.Error(w, "given up", http.StatusServiceUnavailable)
		return
	}
	if response.Heartbeat == nil {
		http.Error(w, response.Error, int(response.Status))
		return
	}
	w.Header().Set("Content-Type", wire.ContentTypeJSON)
	w.WriteHeader(int(response.Status))
	// Writing fails if the worker has gone away; its next heartbeat gets the commands.
	_, _ = w.Write(wire.EncodeHeartbeatResponse(response.Status, *response.Heartbeat))
}

// logMalformed logs each error of a host once.
func (h *handler) logMalformed(remoteAddress string, err error) {
	host, _, splitErr := net.SplitHostPort(remoteAddress) // the port differs with each connection
	if splitErr != nil {
		host = remoteAddress
	}
	if h.loggedErrors.add(host + err.Error()) {
		h.log.Info("malformed heartbeat", "remote_host", host, "error", err)
	}
}

// maxLoggedErrors bounds the malformed heartbeats that are logged.
const maxLoggedErrors = 1000

// logDeduplicator remembers what has been logged, so that a worker that repeats a
// malformed heartbeat does not fill the log.
type logDeduplicator struct {
	mu   sync.Mutex
	seen map[string]bool
}

// add tells whether the key is new and there is room for it.
func (d *logDeduplicator) add(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.seen[key] || len(d.seen) > maxLoggedErrors {
		return false
	}
	d.seen[key] = true
	return true
}
