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

// Handler returns a handler of workers' heartbeats.
func Handler(requester engine.Requester, log *slog.Logger) http.Handler {
	return &handler{requester: requester, log: log, loggedErrors: &logDeduplicator{seen: map[string]bool{}}}
}

type handler struct {
	requester    engine.Requester
	log          *slog.Logger
	loggedErrors *logDeduplicator
}

// ServeHTTP passes a heartbeat to the controller and writes the controller's response:
// commands, a redirection or an error.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodySize))
	if err != nil {
		h.logMalformed(r.RemoteAddr, err)
		h.rejectUnreadable(w, r, body)
		return
	}
	status, err := wire.DecodeHeartbeatStatus(body)
	if err != nil {
		h.logMalformed(r.RemoteAddr, err)
		http.Error(w, "malformed report", http.StatusBadRequest) // same text in all releases
		return
	}
	heartbeat := func(id messages.RequestID) messages.Event { return messages.Heartbeat{Request: id, Status: status} }
	response, answered := h.requester.Request(r.Context(), heartbeat)
	if !answered {
		http.Error(w, "given up", http.StatusServiceUnavailable) // no response; same text in all releases
		return
	}
	if response.Heartbeat == nil {
		http.Error(w, response.Error, int(response.Status))
		return
	}
	w.Header().Set("Content-Type", wire.ContentTypeJSON)
	w.WriteHeader(int(response.Status))
	// Writing fails if the worker has disconnected. It then gets the commands in response
	// to its next heartbeat.
	_, _ = w.Write(wire.EncodeHeartbeatResponse(response.Status, *response.Heartbeat))
}

// unreadableReason is the response to a heartbeat whose body can't be read or is too large.
const unreadableReason = "body unreadable or too large"

// rejectUnreadable rejects a heartbeat whose body can't be read or is too large. If the part
// of the body that was read names the machine, the controller is notified.
func (h *handler) rejectUnreadable(w http.ResponseWriter, r *http.Request, body []byte) {
	if machine, found := wire.DecodeMachineID(body); found && len(body) == wire.MaxBodySize {
		h.requester.Request(r.Context(), func(id messages.RequestID) messages.Event {
			return messages.OversizedHeartbeat{Request: id, Machine: machine, Reason: unreadableReason}
		})
	}
	http.Error(w, unreadableReason, http.StatusBadRequest)
}

// logMalformed logs an error unless the same error of the same host has been logged before
// or too many errors have been logged.
func (h *handler) logMalformed(remoteAddress string, err error) {
	host, _, splitErr := net.SplitHostPort(remoteAddress) // the port differs between connections
	if splitErr != nil {
		host = remoteAddress
	}
	if h.loggedErrors.add(host + err.Error()) {
		h.log.Info("rejected a malformed heartbeat", "remote_host", host, "error", err)
	}
}

// maxLoggedErrors limits the number of malformed heartbeats that are logged. Once more than
// maxLoggedErrors have been logged, no others are logged.
const maxLoggedErrors = 1000

// logDeduplicator records what has been logged, so that a worker that repeats a malformed
// heartbeat does not flood the log.
type logDeduplicator struct {
	mu   sync.Mutex
	seen map[string]bool
}

// add adds a key and reports whether it did. It does not add a key that was added before,
// nor any key once there are more than maxLoggedErrors keys.
func (d *logDeduplicator) add(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.seen[key] || len(d.seen) > maxLoggedErrors {
		return false
	}
	d.seen[key] = true
	return true
}
