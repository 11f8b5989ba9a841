package state

import (
	"testing"

	"stairrelay/internal/cluster"
)

// TestMutualAcquiresBackOff: two controllers each believe the other to have failed, and
// acquire a shard from one another. The pauses grow with the changes of owners, so
// that in between an owner has time to serve the shard.
func TestMutualAcquiresBackOff(t *testing.T) {
	const (
		second     = cluster.Second
		duration   = 120 * second
		most       = 12 // 2, 4, 8, 16 and then 30 s after the change before
		leastAtEnd = 4 * second
	)
	shard := &Shard{}
	now := 100 * second
	shard.RecordOwnerChange(now)
	changes, last := 0, cluster.Time(0)
	for end := now + duration; now < end; now += second / 10 {
		if shard.IsBackoffOver(now) {
			last = now - shard.OwnershipChangedAt
			shard.RecordOwnerChange(now)
			changes++
		}
	}
	if changes == 0 || changes > most || last < leastAtEnd {
		t.Errorf("%d changes of owners in %d s, the last after %d s; want at most %d, the last after %d s at least",
			changes, duration/second, last/second, most, leastAtEnd/second)
	}
}

// TestBackoffAfterManyChanges shows that the back-off stays at its bound however often
// the shard has changed owners within a minute.
func TestBackoffAfterManyChanges(t *testing.T) {
	const now = 100 * cluster.Second
	shard := &Shard{}
	for changes := 1; changes <= 100; changes++ {
		shard.RecordOwnerChange(now)
		if changes < 5 {
			continue
		}
		if shard.IsBackoffOver(now+maxBackoff) || !shard.IsBackoffOver(now+maxBackoff+1) {
			t.Fatalf("after %d changes the back-off is not %d s", changes, maxBackoff/cluster.Second)
		}
	}
}

// TestBackoffForgetsOldChanges shows that a change of owners counts for a minute.
func TestBackoffForgetsOldChanges(t *testing.T) {
	shard := &Shard{}
	if !shard.IsBackoffOver(0) {
		t.Error("no back-off without any change")
	}
	for range 4 {
		shard.RecordOwnerChange(0)
	}
	shard.RecordOwnerChange(ownerChangeWindow)
	if len(shard.OwnerChanges) != 1 {
		t.Errorf("%d changes count after a minute, want 1", len(shard.OwnerChanges))
	}
	if at := ownerChangeWindow + 2*cluster.Second; shard.IsBackoffOver(at) || !shard.IsBackoffOver(at+1) {
		t.Error("the back-off after one change is not 2 s")
	}
}

// TestPostponeAcquire shows the pauses after corrupt records: they double up to a bound.
func TestPostponeAcquire(t *testing.T) {
	const now = 100 * cluster.Second
	shard := &Shard{}
	for i, want := range []cluster.Time{2, 4, 8, 16, 20, 20, 20} {
		shard.PostponeAcquisition(now)
		if got := shard.AcquireNotBefore - now; got != want*cluster.Second {
			t.Errorf("pause %d is %d s, want %d s", i+1, got/cluster.Second, want)
		}
	}
}
