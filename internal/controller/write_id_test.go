package controller

import (
	"testing"

	"stairrelay/internal/grouprecord"
	"stairrelay/internal/writequeue"
)

// TestWriteIDOfGroup: readBack finds a group's record by the nonce of the
// transaction that wrote it.
func TestWriteIDOfGroup(t *testing.T) {
	v := grouprecord.Encode(grouprecord.Record{ShardID: 2, WriteID: "n-1"})
	if got := writequeue.WriteIDOf(v); got != "n-1" {
		t.Errorf("the nonce is %q, not where readBack looks for it", got)
	}
}
