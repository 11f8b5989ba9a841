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

// listen opens a server's listener on an address. The setting is the name of the address in
// the settings, which prefixes an error.
func listen(ctx context.Context, setting, address string, httpServer *http.Server) (*server, error) {
	// TCP keep-alives would only add load, because the server's timeouts close connections
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
