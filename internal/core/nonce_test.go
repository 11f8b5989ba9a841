package core

import (
	"testing"

	"stairrelay/internal/grouprecord"
)

// TestNonceOfGroup: readBack finds a group's record by the nonce of the
// transaction that wrote it.
func TestNonceOfGroup(t *testing.T) {
	v := grouprecord.Encode(grouprecord.Record{Part: 2, Nonce: "n-1"})
	if got := nonceOf(v); got != "n-1" {
		t.Errorf("the nonce is %q, not where readBack looks for it", got)
	}
}
