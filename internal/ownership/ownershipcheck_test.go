package ownership

import (
	"fmt"
	"slices"
	"testing"

	"stairrelay/internal/messages"
)

// TestOwnershipChecksShareReads checks that pending ownership checks share a read, and
// that a read does not answer a check requested after its start.
func TestOwnershipChecksShareReads(t *testing.T) {
	m := newTestManager()
	shard := m.ownShard(0)
	var answered []string
	ask := func(name string) {
		m.ConfirmOwnership(shard, func(owned bool) { answered = append(answered, fmt.Sprint(name, " ", owned)) })
	}
	ask("first")
	ask("second")
	m.advanceTo(m.loop.Now())
	read := onlyEffect[messages.StoreGet](t, m)
	ask("third")
	kv := claimKV(0, "n0", 1, "b0-1", 30)
	m.reply(read.Call, messages.GetReply{Outcome: messages.OK, KV: kv})
	if want := []string{"first true", "second true"}; !slices.Equal(answered, want) {
		t.Errorf("answered %v, want %v", answered, want)
	}
	if shard.ConfirmedAt != m.loop.Now() {
		t.Errorf("confirmed as of %v, want now", shard.ConfirmedAt)
	}

	m.advanceTo(m.loop.Now() + minCheckInterval - 1)
	if early := effectsOf[messages.StoreGet](m); len(early) > 0 {
		t.Error("read again before the minimum interval has passed")
	}
	m.advanceTo(m.loop.Now() + 1)
	read = onlyEffect[messages.StoreGet](t, m)
	m.reply(read.Call, messages.GetReply{Outcome: messages.UnknownOutcome})
	if want := []string{"first true", "second true", "third false"}; !slices.Equal(answered, want) {
		t.Errorf("answered %v, want %v", answered, want)
	}
}

// TestOwnershipCheckDuringOutage checks that an ownership check reports false
// immediately, without a read, while the store is unavailable.
func TestOwnershipCheckDuringOutage(t *testing.T) {
	m := newTestManager()
	shard := m.ownShard(0)
	m.failStoreSince(m.loop.Now() - 2*second)
	results := 0
	m.ConfirmOwnership(shard, func(owned bool) {
		results++
		if owned {
			t.Error("ownership confirmed")
		}
	})
	if results != 1 || len(effectsOf[messages.StoreGet](m)) > 0 {
		t.Errorf("%d results and %d reads, want one result and no read", results, len(effectsOf[messages.StoreGet](m)))
	}
}
