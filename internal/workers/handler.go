package workers

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"stairrelay/internal/core"
	"stairrelay/internal/engine"
	"stairrelay/internal/wire"
)

// Handler serves POST /checkin, a worker's report.
func Handler(asker engine.Asker, log *slog.Logger) http.Handler {
	return &handler{asker: asker, log: log, logged: &onceSet{seen: map[string]bool{}}}
}

type handler struct {
	asker  engine.Asker
	log    *slog.Logger
	logged *onceSet
}

// ServeHTTP hands the report to the core and answers with its commands.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
	if err != nil {
		h.logMalformed(r.RemoteAddr, err)
		http.Error(w, "body unreadable or too large", http.StatusBadRequest)
		return
	}
	report, err := wire.DecodeReport(body)
	if err != nil {
		h.logMalformed(r.RemoteAddr, err)
		http.Error(w, "malformed report", http.StatusBadRequest)
		return
	}
	checkin := func(id core.ReqID) core.Event { return core.Checkin{Req: id, Report: report} }
	answer, answered := h.asker.Ask(r.Context(), checkin)
	if !answered {
		http.Error(w, "given up", http.StatusServiceUnavailable)
		return
	}
	if answer.Worker == nil {
		http.Error(w, answer.Error, int(answer.Status))
		return
	}
	w.Header().Set("Content-Type", wire.JSON)
	w.WriteHeader(int(answer.Status))
	_, _ = w.Write(wire.EncodeWorkerAnswer(answer.Status, *answer.Worker))
}

func (h *handler) logMalformed(sender string, err error) {
	host, _, splitErr := net.SplitHostPort(sender) // its port differs with each connection
	if splitErr != nil {
		host = sender
	}
	if h.logged.add(host + err.Error()) {
		h.log.Info("malformed report", "from", host, "error", err)
	}
}

// maxLogged bounds the malformed reports that are logged.
const maxLogged = 1000

// onceSet remembers what has been logged, so that a sender that repeats itself
// fills no log.
type onceSet struct {
	mu   sync.Mutex
	seen map[string]bool
}

// add tells whether the key is new and there is room for it.
func (s *onceSet) add(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen[key] || len(s.seen) > maxLogged {
		return false
	}
	s.seen[key] = true
	return true
}
