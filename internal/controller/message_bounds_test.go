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

// TestOversizedPeerRequestRejected: a ping that lists more than there can be is rejected
// and logged once, and the controller goes on. Where a transfer offer is considered, the
// time taken grows with its count of machines.
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
			b := newControllerHarness()
			lines := 0
			for request := range 2 {
				lines += b.sendOversizedPing(t, messages.RequestID(request+1), &ping, name)
			}
			if lines != 1 {
				t.Errorf("%d lines in the log, want 1", lines)
			}
			var wrong *membership.PingError
			if err := b.members.HandlePing(b.members.Peer("n1"), &ping); !errors.As(err, &wrong) || wrong.Field != name {
				t.Errorf("error %v", err)
			}
		})
	}
	b := newControllerHarness()
	peer := b.members.Peer("n1")
	if err := b.members.HandlePing(peer, b.members.MakePing(peer)); err != nil {
		t.Errorf("our own ping: %v", err)
	}
}

// sendOversizedPing delivers a ping of n1, whose answer must name a field as too large, and
// returns how many lines were logged.
func (b *controllerHarness) sendOversizedPing(t *testing.T, request messages.RequestID, ping *messages.Ping, field string) int {
	t.Helper()
	takeEffects(b.Controller)
	message := b.members.WithSender(messages.PeerMessage{Ping: ping})
	message.From = "n1"
	b.handlePeerRequest(messages.PeerRequest{Request: request, Message: message})
	lines := 0
	for _, effect := range b.loop.Effects() {
		switch effect := effect.(type) {
		case messages.Respond:
			if effect.Status != messages.ReplyBadRequest || !strings.HasPrefix(effect.Error, field) {
				t.Errorf("answered %d %q", effect.Status, effect.Error)
			}
		case messages.Log:
			lines++
		}
	}
	return lines
}
