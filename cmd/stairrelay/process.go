package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"stairrelay/internal/settings"
)

const (
	// logLevelEnv is the environment variable for the minimum log level: error, info or
	// debug. The default is info.
	logLevelEnv = "LOG_LEVEL"
	// gcPercent is the heap growth, in percent, that triggers a garbage collection.
	gcPercent = 200
	// heapLimitShare is the fraction of the process's memory limit that is set as the
	// soft memory limit of the Go runtime. The rest is for memory that the runtime does
	// not count. Near the soft limit, frequent garbage collections keep the process from
	// being killed for lack of memory.
	heapLimitShare = 0.75
	bytesPerMB     = 1 << 20
	// instanceIDBytes is the length of the random ID that distinguishes this process
	// from earlier ones of the same controller.
	instanceIDBytes = 4
)

// limitResources configures the Go runtime for the resource limits of the process. Only one
// thread at a time executes Go code, as the process is meant to use less than one core.
func limitResources(config *settings.Settings) {
	runtime.GOMAXPROCS(1)
	if config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(config.MemoryMB * heapLimitShare * bytesPerMB))
	}
	debug.SetGCPercent(gcPercent)
}

// newLogger returns a logger that writes to standard error.
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

// newInstanceID returns a new random instance ID.
func newInstanceID() (string, error) {
	var id [instanceIDBytes]byte
	if _, err := rand.Read(id[:]); err != nil {
		return "", fmt.Errorf("generating an instance ID: %w", err)
	}
	return hex.EncodeToString(id[:]), nil
}
