package engine

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"

	"stairrelay/internal/controller"
)

// The core must hear that the process is near its share, and that it no longer
// is; in between and at ease it is not bothered.
func TestLoadReported(t *testing.T) {
	e := New(controller.Config{Self: "n0", Nodes: []cluster.NodeID{"n0"}, MaxValueBytes: 4096, MaxTxnOps: 12, Tuning: controller.DefaultTuning()}, 0.1, slog.New(slog.NewTextHandler(io.Discard, nil)))
	look := func(used, lag time.Duration) (messages.ProcessLoad, bool) {
		e.load.windowStart = time.Now().Add(-2 * time.Second)
		e.load.windowStartCPU, _ = processCPUTime()
		e.load.windowStartCPU -= used
		e.load.worstLag = lag
		return e.load.measure()
	}
	if l, ok := look(0, 0); ok {
		t.Errorf("told at ease: %+v", l)
	}
	if l, ok := look(190*time.Millisecond, 0); !ok || l.CPUUsage < 0.9 || l.CPUUsage > 1.5 { // 0.095 of a core of 0.1
		t.Errorf("near the share: %+v, told %v", l, ok)
	}
	if _, ok := e.load.measure(); ok {
		t.Error("told again within the second")
	}
	if l, ok := look(0, 0); !ok || l.CPUUsage > 0.5 {
		t.Errorf("at ease again: %+v, told %v", l, ok)
	}
	if l, ok := look(0, time.Second); !ok || l.EventDelay != cluster.Time(time.Second) {
		t.Errorf("a second behind: %+v, told %v", l, ok)
	}
}
