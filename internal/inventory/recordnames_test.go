package inventory

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// TestRecordNames: no name is given twice, and the claim under which a group was created
// can be read back from its key.
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
			t.Errorf("named %q, want %q", test.got, test.want)
		}
	}
	if revision, ok := claimRevisionFromKey(state.GroupKey(names.NextGroup(shard))); !ok || revision != 40 {
		t.Errorf("created under %d, %v", revision, ok)
	}
}

func TestClaimRevisionFromKey(t *testing.T) {
	for _, test := range []struct {
		key      string
		revision cluster.Revision
		ok       bool
	}{
		{"groups/b1-40-1", 40, true},
		{"groups/host-7-40-1", 40, true}, // an instance id with dashes
		{"groups/g", 0, false},
		{"groups/b1-x-1", 0, false},
	} {
		if revision, ok := claimRevisionFromKey(test.key); revision != test.revision || ok != test.ok {
			t.Errorf("%s: %d, %v; want %d, %v", test.key, revision, ok, test.revision, test.ok)
		}
	}
}
