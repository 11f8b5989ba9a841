package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"stairrelay/internal/cloud"
	"stairrelay/internal/engine"
	"stairrelay/internal/peers"
	"stairrelay/internal/settings"
	"stairrelay/internal/sockets"
	"stairrelay/internal/store"
	"stairrelay/internal/users"
	"stairrelay/internal/workers"
)

const (
	// logLevelEnv names the least level that is logged: error, info or debug.
	logLevelEnv = "LOG_LEVEL"
	// gcPercent is how much the heap may grow between two collections.
	gcPercent = 200
	// heapLimitShare is the share of the memory limit for what the garbage collector
	// sees; stacks and the runtime fit beside it. Near the limit it runs all the
	// time, so that the limit costs processor time first.
	heapLimitShare = 0.75
	bytesPerMB     = 1 << 20
	// bootIDLength is the length in bytes of what tells this process from others.
	bootIDLength = 4
	// A connection is closed when it says nothing for so many reports, but for
	// not less than the least time.
	idleHeartbeats = 4
	minIdleTimeout = 15 * time.Second
	// serverCount is the number of servers that may fail.
	serverCount = 2
)

// runController runs a controller until one of its servers fails.
func runController(ctx context.Context, config *settings.Settings) error {
	limitResources(config)
	log := newLogger()
	bootID, err := newBootID()
	if err != nil {
		return err
	}
	config.Controller.InstanceID = bootID
	eng := engine.New(config.Controller, config.CPUShare, log)
	plan := sockets.NewBudget(config.MaxConnections, len(config.PeerAddresses))
	actors := newExecutors(config, plan, eng.DeliverReply)
	frontListener, err := listen(ctx, "listen", config.ListenAddress)
	if err != nil {
		return err
	}
	backListener, err := listen(ctx, "back", config.PeerListenAddress)
	if err != nil {
		return err
	}
	front := sockets.NewConnectionLimiter(plan.Inbound)
	frontHandler := users.Handler(eng, front.UserMiddleware, front.WorkerMiddleware(workers.Handler(eng, log)))
	back := sockets.NewConnectionLimiter(0)
	backHandler := peers.Handler(eng, log)
	idleTimeout := max(idleHeartbeats*time.Duration(config.Controller.HeartbeatInterval), minIdleTimeout)
	failed := make(chan error, serverCount)
	go func() { failed <- serve(frontListener, front.NewServer(frontHandler, idleTimeout), log) }()
	go func() { failed <- serve(backListener, back.NewServer(backHandler, idleTimeout), log) }()
	for _, warning := range config.Warnings {
		log.Warn("odd setting", "what", warning)
	}
	log.Info("started", "version", version, "node", string(config.Controller.Self), "listen", config.ListenAddress)
	go eng.Run(ctx, actors)
	return <-failed
}

// limitResources keeps the process within its share of the machine: the share
// of a processor core is small, so only one thread runs at a time.
func limitResources(config *settings.Settings) {
	runtime.GOMAXPROCS(1)
	if config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(config.MemoryMB * heapLimitShare * bytesPerMB))
	}
	debug.SetGCPercent(gcPercent)
}

func newLogger() *slog.Logger {
	level := slog.LevelInfo
	switch os.Getenv(logLevelEnv) {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

func newBootID() (string, error) {
	var id [bootIDLength]byte
	if _, err := rand.Read(id[:]); err != nil {
		return "", fmt.Errorf("drawing a boot id: %w", err)
	}
	return hex.EncodeToString(id[:]), nil
}

func newExecutors(config *settings.Settings, plan sockets.Budget, reply engine.ReplyFunc) engine.Executors {
	return engine.Executors{
		Store:   store.New(config.StoreAddress, reply).Do,
		Cloud:   cloud.New(config.CloudAddress, reply).Do,
		Workers: workers.New(plan.Calls, reply).Do,
		Peers:   peers.New(config.PeerAddresses, reply).Do,
	}
}

// listen opens a listener for the address of a setting. Silent connections are
// closed by the server's time-outs; probing them besides would only cost.
func listen(ctx context.Context, setting, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", setting, err)
	}
	return listener, nil
}

func serve(listener net.Listener, server *http.Server, log *slog.Logger) error {
	server.ErrorLog = slog.NewLogLogger(log.Handler(), slog.LevelDebug)
	return server.Serve(listener)
}
