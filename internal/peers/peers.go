// Package peers exchanges messages between controllers. Messages are versioned, limited in
// size, and sent as CBOR over HTTP.
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

// messagePath is the only path that controllers serve to each other.
const messagePath = "/peer"

const (
	dialTimeout = time.Second
	// maxIdlePerPeer limits the idle connections that are kept open to each controller.
	maxIdlePerPeer = 4
)

// Client executes the controller's PeerCall effects.
type Client struct {
	addresses map[cluster.NodeID]string
	client    *wire.Client
	reply     engine.ReplyFunc
}

// New returns a Client of the controllers at the given addresses. The Client passes replies
// to the given function.
func New(addresses map[cluster.NodeID]string, reply engine.ReplyFunc) *Client {
	return &Client{
		addresses: addresses,
		client:    wire.NewClient(wire.ClientOptions{DialTimeout: dialTimeout, MaxIdleConnsPerHost: maxIdlePerPeer}),
		reply:     reply,
	}
}

// Do starts to send a message and returns immediately. The reply is passed to the function
// given to New. Calls have timeouts but are never cancelled, because the controller waits
// for the reply to each effect.
func (c *Client) Do(call messages.PeerCall) {
	go func() { c.reply(call.Call, c.send(context.Background(), call)) }()
}

func (c *Client) send(ctx context.Context, call messages.PeerCall) messages.PeerReply {
	data, err := Encode(call.Message)
	if err != nil {
		return messages.PeerReply{Outcome: messages.NotApplied}
	}
	response, err := c.client.Do(ctx, wire.Request{
		Method:      http.MethodPost,
		URL:         wire.BaseURL(c.addresses[call.To]) + messagePath,
		ContentType: wire.ContentTypeCBOR,
		Body:        data,
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
