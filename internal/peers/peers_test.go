package peers

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// echoRequester responds to each message with the message itself.
type echoRequester struct{}

func (echoRequester) Request(_ context.Context, makeEvent func(messages.RequestID) messages.Event) (messages.Respond, bool) {
	request, ok := makeEvent(1).(messages.PeerRequest)
	if !ok {
		return messages.Respond{}, false
	}
	return messages.Respond{Status: messages.StatusOK, Peer: &request.Message}, true
}

// TestHandler checks that a message is unchanged after a round trip, and that malformed and
// oversized messages are rejected.
func TestHandler(t *testing.T) {
	handler := Handler(echoRequester{}, slog.New(slog.NewTextHandler(&bytes.Buffer{}, nil)))
	post := func(body []byte) (int, []byte) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodPost, messagePath, bytes.NewReader(body)))
		return recorder.Code, recorder.Body.Bytes()
	}
	offer := messages.TransferOffer{Key: "groups/g", ModRevision: 9, Recipient: 1, Kinds: []messages.MachineKindCount{{Type: "x", Count: 3}}}
	ping := &messages.Ping{
		InstanceID:         "b",
		StoreReachable:     true,
		Shards:             []messages.ShardTerm{{Shard: 2, Term: 7}},
		MillisSinceContact: map[cluster.NodeID]int64{"n2": 40},
		TransferOffers:     []messages.TransferOffer{offer},
	}
	message := messages.PeerMessage{Version: 1, From: "n1", Ping: ping}
	data, err := Encode(message)
	if err != nil {
		t.Fatal(err)
	}
	code, response := post(data)
	if code != 200 {
		t.Fatalf("status %d, want 200", code)
	}
	got, err := Decode(response)
	if err != nil || !reflect.DeepEqual(got, message) {
		t.Errorf("response %+v, %v; want the message that was sent", got, err)
	}
	for name, malformed := range map[string][]byte{
		"empty":      nil,
		"not CBOR":   []byte(strings.Repeat("{", 100)),
		"truncated":  data[:len(data)/2],
		"no version": {0xa0},
		"too large":  bytes.Repeat([]byte{0x80}, MaxMessageSize+1),
	} {
		if code, _ := post(malformed); code != 400 {
			t.Errorf("%s: status %d, want 400", name, code)
		}
	}
}

// TestMessageTooLarge checks that a message that its receiver would reject as too large is
// not encoded.
func TestMessageTooLarge(t *testing.T) {
	notice := &messages.JobNotice{Items: []messages.KV{{Key: "jobs/j", Value: make([]byte, MaxMessageSize)}}}
	if _, err := Encode(messages.PeerMessage{Version: 1, From: "n1", Notice: notice}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v, want ErrTooLarge", err)
	}
}
