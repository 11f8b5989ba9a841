package controller

import (
	"testing"

	"stairrelay/internal/grouprecord"
	"stairrelay/internal/writequeue"
)

// TestWriteIDOfGroup: a transaction in doubt is found in a group's record by its write
// id.
func TestWriteIDOfGroup(t *testing.T) {
	value := grouprecord.Encode(grouprecord.Record{ShardID: 2, WriteID: "n-1"})
	if got := writequeue.WriteIDOf(value); got != "n-1" {
		t.Errorf("the write id is %q", got)
	}
}
