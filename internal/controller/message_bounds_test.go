package controller

import (
	"errors"
	"strings"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
)

// TestOversizedPeerRequestRejected checks that a ping with too many entries or too large
// a count is rejected, and logged only once. Processing it could block the event loop.
func TestOversizedPeerRequestRejected(t *testing.T) {
	for name, ping := range map[string]messages.Ping{
		"Parts":          {Shards: make([]messages.ShardTerm, 4)},
		"Loads":          {ShardLoads: make([]fairshare.ShardLoad, 4)},
		"Terms":          {KnownTerms: make([]cluster.Term, 4)},
		"Offer":          {FailbackOffers: make([]cluster.ShardID, 4)},
		"Groups":         {TransferOffers: make([]messages.TransferOffer, membership.MaxTransferOffers+1)},
		"Groups.Kinds.N": {TransferOffers: []messages.TransferOffer{{Key: "groups/g", Recipient: 0, Kinds: []messages.MachineKindCount{{Type: "small", Zone: "a", Count: 1 << 62}}}}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newControllerHarness()
			lines := 0
			for request := range 2 {
				lines += h.sendOversizedPing(t, messages.RequestID(request+1), &ping, name)
			}
			if lines != 1 {
				t.Errorf("%d log lines, want 1", lines)
			}
			var pingError *membership.PingError
			if err := h.members.HandlePing(h.members.Peer("n1"), &ping); !errors.As(err, &pingError) || pingError.Field != name {
				t.Errorf("error %v, want a PingError for the field", err)
			}
		})
	}
	h := newControllerHarness()
	peer := h.members.Peer("n1")
	if err := h.members.HandlePing(peer, h.members.MakePing(peer)); err != nil {
		t.Errorf("a valid ping is rejected: %v", err)
	}
}

// sendOversizedPing delivers a ping of n1, checks that the response rejects the given
// field, and returns the number of log lines.
func (h *controllerHarness) sendOversizedPing(t *testing.T, request messages.RequestID, ping *messages.Ping, field string) int {
	t.Helper()
	takeEffects(h.Controller)
	message := h.members.WithSender(messages.PeerMessage{Ping: ping})
	message.From = "n1"
	h.handlePeerRequest(messages.PeerRequest{Request: request, Message: message})
	lines := 0
	for _, effect := range h.loop.Effects() {
		switch effect := effect.(type) {
		case messages.Respond:
			if effect.Status != messages.StatusBadRequest || !strings.HasPrefix(effect.Error, field) {
				t.Errorf("answered %d %q, want 400 and the name of the field", effect.Status, effect.Error)
			}
		case messages.Log:
			lines++
		}
	}
	return lines
}
