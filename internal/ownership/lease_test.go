package ownership

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/membership"
)

// TestAnswerWindow checks that the worker lease that the last answer renews expires
// within cancelWithin, whatever the clocks do within the protocol's drift.
func TestAnswerWindow(t *testing.T) {
	for _, test := range []struct{ cancelWithin, lease, want cluster.Time }{
		{37 * second, 22 * second, 13*second - 59*cluster.Millisecond},
		{18 * second, 12 * second, 4*second - 30*cluster.Millisecond},
		{20 * second, 20 * second, -2*second - 40*cluster.Millisecond},
	} {
		got := AnswerWindow(test.cancelWithin, test.lease)
		if got != test.want {
			t.Errorf("cancel within %.0f s, lease %.0f s: %.3f s, want %.3f s",
				test.cancelWithin.Seconds(), test.lease.Seconds(), got.Seconds(), test.want.Seconds())
		}
		const protocolDrift = 0.0005
		slowest := cluster.Time(float64(got+test.lease) * (1 + 2*protocolDrift))
		if end := slowest + stopMargin; end > test.cancelWithin {
			t.Errorf("a task may run for %.3f s, longer than %.0f s", end.Seconds(), test.cancelWithin.Seconds())
		}
	}
}

// TestWindows checks up to which age of the last confirmation answers and starts are
// allowed, and from which on the store is read.
func TestWindows(t *testing.T) {
	const cancelWithin, lease = 37 * second, 22 * second
	window := AnswerWindow(cancelWithin, lease)
	if !CanAnswer(window, cancelWithin, lease) || CanAnswer(window+1, cancelWithin, lease) {
		t.Error("answers are not allowed up to the window exactly")
	}
	// With settings that leave too little, peer calls each second must suffice.
	if !CanAnswer(4*second, 20*second, 20*second) || CanAnswer(4*second+1, 20*second, 20*second) {
		t.Error("with settings that leave no window, answers are not allowed up to MinAnswerWindow exactly")
	}
	if !CanStart(5*second) || CanStart(5*second+1) {
		t.Error("starts are not allowed up to five seconds exactly")
	}
	if NeedsRenewal(2*second) || !NeedsRenewal(2*second+1) {
		t.Error("the store is not read from two seconds on")
	}
}

// TestLastConfirmedAt checks that a confirmation is as old as the oldest
// acknowledgement, unless the store has shown the claim later, and that an
// acknowledgement which does not cover the claim leaves only the store.
func TestLastConfirmedAt(t *testing.T) {
	const now, storeConfirmedAt = 200 * second, 100 * second
	claim := Claim{ShardID: 1, Term: 5, ConfirmedAt: storeConfirmedAt}
	terms := func(ofShard cluster.Term) []cluster.Term { return []cluster.Term{9, ofShard, 9} }
	good := membership.Acknowledgement{SentAt: 190 * second, InstanceSeenAt: 50 * second, Terms: terms(5)}
	older := membership.Acknowledgement{SentAt: 180 * second, Terms: terms(5)}
	laterTerm := membership.Acknowledgement{SentAt: 180 * second, Terms: terms(6)}
	for _, test := range []struct {
		name             string
		acknowledgements []membership.Acknowledgement
		want             cluster.Time
	}{
		{"no peers", nil, now},
		{"two peers", []membership.Acknowledgement{good, older}, 180 * second},
		{"two peers, the older first", []membership.Acknowledgement{older, good}, 180 * second},
		{"an earlier term known", []membership.Acknowledgement{good, {SentAt: 180 * second, Terms: terms(4)}}, 180 * second},
		{"older than the store's", []membership.Acknowledgement{good, {SentAt: 90 * second, Terms: terms(5)}}, storeConfirmedAt},
		{"no call answered by one", []membership.Acknowledgement{good, {Terms: terms(5)}}, storeConfirmedAt},
		{"a later term known", []membership.Acknowledgement{good, laterTerm}, storeConfirmedAt},
		{"a later term known by the first", []membership.Acknowledgement{laterTerm, good}, storeConfirmedAt},
		{"a release that sends no terms", []membership.Acknowledgement{good, {SentAt: 180 * second}}, storeConfirmedAt},
		{"fewer shards known", []membership.Acknowledgement{good, {SentAt: 180 * second, Terms: []cluster.Term{5}}}, storeConfirmedAt},
		{
			"a process as old as the store's confirmation",
			[]membership.Acknowledgement{good, {SentAt: 180 * second, InstanceSeenAt: storeConfirmedAt, Terms: terms(5)}},
			180 * second,
		},
		{
			"a process that started later",
			[]membership.Acknowledgement{good, {SentAt: 180 * second, InstanceSeenAt: storeConfirmedAt + 1, Terms: terms(5)}},
			storeConfirmedAt,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := claim.LastConfirmedAt(now, test.acknowledgements); got != test.want {
				t.Errorf("confirmed as of %.0f s, want %.0f s", got.Seconds(), test.want.Seconds())
			}
		})
	}
}
