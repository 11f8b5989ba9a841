package ownership

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
)

// TestRecordConfirmation checks that a confirmation counts only for the current claim
// and never moves ConfirmedAt back.
func TestRecordConfirmation(t *testing.T) {
	for _, test := range []struct {
		name   string
		owned  bool
		claim  cluster.ModRevision
		sentAt cluster.Time
		want   cluster.Time
	}{
		{"later", true, 30, 91 * second, 91 * second},
		{"earlier", true, 30, 89 * second, 90 * second},
		{"other claim", true, 29, 91 * second, 90 * second},
		{"not owned", false, 30, 91 * second, 90 * second},
	} {
		m := newTestManager()
		shard := m.ownShard(0)
		shard.Owned, shard.ConfirmedAt = test.owned, 90*second
		m.RecordConfirmation(shard, test.claim, test.sentAt)
		if shard.ConfirmedAt != test.want {
			t.Errorf("%s: confirmed as of %v, want %v", test.name, shard.ConfirmedAt, test.want)
		}
	}
}

// TestRenewLeases checks that only claim records whose last confirmation is too old are
// read.
func TestRenewLeases(t *testing.T) {
	m := newTestManager()
	m.ownShard(0).ConfirmedAt = m.loop.Now() - 2*second - 1
	m.ownShard(1).ConfirmedAt = m.loop.Now() - 2*second
	m.peers.acknowledgements = []membership.Acknowledgement{{}}
	m.RenewLeases()
	if read := onlyEffect[messages.StoreGet](t, m); read.Key != "parts/0" {
		t.Errorf("read %s, want parts/0", read.Key)
	}
}
