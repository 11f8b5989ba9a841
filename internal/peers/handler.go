package peers

import (
	"io"
	"log/slog"
	"net/http"
	"sync"

	"stairrelay/internal/messages"

	"stairrelay/internal/engine"
)

// Handler serves the other controllers.
func Handler(asker engine.Requester, log *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(http.MethodPost+" "+messagePath, &handler{requester: asker, log: log})
	return mux
}

type handler struct {
	requester    engine.Requester
	log          *slog.Logger
	loggedErrors sync.Map // the errors of malformed messages that are in the log
}

// ServeHTTP hands a message to the core and answers with its message.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	frame, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxMessageSize))
	if err != nil {
		http.Error(w, "unreadable or too large", http.StatusBadRequest)
		return
	}
	message, err := Decode(frame)
	if err != nil {
		h.logMalformed(r.RemoteAddr, err)
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	ask := func(id messages.RequestID) messages.Event { return messages.PeerRequest{Request: id, Message: message} }
	answer, answered := h.requester.Request(r.Context(), ask)
	if !answered || answer.Peer == nil {
		http.Error(w, answer.Error, http.StatusBadRequest)
		return
	}
	frame, err = Encode(*answer.Peer)
	if err != nil {
		http.Error(w, "encoding", http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(frame)
}

// logMalformed logs each kind of error once.
func (h *handler) logMalformed(sender string, err error) {
	if _, known := h.loggedErrors.LoadOrStore(err.Error(), true); !known {
		h.log.Info("malformed message from a controller", "from", sender, "error", err)
	}
}
