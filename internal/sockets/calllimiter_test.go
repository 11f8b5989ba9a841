package sockets

import (
	"fmt"
	"testing"
	"time"
)

// TestUnresponsiveMachinesDoNotBlockOthers checks that calls to many machines which do
// not answer leave room for calls to others.
func TestUnresponsiveMachinesDoNotBlockOthers(t *testing.T) {
	const wait = time.Millisecond
	limiter := NewCallLimiter(4)
	release, ok := limiter.Acquire("unresponsive", wait)
	if !ok {
		t.Fatal("no slot at the start")
	}
	release(false)
	if _, ok := limiter.Acquire("unresponsive", wait); !ok {
		t.Fatal("an unresponsive address is never called again")
	}
	if _, ok := limiter.Acquire("unresponsive", wait); ok {
		t.Error("two calls to unresponsive addresses at once")
	}
	for i := range 3 {
		if _, ok := limiter.Acquire(fmt.Sprint("responsive", i), wait); !ok {
			t.Errorf("call %d to an address that answers was delayed", i)
		}
	}
	if _, ok := limiter.Acquire("responsive3", wait); ok {
		t.Error("more calls at once than allowed")
	}
}
