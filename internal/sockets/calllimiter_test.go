package sockets

import (
	"fmt"
	"testing"
	"time"
)

// TestUnresponsiveAddressesDoNotBlockOthers checks that calls to unresponsive addresses
// leave slots for calls to responsive ones.
func TestUnresponsiveAddressesDoNotBlockOthers(t *testing.T) {
	const timeout = time.Millisecond
	limiter := NewCallLimiter(4)
	release, ok := limiter.Acquire("unresponsive", timeout)
	if !ok {
		t.Fatal("no slot for the first call")
	}
	release(false)
	if _, ok := limiter.Acquire("unresponsive", timeout); !ok {
		t.Fatal("no slot for a call to an unresponsive address")
	}
	if _, ok := limiter.Acquire("unresponsive", timeout); ok {
		t.Error("two concurrent calls to an unresponsive address, want at most one")
	}
	for i := range 3 {
		if _, ok := limiter.Acquire(fmt.Sprint("responsive", i), timeout); !ok {
			t.Errorf("no slot for call %d to a responsive address", i)
		}
	}
	if _, ok := limiter.Acquire("responsive3", timeout); ok {
		t.Error("more concurrent calls than allowed")
	}
}
