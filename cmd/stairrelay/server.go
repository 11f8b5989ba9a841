package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
)

// server is an HTTP server with the listener that it serves.
type server struct {
	listener net.Listener
	http     *http.Server
}

// listen opens the listener of a server on the address in a setting, which an error
// names.
func listen(ctx context.Context, setting, address string, httpServer *http.Server) (*server, error) {
	// The server's time-outs close connections without traffic; TCP keep-alives
	// would only add load.
	config := net.ListenConfig{KeepAlive: -1}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", setting, err)
	}
	return &server{listener: listener, http: httpServer}, nil
}

// serve serves connections until the server fails or is closed. What clients do wrong is
// logged at debug level.
func (s *server) serve(log *slog.Logger) error {
	s.http.ErrorLog = slog.NewLogLogger(log.Handler(), slog.LevelDebug)
	return s.http.Serve(s.listener)
}
