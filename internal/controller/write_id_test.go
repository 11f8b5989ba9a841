package controller

import (
	"testing"

	"stairrelay/internal/grouprecord"
)

// TestWriteIDOfGroup: readBack finds a group's record by the nonce of the
// transaction that wrote it.
func TestWriteIDOfGroup(t *testing.T) {
	v := grouprecord.Encode(grouprecord.Record{ShardID: 2, WriteID: "n-1"})
	if got := writeIDOf(v); got != "n-1" {
		t.Errorf("the nonce is %q, not where readBack looks for it", got)
	}
}
