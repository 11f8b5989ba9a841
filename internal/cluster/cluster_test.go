package cluster

import "testing"

// TestParseTaskID checks that ParseTaskID inverts String, also for job IDs with slashes,
// and rejects malformed IDs.
func TestParseTaskID(t *testing.T) {
	for _, want := range []TaskID{{"j-1", 0}, {"a/b", 17}, {"/", 3}} {
		if got, ok := ParseTaskID(want.String()); !ok || got != want {
			t.Errorf("%q was parsed as %v, %v", want.String(), got, ok)
		}
	}
	for _, malformed := range []string{"", "j-1", "/3", "j-1/", "j-1/x", "j-1/-1"} {
		if got, ok := ParseTaskID(malformed); ok {
			t.Errorf("%q was parsed as %v", malformed, got)
		}
	}
}

// TestFloorAmount checks that decimal fractions are converted exactly, that fractions of
// a millionth are dropped, and that three NoLimit can be added.
func TestFloorAmount(t *testing.T) {
	for quantity, want := range map[float64]Amount{
		0:         0,
		0.3:       300_000,
		1.1:       1_100_000,
		4.35:      4_350_000,
		2.0000009: 2_000_000,
		64:        64_000_000,
	} {
		if got := FloorAmount(quantity); got != want {
			t.Errorf("FloorAmount(%v) = %d, want %d", quantity, got, want)
		}
	}
	if NoLimit+NoLimit+NoLimit < NoLimit {
		t.Error("the sum of three NoLimit overflows")
	}
}

// TestSeconds checks the conversion of a Time to seconds.
func TestSeconds(t *testing.T) {
	if got := (3*Second + 250*Millisecond).Seconds(); got != 3.25 {
		t.Errorf("Seconds() = %v, want 3.25", got)
	}
}

// TestAttempt checks that an attempt holds its base revision and count, and that an
// attempt with a later base revision is higher.
func TestAttempt(t *testing.T) {
	const maxCount = 1<<AttemptCountBits - 1
	last, next := NewAttempt(41, maxCount), NewAttempt(42, 0)
	if last.BaseRevision() != 41 || last.Count() != maxCount {
		t.Errorf("%d has count %d of base revision %d, want %d of 41", last, last.Count(), last.BaseRevision(), maxCount)
	}
	if next.BaseRevision() != 42 || next.Count() != 0 {
		t.Errorf("%d has count %d of base revision %d, want 0 of 42", next, next.Count(), next.BaseRevision())
	}
	if next != last+1 {
		t.Errorf("the first attempt with the next base revision is %d, want %d", next, last+1)
	}
}
