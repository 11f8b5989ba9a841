package cluster

import "testing"

// TestParseTask: what String writes is read back, job ids with slashes too.
func TestParseTask(t *testing.T) {
	for _, want := range []TaskID{{"j-1", 0}, {"a/b", 17}, {"/", 3}} {
		if got, ok := ParseTaskID(want.String()); !ok || got != want {
			t.Errorf("%q came back as %v, %v", want.String(), got, ok)
		}
	}
	for _, bad := range []string{"", "j-1", "/3", "j-1/", "j-1/x", "j-1/-1"} {
		if got, ok := ParseTaskID(bad); ok {
			t.Errorf("%q was read as %v", bad, got)
		}
	}
}

// TestFloorAmount: decimal fractions keep their value, and nothing is rounded up.
func TestFloorAmount(t *testing.T) {
	for stated, want := range map[float64]Amount{0: 0, 0.3: 300_000, 1.1: 1_100_000, 2.0000009: 2_000_000, 64: 64_000_000, 4.35: 4_350_000} {
		if got := FloorAmount(stated); got != want {
			t.Errorf("%v gave %d, want %d", stated, got, want)
		}
	}
	if NoLimit+NoLimit+NoLimit < NoLimit {
		t.Error("sums with NoLimit overflow")
	}
}

// TestSeconds: Time counts nanoseconds.
func TestSeconds(t *testing.T) {
	if s := (3*Second + 250*Millisecond).Seconds(); s != 3.25 {
		t.Errorf("3.25 s came out as %v", s)
	}
}

// TestAttempt: an attempt shows its claim and its number, and a later claim's
// are higher than all of an earlier one.
func TestAttempt(t *testing.T) {
	const most = 1<<AttemptCountBits - 1
	a, b := NewAttempt(41, most), NewAttempt(42, 0)
	if a.Claim() != 41 || a.Count() != most || b.Claim() != 42 || b.Count() != 0 {
		t.Errorf("%d is claim %d, count %d; %d is claim %d, count %d", a, a.Claim(), a.Count(), b, b.Claim(), b.Count())
	}
	if b != a+1 {
		t.Errorf("%d doesn't follow %d", b, a)
	}
}
