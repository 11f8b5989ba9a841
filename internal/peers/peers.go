// Package peers carries messages between controllers: CBOR over HTTP, bounded in size,
// each with a version.
package peers

import (
	"context"
	"net/http"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/engine"
	"stairrelay/internal/messages"
	"stairrelay/internal/wire"
)

// messagePath is the one path that controllers serve to one another.
const messagePath = "/peer"

const (
	dialTimeout = time.Second
	// maxIdlePerPeer is the number of idle connections that are kept to each controller.
	maxIdlePerPeer = 4
)

// Client carries out the controller's PeerCall effects.
type Client struct {
	addresses map[cluster.NodeID]string
	client    *wire.Client
	reply     engine.ReplyFunc
}

// New makes a Client of the controllers at the given addresses.
func New(addresses map[cluster.NodeID]string, reply engine.ReplyFunc) *Client {
	return &Client{
		addresses: addresses,
		client:    wire.NewClient(wire.ClientOptions{DialTimeout: dialTimeout, MaxIdleConnsPerHost: maxIdlePerPeer}),
		reply:     reply,
	}
}

// Do sends a message; the reply follows. Only the call's time-out gives it up, since the
// controller waits for the reply to each effect.
func (c *Client) Do(call messages.PeerCall) {
	go func() { c.reply(call.Call, c.send(context.Background(), call)) }()
}

func (c *Client) send(ctx context.Context, call messages.PeerCall) messages.PeerReply {
	frame, err := Encode(call.Message)
	if err != nil {
		return messages.PeerReply{Outcome: messages.NotApplied}
	}
	response, err := c.client.Do(ctx, wire.Request{
		Method:      http.MethodPost,
		URL:         wire.BaseURL(c.addresses[call.To]) + messagePath,
		ContentType: wire.ContentTypeCBOR,
		Body:        frame,
		Timeout:     time.Duration(call.Timeout),
	})
	if err != nil || response.Status != http.StatusOK {
		return messages.PeerReply{Outcome: messages.UnknownOutcome}
	}
	message, err := Decode(response.Body)
	if err != nil {
		return messages.PeerReply{Outcome: messages.UnknownOutcome}
	}
	return messages.PeerReply{Outcome: messages.OK, Message: message}
}
