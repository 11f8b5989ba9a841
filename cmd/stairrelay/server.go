package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
)

// server is an HTTP server and its listener.
type server struct {
	listener net.Listener
	http     *http.Server
}

// listen opens a listener on an address and returns it with the HTTP server that is to
// serve it. An error is prefixed with setting, the name of the address in the settings.
func listen(ctx context.Context, setting, address string, httpServer *http.Server) (*server, error) {
	// TCP keep-alives are not needed, because the server's timeouts close connections
	// without traffic.
	config := net.ListenConfig{KeepAlive: -1}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", setting, err)
	}
	return &server{listener: listener, http: httpServer}, nil
}

// serve serves connections until the server fails or is closed. Errors of single connections
// are logged at debug level.
func (s *server) serve(log *slog.Logger) error {
	s.http.ErrorLog = slog.NewLogLogger(log.Handler(), slog.LevelDebug)
	return s.http.Serve(s.listener)
}
