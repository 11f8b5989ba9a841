package membership

import (
	"testing"

	"stairrelay/internal/messages"
)

// TestAllUpgraded: what a peer says itself counts before what claim records list.
func TestAllUpgraded(t *testing.T) {
	m := newTestMembers()
	if m.AllUpgraded() {
		t.Error("peers that were never heard of count as upgraded")
	}
	m.RecordUpgraded("n1", "n2", "n3", "n4", "n5", "n6")
	if !m.AllUpgraded() {
		t.Error("peers that claim records list count as not upgraded")
	}
	if err := m.HandlePing(m.Peer("n3"), &messages.Ping{InstanceID: "b3"}); err != nil {
		t.Fatal(err)
	}
	if m.AllUpgraded() {
		t.Error("a peer whose pings are of an earlier release counts as upgraded")
	}
}
