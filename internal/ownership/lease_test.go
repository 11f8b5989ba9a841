package ownership

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/membership"
)

// TestResponseWindow checks that tasks whose worker was last answered within the window
// end within the cancel deadline, even with the maximum clock drift.
func TestResponseWindow(t *testing.T) {
	for _, test := range []struct{ cancelDeadline, lease, want cluster.Time }{
		{37 * second, 22 * second, 13*second - 59*cluster.Millisecond},
		{18 * second, 12 * second, 4*second - 30*cluster.Millisecond},
		{20 * second, 20 * second, -2*second - 40*cluster.Millisecond},
	} {
		got := ResponseWindow(test.cancelDeadline, test.lease)
		if got != test.want {
			t.Errorf("ResponseWindow with cancel deadline %.0f s and lease %.0f s = %.3f s, want %.3f s",
				test.cancelDeadline.Seconds(), test.lease.Seconds(), got.Seconds(), test.want.Seconds())
		}
		const protocolDrift = 0.0005
		slowest := cluster.Time(float64(got+test.lease) * (1 + 2*protocolDrift))
		if end := slowest + taskStopTime; end > test.cancelDeadline {
			t.Errorf("a task may run for %.3f s, want at most %.0f s", end.Seconds(), test.cancelDeadline.Seconds())
		}
	}
}

// TestWindows checks the maximum age of the last confirmation for responses to workers,
// for task starts and for skipping the lease renewal.
func TestWindows(t *testing.T) {
	const cancelDeadline, lease = 37 * second, 22 * second
	window := ResponseWindow(cancelDeadline, lease)
	if !CanAnswer(window, cancelDeadline, lease) || CanAnswer(window+1, cancelDeadline, lease) {
		t.Error("responses must be allowed up to the response window and not beyond")
	}
	// The settings leave less than the minimum window.
	if !CanAnswer(4*second, 20*second, 20*second) || CanAnswer(4*second+1, 20*second, 20*second) {
		t.Error("with settings that leave no window, responses must be allowed up to MinResponseWindow and not beyond")
	}
	if !CanStart(5*second) || CanStart(5*second+1) {
		t.Error("starts must be allowed up to five seconds and not beyond")
	}
	if NeedsRenewal(2*second) || !NeedsRenewal(2*second+1) {
		t.Error("a renewal must be needed after two seconds and not before")
	}
}

// TestLastConfirmedAt checks that the oldest acknowledgement counts, unless the store has
// confirmed the claim later or any acknowledgement does not confirm it.
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
		{"two peers, older acknowledgement first", []membership.Acknowledgement{older, good}, 180 * second},
		{"earlier term known", []membership.Acknowledgement{good, {SentAt: 180 * second, Terms: terms(4)}}, 180 * second},
		{"acknowledgement older than the store's confirmation", []membership.Acknowledgement{good, {SentAt: 90 * second, Terms: terms(5)}}, storeConfirmedAt},
		{"peer without a reply", []membership.Acknowledgement{good, {Terms: terms(5)}}, storeConfirmedAt},
		{"later term known", []membership.Acknowledgement{good, laterTerm}, storeConfirmedAt},
		{"later term known by the first peer", []membership.Acknowledgement{laterTerm, good}, storeConfirmedAt},
		{"release that sends no terms", []membership.Acknowledgement{good, {SentAt: 180 * second}}, storeConfirmedAt},
		{"terms of fewer shards", []membership.Acknowledgement{good, {SentAt: 180 * second, Terms: []cluster.Term{5}}}, storeConfirmedAt},
		{
			"process first seen at the store's confirmation",
			[]membership.Acknowledgement{good, {SentAt: 180 * second, InstanceSeenAt: storeConfirmedAt, Terms: terms(5)}},
			180 * second,
		},
		{
			"process first seen after the store's confirmation",
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
