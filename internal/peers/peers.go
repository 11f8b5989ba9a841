// Package peers carries messages between controllers: CBOR over HTTP, bounded
// in size, each with a version.
package peers

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"stairrelay/internal/core"
	"stairrelay/internal/wire"
)

// MaxFrame bounds a message.
const MaxFrame = 1 << 20

const path = "/peer"

var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Encode writes a message.
func Encode(m core.PeerMsg) ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encoding message: %w", err)
	}
	return b, nil
}

// Decode reads a message.
func Decode(b []byte) (core.PeerMsg, error) {
	var m core.PeerMsg
	if err := decoding.NewDecoder(bytes.NewReader(b)).Decode(&m); err != nil {
		return m, fmt.Errorf("decoding message: %w", err)
	}
	if m.Version == 0 || m.From == "" {
		return m, errors.New("message without version or sender")
	}
	return m, nil
}

// Peers carries out the core's PeerCall effects.
type Peers struct {
	addr   map[core.NodeID]string
	h      *http.Client
	answer func(core.CallID, any)
}

// New makes the actor for the controllers at the given addresses.
func New(addr map[core.NodeID]string, answer func(core.CallID, any)) *Peers {
	return &Peers{addr: addr, h: wire.NewClient(time.Second, 4, 0), answer: answer}
}

// Do sends a message; its answer comes as a message.
func (p *Peers) Do(e core.PeerCall) {
	go func() { p.answer(e.Call, p.call(e)) }()
}

func (p *Peers) call(e core.PeerCall) core.PeerReply {
	b, err := Encode(e.Msg)
	if err != nil {
		return core.PeerReply{Out: core.NotDone}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.Timeout))
	defer cancel()
	status, body, err := wire.Call(ctx, p.h, "POST", "http://"+p.addr[e.To]+path, "application/cbor", b)
	if err != nil || status != 200 {
		return core.PeerReply{Out: core.Unknown}
	}
	m, err := Decode(body)
	if err != nil {
		return core.PeerReply{Out: core.Unknown}
	}
	return core.PeerReply{Out: core.OK, Msg: m}
}

// Asker hands a request to the core and waits for its answer.
type Asker interface {
	Ask(ctx context.Context, event func(core.ReqID) core.Event) (core.Respond, bool)
}

// Handler answers the other controllers.
func Handler(a Asker, log *slog.Logger) http.Handler {
	var warned sync.Map
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxFrame))
		if err != nil {
			http.Error(w, "unreadable or too large", http.StatusBadRequest)
			return
		}
		m, err := Decode(body)
		if err != nil {
			if _, old := warned.LoadOrStore(err.Error(), true); !old {
				log.Info("malformed message from a controller", "from", r.RemoteAddr, "error", err)
			}
			http.Error(w, "malformed", http.StatusBadRequest)
			return
		}
		res, ok := a.Ask(r.Context(), func(id core.ReqID) core.Event { return core.PeerAsk{Req: id, Msg: m} })
		if !ok || res.Peer == nil {
			http.Error(w, res.Error, http.StatusBadRequest)
			return
		}
		b, err := Encode(*res.Peer)
		if err != nil {
			http.Error(w, "encoding", http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(b)
	})
	return mux
}
