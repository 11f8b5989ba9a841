package membership

import (
	"testing"

	"stairrelay/internal/messages"
)

// TestAllUpgraded checks that claim records show which peers are upgraded, and that a
// peer's own ping takes precedence over them.
func TestAllUpgraded(t *testing.T) {
	m := newTestMembers()
	if m.AllUpgraded() {
		t.Error("peers without a ping or claim record count as upgraded")
	}
	m.RecordUpgraded("n1", "n2", "n3", "n4", "n5", "n6")
	if !m.AllUpgraded() {
		t.Error("peers listed in claim records do not count as upgraded")
	}
	if err := m.HandlePing(m.Peer("n3"), &messages.Ping{InstanceID: "b3"}); err != nil {
		t.Fatal(err)
	}
	if m.AllUpgraded() {
		t.Error("a peer whose ping is of an earlier release counts as upgraded")
	}
}
