package controller

import (
	"testing"

	"stairrelay/internal/grouprecord"
	"stairrelay/internal/writequeue"
)

// TestWriteIDOfGroup checks that the write ID of a group's record can be read. The write
// ID shows whether a transaction of unknown outcome was applied.
func TestWriteIDOfGroup(t *testing.T) {
	value := grouprecord.Encode(grouprecord.Record{ShardID: 2, WriteID: "n-1"})
	if got := writequeue.WriteIDOf(value); got != "n-1" {
		t.Errorf("the write ID is %q, want n-1", got)
	}
}
