package ownership

import (
	"testing"

	"stairrelay/internal/cluster"
)

// TestBound: the last answer's lease is over within cancelWithin, whatever the
// clocks do within the protocol's drift.
func TestBound(t *testing.T) {
	for _, x := range []struct{ cancelWithin, lease, want cluster.Time }{
		{37 * second, 22 * second, 13*second - 59*cluster.Millisecond},
		{18 * second, 12 * second, 4*second - 30*cluster.Millisecond},
		{20 * second, 20 * second, -2*second - 40*cluster.Millisecond},
	} {
		got := AnswerWindow(x.cancelWithin, x.lease)
		if got != x.want {
			t.Errorf("cancel within %.0f s, lease %.0f s: %.3f s, want %.3f s",
				x.cancelWithin.Seconds(), x.lease.Seconds(), got.Seconds(), x.want.Seconds())
		}
		const protocolDrift = 0.0005
		slowest := cluster.Time(float64(got+x.lease) * (1 + 2*protocolDrift))
		if end := slowest + stopMargin; end > x.cancelWithin {
			t.Errorf("a task may live until %.3f s of %.0f", end.Seconds(), x.cancelWithin.Seconds())
		}
	}
}

// TestAges: up to which age of the certainty what is allowed.
func TestAges(t *testing.T) {
	const cancelWithin, lease = 37 * second, 22 * second
	bound := AnswerWindow(cancelWithin, lease)
	if !CanAnswer(bound, cancelWithin, lease) || CanAnswer(bound+1, cancelWithin, lease) {
		t.Error("answers are not given up to the bound exactly")
	}
	// With settings that leave too little, calls each second must suffice.
	if !CanAnswer(4*second, 20*second, 20*second) || CanAnswer(4*second+1, 20*second, 20*second) {
		t.Error("settings that leave nothing don't leave the least")
	}
	if !CanStart(5*second) || CanStart(5*second+1) {
		t.Error("starts are not sent up to five seconds exactly")
	}
	if NeedsRenewal(2*second) || !NeedsRenewal(2*second+1) {
		t.Error("the store is not asked from two seconds on")
	}
}

// TestCertainAt: a certainty is as old as the oldest word, unless the store has
// shown the claim later; a word that doesn't cover the claim leaves the store.
func TestCertainAt(t *testing.T) {
	const now, proven = 200 * second, 100 * second
	claim := Claim{ShardID: 1, Term: 5, ConfirmedAt: proven}
	terms := func(ofPart cluster.Term) []cluster.Term { return []cluster.Term{9, ofPart, 9} }
	good := Acknowledgement{SentAt: 190 * second, InstanceSeenAt: 50 * second, Terms: terms(5)}
	for _, x := range []struct {
		name  string
		words []Acknowledgement
		want  cluster.Time
	}{
		{"alone", nil, now},
		{"both of two", []Acknowledgement{good, {SentAt: 180 * second, Terms: terms(5)}}, 180 * second},
		{"the older first", []Acknowledgement{{SentAt: 180 * second, Terms: terms(5)}, good}, 180 * second},
		{"an earlier term known", []Acknowledgement{good, {SentAt: 180 * second, Terms: terms(4)}}, 180 * second},
		{"older than the store's", []Acknowledgement{good, {SentAt: 90 * second, Terms: terms(5)}}, proven},
		{"none of one", []Acknowledgement{good, {Terms: terms(5)}}, proven},
		{"a later term known", []Acknowledgement{good, {SentAt: 180 * second, Terms: terms(6)}}, proven},
		{"the first of two doesn't cover it", []Acknowledgement{{SentAt: 180 * second, Terms: terms(6)}, good}, proven},
		{"an older release", []Acknowledgement{good, {SentAt: 180 * second}}, proven},
		{"knows fewer parts", []Acknowledgement{good, {SentAt: 180 * second, Terms: []cluster.Term{5}}}, proven},
		{"a run as old as the proof", []Acknowledgement{good, {SentAt: 180 * second, InstanceSeenAt: proven, Terms: terms(5)}}, 180 * second},
		{"a later run", []Acknowledgement{good, {SentAt: 180 * second, InstanceSeenAt: proven + 1, Terms: terms(5)}}, proven},
	} {
		if got := claim.LastConfirmedAt(now, x.words); got != x.want {
			t.Errorf("%s: certain as of %.0f s, want %.0f s", x.name, got.Seconds(), x.want.Seconds())
		}
	}
}
