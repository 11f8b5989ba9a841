// Command stairrelay is a cluster scheduler: controllers that share parts of
// the work and take each other's over.
package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"stairrelay/internal/cloud"
	"stairrelay/internal/engine"
	"stairrelay/internal/peers"
	"stairrelay/internal/settings"
	"stairrelay/internal/sockets"
	"stairrelay/internal/store"
	"stairrelay/internal/users"
	"stairrelay/internal/workers"
)

// version is the release; the build's own stamp is added where there is one.
const version = "0.1.0"

// operatorsEnv names the operators' settings file, since the platform fixes
// the command line.
const operatorsEnv = "STAIRRELAY_OPERATORS"

// errSettings ends the program with status 2.
var errSettings = errors.New("")

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "stairrelay:", err)
		if errors.Is(err, errSettings) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var config, operators string
	root := &cobra.Command{
		Use:           "stairrelay --config FILE",
		Short:         "Run a controller of the cluster scheduler",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if config == "" {
				return fmt.Errorf("%w--config: missing; see --help", errSettings)
			}
			s, err := settings.Load(config, operators)
			if err != nil {
				return fmt.Errorf("%w%w", errSettings, err)
			}
			return run(cmd.Context(), s)
		},
	}
	root.Flags().StringVar(&config, "config", "", "the platform's settings file (TOML)")
	root.PersistentFlags().StringVar(&operators, "operators", os.Getenv(operatorsEnv), "the operators' settings file (JSON); also "+operatorsEnv)
	root.AddCommand(&cobra.Command{
		Use:   "check-config FILE",
		Short: "Check the settings and open nothing",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.Load(args[0], operators)
			if err != nil {
				return fmt.Errorf("%w%w", errSettings, err)
			}
			for _, o := range s.Warnings {
				fmt.Fprintln(cmd.ErrOrStderr(), "odd:", o)
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return nil
		},
	}, &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "stairrelay", version) },
	})
	root.CompletionOptions.DisableDefaultCmd = true
	return root
}

func logger() *slog.Logger {
	level := slog.LevelInfo
	switch os.Getenv("LOG_LEVEL") {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

func run(ctx context.Context, s *settings.Settings) error {
	// The share of a core is small and only one thread runs at a time.
	runtime.GOMAXPROCS(1)
	if s.MemoryMB > 0 {
		// What the collector does not see (stacks, the runtime) fits beside it. Near the
		// limit it runs all the time, so that the limit costs processor time first.
		debug.SetMemoryLimit(int64(s.MemoryMB * 0.75 * (1 << 20)))
	}
	debug.SetGCPercent(200)
	log := logger()
	var boot [4]byte
	if _, err := rand.Read(boot[:]); err != nil {
		return fmt.Errorf("drawing a boot id: %w", err)
	}
	s.Core.Boot = hex.EncodeToString(boot[:])
	e := engine.New(s.Core, s.CoreShare, log)
	plan := sockets.MakePlan(s.Connections, len(s.Peers))
	st, cl, wk, pe := store.New(s.State, e.Answer), cloud.New(s.Cloud, e.Answer), workers.New(plan.Calls, e.Answer), peers.New(s.Peers, e.Answer)
	// Silent connections are closed by the server's time-outs; probing them
	// besides would only cost.
	listen := net.ListenConfig{KeepAlive: -1}
	front, err := listen.Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	back, err := listen.Listen(ctx, "tcp", s.Back)
	if err != nil {
		return fmt.Errorf("back: %w", err)
	}
	failed := make(chan error, 2)
	serve := func(l net.Listener, f *sockets.Front, h http.Handler) {
		srv := f.Server(h, max(4*time.Duration(s.Core.ReportEvery), 15*time.Second))
		srv.ErrorLog = slog.NewLogLogger(log.Handler(), slog.LevelDebug)
		failed <- srv.Serve(l)
	}
	f := sockets.NewFront(plan.Front)
	go serve(front, f, users.Handler(e, f.Users, workers.Handler(e, log)))
	go serve(back, sockets.NewFront(0), peers.Handler(e, log))
	for _, o := range s.Warnings {
		log.Warn("odd setting", "what", o)
	}
	log.Info("started", "version", version, "node", string(s.Core.Self), "listen", s.Listen)
	go e.Run(ctx, engine.Actors{Store: st.Do, Cloud: cl.Do, Workers: wk.Do, Peers: pe.Do})
	return <-failed
}
