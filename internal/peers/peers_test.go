package peers

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

type echoRequester struct{}

func (echoRequester) Request(_ context.Context, event func(messages.RequestID) messages.Event) (messages.Respond, bool) {
	m := event(1).(messages.PeerRequest).Message
	return messages.Respond{Status: 200, Peer: &m}, true
}

func TestFrames(t *testing.T) {
	h := Handler(echoRequester{}, slog.New(slog.NewTextHandler(&bytes.Buffer{}, nil)))
	post := func(body []byte) (int, []byte) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("POST", messagePath, bytes.NewReader(body)))
		return w.Code, w.Body.Bytes()
	}
	offer := messages.TransferOffer{Key: "groups/g", ModRevision: 9, Recipient: 1, Kinds: []messages.MachineKindCount{{Type: "x", Count: 3}}}
	ping := &messages.Ping{
		InstanceID:         "b",
		StoreReachable:     true,
		Shards:             []messages.ShardTerm{{Shard: 2, Term: 7}},
		MillisSinceContact: map[cluster.NodeID]int64{"n2": 40},
		TransferOffers:     []messages.TransferOffer{offer},
	}
	m := messages.PeerMessage{Version: 1, From: "n1", Ping: ping}
	b, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	code, back := post(b)
	if code != 200 {
		t.Fatalf("answered %d", code)
	}
	got, err := Decode(back)
	if err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("came back as %+v, %v", got, err)
	}
	for name, bad := range map[string][]byte{
		"empty":      nil,
		"no CBOR":    []byte(strings.Repeat("{", 100)),
		"truncated":  b[:len(b)/2],
		"no version": {0xa0},
		"too large":  bytes.Repeat([]byte{0x80}, MaxMessageSize+1),
	} {
		if code, _ := post(bad); code != 400 {
			t.Errorf("%s: answered %d", name, code)
		}
	}
}

// TestMessageTooLarge: a message that no controller would take is not sent.
func TestMessageTooLarge(t *testing.T) {
	tell := &messages.JobNotice{Keys: []messages.KV{{Key: "jobs/j", Value: make([]byte, MaxMessageSize)}}}
	if _, err := Encode(messages.PeerMessage{Version: 1, From: "n1", Notice: tell}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v", err)
	}
}
