package workers

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"stairrelay/internal/messages"

	"stairrelay/internal/engine"
	"stairrelay/internal/wire"
)

// Handler serves POST /checkin, a worker's report.
func Handler(asker engine.Requester, log *slog.Logger) http.Handler {
	return &handler{requester: asker, log: log, loggedErrors: &logDeduplicator{seen: map[string]bool{}}}
}

type handler struct {
	requester    engine.Requester
	log          *slog.Logger
	loggedErrors *logDeduplicator
}

// ServeHTTP hands the report to the core and answers with its commands.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodySize))
	if err != nil {
		h.logMalformed(r.RemoteAddr, err)
		http.Error(w, "body unreadable or too large", http.StatusBadRequest)
		return
	}
	report, err := wire.DecodeHeartbeatStatus(body)
	if err != nil {
		h.logMalformed(r.RemoteAddr, err)
		http.Error(w, "malformed report", http.StatusBadRequest)
		return
	}
	checkin := func(id messages.RequestID) messages.Event { return messages.Heartbeat{Request: id, Status: report} }
	answer, answered := h.requester.Request(r.Context(), checkin)
	if !answered {
		http.Error(w, "given up", http.StatusServiceUnavailable)
		return
	}
	if answer.Heartbeat == nil {
		http.Error(w, answer.Error, int(answer.Status))
		return
	}
	w.Header().Set("Content-Type", wire.ContentTypeJSON)
	w.WriteHeader(int(answer.Status))
	_, _ = w.Write(wire.EncodeHeartbeatResponse(answer.Status, *answer.Heartbeat))
}

func (h *handler) logMalformed(sender string, err error) {
	host, _, splitErr := net.SplitHostPort(sender) // its port differs with each connection
	if splitErr != nil {
		host = sender
	}
	if h.loggedErrors.add(host + err.Error()) {
		h.log.Info("malformed report", "from", host, "error", err)
	}
}

// maxLoggedErrors bounds the malformed reports that are logged.
const maxLoggedErrors = 1000

// logDeduplicator remembers what has been logged, so that a sender that repeats itself
// fills no log.
type logDeduplicator struct {
	mu   sync.Mutex
	seen map[string]bool
}

// add tells whether the key is new and there is room for it.
func (s *logDeduplicator) add(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen[key] || len(s.seen) > maxLoggedErrors {
		return false
	}
	s.seen[key] = true
	return true
}
