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
	// logLevelEnv is the environment variable for the least level that is logged:
	// error, info or debug. Info is the default.
	logLevelEnv = "LOG_LEVEL"
	// gcPercent is the growth of the heap between two garbage collections.
	gcPercent = 200
	// heapLimitShare is the share of the process's memory that the garbage collector
	// may let the Go runtime use; the rest is for what it does not count. Near this
	// limit the collector runs all the time, so that a shortage costs processor time
	// before it costs the process.
	heapLimitShare = 0.75
	bytesPerMB     = 1 << 20
	// instanceIDBytes is the length of the id that distinguishes this process from
	// others of the same controller.
	instanceIDBytes = 4
)

// limitResources keeps the process within its share of the machine. It may use only a
// fraction of a processor core, so one thread at a time runs Go code.
func limitResources(config *settings.Settings) {
	runtime.GOMAXPROCS(1)
	if config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(config.MemoryMB * heapLimitShare * bytesPerMB))
	}
	debug.SetGCPercent(gcPercent)
}

// newLogger returns the logger of the process, which writes to standard error.
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

// newInstanceID returns a random id for this process.
func newInstanceID() (string, error) {
	var id [instanceIDBytes]byte
	if _, err := rand.Read(id[:]); err != nil {
		return "", fmt.Errorf("generating an instance id: %w", err)
	}
	return hex.EncodeToString(id[:]), nil
}
