package peers

import (
	"io"
	"log/slog"
	"net/http"
	"sync"

	"stairrelay/internal/core"
	"stairrelay/internal/engine"
)

// Handler serves the other controllers.
func Handler(asker engine.Asker, log *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(http.MethodPost+" "+path, &handler{asker: asker, log: log})
	return mux
}

type handler struct {
	asker  engine.Asker
	log    *slog.Logger
	logged sync.Map // the errors of malformed messages that are in the log
}

// ServeHTTP hands a message to the core and answers with its message.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	frame, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxFrame))
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
	ask := func(id core.ReqID) core.Event { return core.PeerAsk{Req: id, Msg: message} }
	answer, answered := h.asker.Ask(r.Context(), ask)
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
	if _, known := h.logged.LoadOrStore(err.Error(), true); !known {
		h.log.Info("malformed message from a controller", "from", sender, "error", err)
	}
}
