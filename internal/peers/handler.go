package peers

import (
	"io"
	"log/slog"
	"net/http"
	"sync"

	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
)

// Handler serves the messages of the other controllers.
func Handler(requester engine.Requester, log *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(http.MethodPost+" "+messagePath, &handler{requester: requester, log: log})
	return mux
}

type handler struct {
	requester    engine.Requester
	log          *slog.Logger
	loggedErrors sync.Map // the texts of the errors that are in the log
}

// ServeHTTP hands a message to the controller and answers with its message.
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
	request := func(id messages.RequestID) messages.Event { return messages.PeerRequest{Request: id, Message: message} }
	response, answered := h.requester.Request(r.Context(), request)
	if !answered || response.Peer == nil {
		http.Error(w, response.Error, http.StatusBadRequest)
		return
	}
	frame, err = Encode(*response.Peer)
	if err != nil {
		http.Error(w, "encoding", http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(frame) // fails if the other controller has given the call up
}

// logMalformed logs each kind of error once.
func (h *handler) logMalformed(remoteAddress string, err error) {
	if _, logged := h.loggedErrors.LoadOrStore(err.Error(), true); !logged {
		h.log.Info("malformed message from a controller", "remote_address", remoteAddress, "error", err)
	}
}
