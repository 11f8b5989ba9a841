package peers

import (
	"io"
	"log/slog"
	"net/http"
	"sync"

	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
)

// Handler returns a handler of messages from other controllers.
func Handler(requester engine.Requester, log *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(http.MethodPost+" "+messagePath, &handler{requester: requester, log: log})
	return mux
}

type handler struct {
	requester    engine.Requester
	log          *slog.Logger
	loggedErrors sync.Map // texts of the errors that have been logged
}

// ServeHTTP passes a message to the controller and writes the message in the controller's
// response. The status is 400 if there is no response or it has no message.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxMessageSize))
	if err != nil {
		http.Error(w, "unreadable or too large", http.StatusBadRequest)
		return
	}
	message, err := Decode(data)
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
	data, err = Encode(*response.Peer)
	if err != nil {
		http.Error(w, "encoding", http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data) // fails if the other controller has disconnected
}

// logMalformed logs an error, but only once for each error text.
func (h *handler) logMalformed(remoteAddress string, err error) {
	if _, logged := h.loggedErrors.LoadOrStore(err.Error(), true); !logged {
		h.log.Info("rejected a malformed message from another controller", "remote_address", remoteAddress, "error", err)
	}
}
