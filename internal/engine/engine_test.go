package engine

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"stairrelay/internal/core"
)

// The core must hear that the process is near its share, and that it no longer
// is; in between and at ease it is not bothered.
func TestLoadTold(t *testing.T) {
	e := New(core.Config{Self: "n0", Nodes: []core.NodeID{"n0"}, ValueBytes: 4096, TxnOps: 12, Tuning: core.DefaultTuning()}, 0.1, slog.New(slog.NewTextHandler(io.Discard, nil)))
	look := func(used, lag time.Duration) (core.Load, bool) {
		e.load.since = time.Now().Add(-2 * time.Second)
		e.load.cpuThen, _ = processorTime()
		e.load.cpuThen -= used
		e.load.lag = lag
		return e.load.measure()
	}
	if l, ok := look(0, 0); ok {
		t.Errorf("told at ease: %+v", l)
	}
	if l, ok := look(190*time.Millisecond, 0); !ok || l.Busy < 0.9 || l.Busy > 1.5 { // 0.095 of a core of 0.1
		t.Errorf("near the share: %+v, told %v", l, ok)
	}
	if _, ok := e.load.measure(); ok {
		t.Error("told again within the second")
	}
	if l, ok := look(0, 0); !ok || l.Busy > 0.5 {
		t.Errorf("at ease again: %+v, told %v", l, ok)
	}
	if l, ok := look(0, time.Second); !ok || l.Lag != core.Time(time.Second) {
		t.Errorf("a second behind: %+v, told %v", l, ok)
	}
}
