package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"stairrelay/internal/messages"
)

// newTestClient starts a server, which is closed when the test ends, and returns a client
// for it.
func newTestClient(t *testing.T, handler http.HandlerFunc) *JSONClient {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return NewJSONClient(strings.TrimPrefix(server.URL, "http://"), ClientOptions{DialTimeout: time.Second, MaxIdleConnsPerHost: 1})
}

var getCall = Call{Method: http.MethodGet, Path: "/keys", Timeout: 5 * time.Second}

// TestCallErrors checks the errors of calls, from which their outcomes are derived.
func TestCallErrors(t *testing.T) {
	unavailable := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "trouble")
	})
	_, err := unavailable.Call(t.Context(), getCall)
	statusErr, ok := errors.AsType[*StatusError](err)
	if !ok || statusErr.Status != http.StatusServiceUnavailable || string(statusErr.Body) != "trouble" {
		t.Errorf("status 503: error %#v", err)
	}
	if !IsStatus(err, http.StatusServiceUnavailable) || IsStatus(err, http.StatusGone) {
		t.Errorf("status 503: IsStatus does not distinguish it from 410")
	}

	oversized := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, MaxResponseSize+1))
	})
	if _, err := oversized.Call(t.Context(), getCall); !errors.Is(err, ErrResponseTooLarge) {
		t.Errorf("oversized response: error %v", err)
	}

	aborting := newTestClient(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	if _, err := aborting.Call(t.Context(), getCall); err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("closed connection: error %v", err)
	}

	redirecting := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "/elsewhere", http.StatusFound)
	})
	if _, err := redirecting.Call(t.Context(), getCall); !IsStatus(err, http.StatusFound) {
		t.Errorf("redirect: error %v", err)
	}
}

// TestErrNotSent checks that the error wraps ErrNotSent if the connection is refused or the
// address is malformed, but not if the address is empty.
func TestErrNotSent(t *testing.T) {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	for name, address := range map[string]string{
		"refused connection": listener.Addr().String(),
		"no address":         "",
		"malformed address":  "a b",
	} {
		client := NewJSONClient(address, ClientOptions{DialTimeout: time.Second})
		_, err := client.Call(t.Context(), getCall)
		if wantNotSent := name != "no address"; errors.Is(err, ErrNotSent) != wantNotSent {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// TestCallTimeoutAndCancellation checks that a call ends on timeout and when its context
// is cancelled.
func TestCallTimeoutAndCancellation(t *testing.T) {
	ended := make(chan struct{})
	client := newTestClient(t, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-ended:
		}
	})
	t.Cleanup(func() { close(ended) })
	call := getCall
	call.Timeout = 50 * time.Millisecond
	if _, err := client.Call(t.Context(), call); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("timeout: error %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := client.Call(ctx, getCall); !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled: error %v", err)
	}
}

// TestOutcomeOf checks that a call counts as not applied only if the status guarantees it.
func TestOutcomeOf(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want messages.Outcome
	}{
		"none":        {nil, messages.OK},
		"400":         {&StatusError{Status: 400}, messages.Invalid},
		"429":         {&StatusError{Status: 429}, messages.Throttled},
		"503":         {&StatusError{Status: 503}, messages.NotApplied},
		"500":         {&StatusError{Status: 500}, messages.UnknownOutcome},
		"504":         {&StatusError{Status: 504}, messages.UnknownOutcome},
		"not sent":    {ErrNotSent, messages.UnknownOutcome},
		"too large":   {ErrResponseTooLarge, messages.UnknownOutcome},
		"undecodable": {&DecodeError{Kind: "key", Err: ErrNoValue}, messages.UnknownOutcome},
		"timeout":     {context.DeadlineExceeded, messages.UnknownOutcome},
	} {
		if got := OutcomeOf(test.err); got != test.want {
			t.Errorf("%s: outcome %v, want %v", name, got, test.want)
		}
	}
}

// TestDecodeErrors checks that callers can distinguish the errors of malformed bodies.
func TestDecodeErrors(t *testing.T) {
	decoders := map[string]func(body []byte) error{
		"machine types": func(body []byte) error { _, err := DecodeMachineTypes(body); return err },
		"scale-out":     func(body []byte) error { _, err := DecodeScaleOutResponse(body); return err },
		"machine list":  func(body []byte) error { _, err := DecodeMachinePage(body); return err },
		"transaction":   func(body []byte) error { _, err := DecodeTxnResponse(body); return err },
		"key":           func(body []byte) error { _, err := DecodeKV(body); return err },
		"keys":          func(body []byte) error { _, err := DecodeKVPage(body); return err },
		"heartbeat":     func(body []byte) error { _, err := DecodeHeartbeatStatus(body); return err },
		"submission":    func(body []byte) error { _, err := DecodeSubmission(body); return err },
	}
	for name, decode := range decoders {
		if _, ok := errors.AsType[*DecodeError](decode([]byte("<html>"))); !ok {
			t.Errorf("%s: error %#v, want a DecodeError", name, decode([]byte("<html>")))
		}
	}
	for name, wantErr := range map[string]error{
		"scale-out":   ErrNoMachines,
		"transaction": ErrNoRevision,
		"key":         ErrNoValue,
		"keys":        ErrNoRevision,
		"heartbeat":   ErrNoIdentity,
	} {
		if err := decoders[name]([]byte("{}")); !errors.Is(err, wantErr) {
			t.Errorf("%s: error %v, want %v", name, err, wantErr)
		}
	}
	typeErr, ok := errors.AsType[*InvalidMachineTypeError](decoders["machine types"]([]byte(`{"fleets":[{"name":"x","vcpus":0}]}`)))
	if !ok || typeErr.Name != "x" {
		t.Errorf("machine types: error %#v", typeErr)
	}
	taskErr, ok := errors.AsType[*InvalidTaskStatusError](decoders["heartbeat"]([]byte(`{"coach":"m-1","shift":1,"legs":[{"leg":"j-1/0","status":"flying"}]}`)))
	if !ok || taskErr.Task != "j-1/0" || taskErr.State != "flying" {
		t.Errorf("heartbeat: error %#v", taskErr)
	}
	fieldErr, ok := errors.AsType[*InvalidFieldError](decoders["submission"]([]byte(`{"id":"j-1"}`)))
	if !ok || fieldErr.Field != "route" {
		t.Errorf("submission: error %#v", fieldErr)
	}
}
