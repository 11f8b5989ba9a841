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

// TestOversizedPeerRequestRejected: a call that lists more than there can be is refused,
// once in the log, and the controller goes on. A count of machines is gone
// through one by one where an offer is weighed.
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
			for req := range 2 {
				takeEffects(b.Controller)
				message := b.members.WithSender(messages.PeerMessage{Ping: &ping})
				message.From = "n1"
				b.handlePeerRequest(messages.PeerRequest{Request: messages.RequestID(req + 1), Message: message})
				for _, effect := range b.loop.Effects() {
					switch effect := effect.(type) {
					case messages.Respond:
						if effect.Status != 400 || !strings.HasPrefix(effect.Error, name) {
							t.Errorf("answered %d %q", effect.Status, effect.Error)
						}
					case messages.Log:
						lines++
					}
				}
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
		t.Errorf("our own call: %v", err)
	}
}

// TestJobNoticesWithinMessageLimit: records near the largest value of the store are told
// in several messages, each within what a controller takes; one that is larger
// goes alone.
func TestJobNoticesWithinMessageLimit(t *testing.T) {
	large := messages.KV{Key: "jobs/j", Value: make([]byte, 64<<10)}
	huge := messages.KV{Key: "jobs/h", Value: make([]byte, 2*maxJobNoticeBytes)}
	for _, test := range []struct {
		name    string
		waiting []messages.KV
		want    int
	}{
		{"small", make([]messages.KV, 2*maxJobNotices), maxJobNotices},
		{"large", []messages.KV{large, large, large, large, large, large}, 3},
		{"one too large, first", []messages.KV{huge, large}, 1},
		{"one too large, later", []messages.KV{large, huge}, 1},
	} {
		notices := jobNoticeQueue{waiting: test.waiting}
		if got := len(notices.nextBatch()); got != test.want {
			t.Errorf("%s: %d records, want %d", test.name, got, test.want)
		}
	}
}

// TestJobQueriesSplitAcrossMessages: questions beyond what one message asks wait for
// the next, and all are answered.
func TestJobQueriesSplitAcrossMessages(t *testing.T) {
	const questions = 2*maxQueriesPerMessage + 1
	b := newControllerHarness()
	answered := 0
	for range questions {
		b.queryOwner("n1", "j-1", func(messages.ReplyStatus, cluster.JobView) { answered++ })
	}
	sentMessages := 0
	for end := b.loop.Now() + second; b.loop.Now() < end; setTime(b.Controller, b.loop.Now()+10*millisecond) {
		takeEffects(b.Controller)
		b.loop.RunTimers()
		for _, effect := range b.loop.Effects() {
			call, ok := effect.(messages.PeerCall)
			if !ok || call.Message.Query == nil {
				continue
			}
			sentMessages++
			if len(call.Message.Query.IDs) > maxQueriesPerMessage {
				t.Errorf("a message asks %d questions", len(call.Message.Query.IDs))
			}
			b.loop.Deliver(messages.Reply{Call: call.Call, Body: messages.PeerReply{Outcome: messages.OK, Message: messages.PeerMessage{Views: []cluster.JobView{{ID: "j-1", Status: cluster.JobRunning}}}}})
		}
	}
	if sentMessages != 3 || answered != questions {
		t.Errorf("%d messages, %d answers", sentMessages, answered)
	}
}
