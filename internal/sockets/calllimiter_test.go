package sockets

import (
	"fmt"
	"testing"
	"time"
)

// TestUnresponsiveAddressesDoNotBlockOthers checks that calls to unresponsive addresses
// leave slots for calls to responsive ones.
func TestUnresponsiveAddressesDoNotBlockOthers(t *testing.T) {
	const wait = time.Millisecond
	limiter := NewCallLimiter(4)
	release, ok := limiter.Acquire("unresponsive", wait)
	if !ok {
		t.Fatal("no slot for the first call")
	}
	release(false)
	if _, ok := limiter.Acquire("unresponsive", wait); !ok {
		t.Fatal("an unresponsive address is never called again")
	}
	if _, ok := limiter.Acquire("unresponsive", wait); ok {
		t.Error("two concurrent calls to an unresponsive address, want at most one")
	}
	for i := range 3 {
		if _, ok := limiter.Acquire(fmt.Sprint("responsive", i), wait); !ok {
			t.Errorf("no slot for call %d to a responsive address", i)
		}
	}
	if _, ok := limiter.Acquire("responsive3", wait); ok {
		t.Error("more concurrent calls than allowed")
	}
}
