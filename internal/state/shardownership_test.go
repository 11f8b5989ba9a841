package state

import (
	"testing"

	"stairrelay/internal/cluster"
)

// TestBackoffGrowsWithOwnerChanges checks that two controllers that believe each other to
// have failed do not keep acquiring a shard from one another at a high rate.
func TestBackoffGrowsWithOwnerChanges(t *testing.T) {
	const (
		second         = cluster.Second
		duration       = 120 * second
		maxChanges     = 12 // after backoffs of 2, 4, 8, 16 and then 30 s
		minLastBackoff = 4 * second
	)
	shard := &Shard{}
	now := 100 * second
	shard.RecordOwnerChange(now)
	changes, lastBackoff := 0, cluster.Time(0)
	for end := now + duration; now < end; now += second / 10 {
		if shard.IsBackoffOver(now) {
			lastBackoff = now - shard.OwnershipChangedAt
			shard.RecordOwnerChange(now)
			changes++
		}
	}
	if changes == 0 || changes > maxChanges || lastBackoff < minLastBackoff {
		t.Errorf("%d owner changes in %d s, the last after a backoff of %d s; want at least one and at most %d, and a last backoff of at least %d s",
			changes, duration/second, lastBackoff/second, maxChanges, minLastBackoff/second)
	}
}

// TestBackoffAfterManyChanges checks that the backoff does not exceed its maximum, however
// often the shard changes owners within the window.
func TestBackoffAfterManyChanges(t *testing.T) {
	const now = 100 * cluster.Second
	shard := &Shard{}
	for changes := 1; changes <= 100; changes++ {
		shard.RecordOwnerChange(now)
		if changes < 5 {
			continue
		}
		if shard.IsBackoffOver(now+maxBackoff) || !shard.IsBackoffOver(now+maxBackoff+1) {
			t.Fatalf("after %d owner changes the backoff is not %d s", changes, maxBackoff/cluster.Second)
		}
	}
}

// TestBackoffForgetsOldChanges checks that owner changes before the window don't affect the
// backoff.
func TestBackoffForgetsOldChanges(t *testing.T) {
	shard := &Shard{}
	if !shard.IsBackoffOver(0) {
		t.Error("IsBackoffOver is false without any owner change")
	}
	for range 4 {
		shard.RecordOwnerChange(0)
	}
	shard.RecordOwnerChange(ownerChangeWindow)
	if len(shard.OwnerChanges) != 1 {
		t.Errorf("%d owner changes count after a minute, want 1", len(shard.OwnerChanges))
	}
	if at := ownerChangeWindow + 2*cluster.Second; shard.IsBackoffOver(at) || !shard.IsBackoffOver(at+1) {
		t.Error("the backoff after one owner change is not 2 s")
	}
}

// TestPostponeAcquisition checks that the backoff after corrupt records doubles each time
// up to its maximum.
func TestPostponeAcquisition(t *testing.T) {
	const now = 100 * cluster.Second
	shard := &Shard{}
	for i, want := range []cluster.Time{2, 4, 8, 16, 20, 20, 20} {
		shard.PostponeAcquisition(now)
		if got := shard.AcquireNotBefore - now; got != want*cluster.Second {
			t.Errorf("backoff %d is %d s, want %d s", i+1, got/cluster.Second, want)
		}
	}
}
