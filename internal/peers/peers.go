// Package peers carries messages between controllers: CBOR over HTTP, bounded
// in size, each with a version.
package peers

import (
	"net/http"
	"time"

	"stairrelay/internal/core"
	"stairrelay/internal/engine"
	"stairrelay/internal/wire"
)

// path is the one resource that controllers serve to one another.
const path = "/peer"

const (
	dialTimeout = time.Second
	// idlePerPeer is the number of idle connections that are kept to each controller.
	idlePerPeer = 4
)

// Peers carries out the core's PeerCall effects.
type Peers struct {
	addresses map[core.NodeID]string
	client    *wire.Client
	reply     engine.ReplyFunc
}

// New makes Peers for the controllers at the given addresses.
func New(addresses map[core.NodeID]string, reply engine.ReplyFunc) *Peers {
	return &Peers{
		addresses: addresses,
		client:    wire.NewClient(wire.ClientOptions{DialTimeout: dialTimeout, IdlePerHost: idlePerPeer}),
		reply:     reply,
	}
}

// Do sends a message; the reply follows.
func (p *Peers) Do(call core.PeerCall) {
	go func() { p.reply(call.Call, p.call(call)) }()
}

func (p *Peers) call(call core.PeerCall) core.PeerReply {
	frame, err := Encode(call.Msg)
	if err != nil {
		return core.PeerReply{Out: core.NotDone}
	}
	response, err := p.client.Do(wire.Request{
		Method:      http.MethodPost,
		URL:         wire.BaseURL(p.addresses[call.To]) + path,
		ContentType: wire.CBOR,
		Body:        frame,
		Timeout:     time.Duration(call.Timeout),
	})
	if err != nil || response.Status != http.StatusOK {
		return core.PeerReply{Out: core.Unknown}
	}
	message, err := Decode(response.Body)
	if err != nil {
		return core.PeerReply{Out: core.Unknown}
	}
	return core.PeerReply{Out: core.OK, Msg: message}
}
