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

	"stairrelay/internal/core"
)

type echo struct{}

func (echo) Ask(_ context.Context, event func(core.ReqID) core.Event) (core.Respond, bool) {
	m := event(1).(core.PeerAsk).Msg
	return core.Respond{Status: 200, Peer: &m}, true
}

func TestFrames(t *testing.T) {
	h := Handler(echo{}, slog.New(slog.NewTextHandler(&bytes.Buffer{}, nil)))
	post := func(body []byte) (int, []byte) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("POST", path, bytes.NewReader(body)))
		return w.Code, w.Body.Bytes()
	}
	offer := core.GroupOffer{Key: "groups/g", Mark: 9, To: 1, Kinds: []core.KindCount{{Type: "x", N: 3}}}
	ping := &core.Ping{
		Boot:    "b",
		StoreOK: true,
		Parts:   []core.PartTerm{{Part: 2, Term: 7}},
		Heard:   map[core.NodeID]int64{"n2": 40},
		Groups:  []core.GroupOffer{offer},
	}
	m := core.PeerMsg{Version: 1, From: "n1", Ping: ping}
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
		"too large":  bytes.Repeat([]byte{0x80}, MaxFrame+1),
	} {
		if code, _ := post(bad); code != 400 {
			t.Errorf("%s: answered %d", name, code)
		}
	}
}

// TestMessageTooLarge: a message that no controller would take is not sent.
func TestMessageTooLarge(t *testing.T) {
	tell := &core.Tell{Keys: []core.KV{{Key: "jobs/j", Value: make([]byte, MaxFrame)}}}
	if _, err := Encode(core.PeerMsg{Version: 1, From: "n1", Tell: tell}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v", err)
	}
}
