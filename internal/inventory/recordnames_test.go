package inventory

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// TestRecordNames checks that names are unique, and that the revision of the claim can be
// parsed from the key of a group.
func TestRecordNames(t *testing.T) {
	shard := state.NewShard(1, "n1")
	shard.ClaimRevision = 40
	names := NewRecordNames("b1")
	for _, test := range []struct{ got, want string }{
		{names.NextGroup(shard), "b1-40-1"},
		{names.NextGroup(shard), "b1-40-2"},
		{names.NextProvisioningRequest(shard), "r-b1-40-1"},
	} {
		if test.got != test.want {
			t.Errorf("name is %q, want %q", test.got, test.want)
		}
	}
	if revision, ok := claimRevisionFromKey(state.GroupKey(names.NextGroup(shard))); !ok || revision != 40 {
		t.Errorf("claim revision is %d, %v; want 40, true", revision, ok)
	}
}

func TestClaimRevisionFromKey(t *testing.T) {
	for _, test := range []struct {
		key      string
		revision cluster.Revision
		ok       bool
	}{
		{"groups/b1-40-1", 40, true},
		{"groups/host-7-40-1", 40, true}, // an instance ID with dashes
		{"groups/g", 0, false},
		{"groups/b1-x-1", 0, false},
	} {
		if revision, ok := claimRevisionFromKey(test.key); revision != test.revision || ok != test.ok {
			t.Errorf("%s: %d, %v; want %d, %v", test.key, revision, ok, test.revision, test.ok)
		}
	}
}
