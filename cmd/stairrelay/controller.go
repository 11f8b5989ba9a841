package main

import (
	"context"
	"errors"
	"log/slog"
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

// An idle connection is closed after idleHeartbeatIntervals heartbeat intervals, or after
// minIdleTimeout if that is longer.
const (
	idleHeartbeatIntervals = 4
	minIdleTimeout         = 15 * time.Second
)

// runController runs a controller until one of its servers fails or ctx ends, and returns
// the error of the server or of ctx. It also returns an error if the controller cannot be
// started.
func runController(ctx context.Context, config *settings.Settings) error {
	limitResources(config)
	log := newLogger()
	instanceID, err := newInstanceID()
	if err != nil {
		return err
	}
	config.Controller.InstanceID = instanceID
	eng := engine.New(config.Controller, config.CPUShare, log)
	budget := sockets.NewBudget(config.MaxConnections, len(config.PeerAddresses))
	executors := newExecutors(config, budget, eng.DeliverReply)

	servers, err := newServers(ctx, config, eng, budget, log)
	if err != nil {
		return err
	}
	defer servers.close()
	failed := servers.start(log)
	for _, warning := range config.Warnings {
		log.Warn("questionable setting", "warning", warning)
	}
	log.Info("started", "version", version, "node", string(config.Controller.Self), "listen", config.ListenAddress)

	ctx, stopEngine := context.WithCancel(ctx)
	defer stopEngine()
	go eng.Run(ctx, executors)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// newExecutors creates the clients that execute the controller's effects.
func newExecutors(config *settings.Settings, budget sockets.Budget, reply engine.ReplyFunc) engine.Executors {
	return engine.Executors{
		Store:   store.New(config.StoreAddress, reply).Do,
		Cloud:   cloud.New(config.CloudAddress, reply).Do,
		Workers: workers.New(budget.MaxWorkerCalls, reply).Do,
		Peers:   peers.New(config.PeerAddresses, reply).Do,
	}
}

// controllerServers holds the servers of a controller: one for users and workers, and one
// for the other controllers.
type controllerServers struct {
	public *server
	peers  *server
}

// newServers creates the servers and opens both of their ports. If it returns an error, no
// port is left open.
func newServers(
	ctx context.Context,
	config *settings.Settings,
	eng *engine.Engine,
	budget sockets.Budget,
	log *slog.Logger,
) (*controllerServers, error) {
	idleTimeout := max(idleHeartbeatIntervals*time.Duration(config.Controller.HeartbeatInterval), minIdleTimeout)
	publicLimiter := sockets.NewConnectionLimiter(budget.MaxInboundConnections)
	workerHandler := publicLimiter.WorkerMiddleware(workers.Handler(eng, log))
	publicHandler := users.Handler(eng, publicLimiter.UserMiddleware, workerHandler)
	peerLimiter := sockets.NewConnectionLimiter(0) // no limit, since sockets for the few peers are reserved
	peerHandler := peers.Handler(eng, log)

	public, err := listen(ctx, "listen", config.ListenAddress, publicLimiter.NewServer(publicHandler, idleTimeout))
	if err != nil {
		return nil, err
	}
	peerServer, err := listen(ctx, "back", config.PeerListenAddress, peerLimiter.NewServer(peerHandler, idleTimeout))
	if err != nil {
		return nil, errors.Join(err, public.listener.Close())
	}
	return &controllerServers{public: public, peers: peerServer}, nil
}

// start starts both servers and returns a channel that receives the error of each server
// when the server ends.
func (s *controllerServers) start(log *slog.Logger) <-chan error {
	all := []*server{s.public, s.peers}
	failed := make(chan error, len(all)) // buffered so that no goroutine blocks without a reader
	for _, server := range all {
		go func() { failed <- server.serve(log) }()
	}
	return failed
}

// close stops both servers immediately and ignores their errors.
func (s *controllerServers) close() {
	_ = s.public.http.Close()
	_ = s.peers.http.Close()
}
