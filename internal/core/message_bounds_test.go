package core

import (
	"errors"
	"strings"
	"testing"
)

// TestAbsurdCallRefused: a call that lists more than there can be is refused,
// once in the log, and the controller goes on. A count of machines is gone
// through one by one where an offer is weighed.
func TestAbsurdCallRefused(t *testing.T) {
	for name, ping := range map[string]Ping{
		"Parts":          {Parts: make([]PartTerm, 4)},
		"Loads":          {Loads: make([]PartLoad, 4)},
		"Terms":          {Terms: make([]Term, 4)},
		"Offer":          {Offer: make([]Part, 4)},
		"Groups":         {Groups: make([]GroupOffer, maxOffers+1)},
		"Groups.Kinds.N": {Groups: []GroupOffer{{Key: "groups/g", To: 0, Kinds: []KindCount{{Type: "small", Zone: "a", N: 1 << 62}}}}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newCoreHarness()
			lines := 0
			for req := range 2 {
				b.out = nil
				b.onPeer(PeerAsk{Req: ReqID(req + 1), Msg: PeerMsg{Version: peerVersion, From: "n1", Ping: &ping}})
				for _, effect := range b.out {
					switch effect := effect.(type) {
					case Respond:
						if effect.Status != 400 || !strings.HasPrefix(effect.Error, name) {
							t.Errorf("answered %d %q", effect.Status, effect.Error)
						}
					case Log:
						lines++
					}
				}
			}
			if lines != 1 {
				t.Errorf("%d lines in the log, want 1", lines)
			}
			var wrong *PingError
			if err := b.checkPing(&ping); !errors.As(err, &wrong) || wrong.Field != name {
				t.Errorf("error %v", err)
			}
		})
	}
	b := newCoreHarness()
	if err := b.checkPing(b.makePing(b.peers["n1"])); err != nil {
		t.Errorf("our own call: %v", err)
	}
}

// TestNoticesWithinMessage: records near the largest value of the store are told
// in several messages, each within what a controller takes; one that is larger
// goes alone.
func TestNoticesWithinMessage(t *testing.T) {
	large := KV{Key: "jobs/j", Value: make([]byte, 64<<10)}
	huge := KV{Key: "jobs/h", Value: make([]byte, 2*maxNoticeBytes)}
	for _, test := range []struct {
		name    string
		waiting []KV
		want    int
	}{
		{"small", make([]KV, 2*maxNotices), maxNotices},
		{"large", []KV{large, large, large, large, large, large}, 3},
		{"one too large, first", []KV{huge, large}, 1},
		{"one too large, later", []KV{large, huge}, 1},
	} {
		notices := notices{waiting: test.waiting}
		if got := len(notices.batch()); got != test.want {
			t.Errorf("%s: %d records, want %d", test.name, got, test.want)
		}
	}
}

// TestQueriesInSeveralMessages: questions beyond what one message asks wait for
// the next, and all are answered.
func TestQueriesInSeveralMessages(t *testing.T) {
	const questions = 2*maxQueries + 1
	b := newCoreHarness()
	answered := 0
	for range questions {
		b.askOwner(b.peers["n1"], "j-1", func(ReplyStatus, JobView) { answered++ })
	}
	messages := 0
	for end := b.now + second; b.now < end; b.now += 10 * milli {
		b.out = nil
		b.runTimers()
		for _, effect := range b.out {
			call, ok := effect.(PeerCall)
			if !ok || call.Msg.Ask == nil {
				continue
			}
			messages++
			if len(call.Msg.Ask.IDs) > maxQueries {
				t.Errorf("a message asks %d questions", len(call.Msg.Ask.IDs))
			}
			b.calls[call.Call](PeerReply{Out: OK, Msg: PeerMsg{Views: []JobView{{ID: "j-1", Status: StRunning}}}})
		}
	}
	if messages != 3 || answered != questions {
		t.Errorf("%d messages, %d answers", messages, answered)
	}
}
