package simulation

import (
	"stairrelay/internal/messages"
)

// peerChannel delivers the messages between controllers.
type peerChannel struct {
	*environment
	network *Network
	nodes   *nodeSet
}

func (c *peerChannel) call(from *Node, message messages.PeerCall) {
	to := c.nodes.byID(message.To)
	call := from.newCall(message.Call)
	lost := messages.PeerReply{Outcome: messages.UnknownOutcome}
	if !to.running || c.Now < max(from.PeersRefuseUntil, to.PeersRefuseUntil) {
		call.replyAfter(c.network.delay(), lost)
		return
	}
	if c.Now < max(from.PeersPartitionedUntil, to.PeersPartitionedUntil) {
		call.replyAfter(message.Timeout, lost)
		return
	}
	exchange := &peerExchange{channel: c, call: call, to: to, message: message.Message}
	if c.network.isSlowPeerMessage() {
		c.FaultCounts[FaultSlowPeerMessage]++
		c.After(c.RandomBetween(50*millisecond, 400*millisecond), exchange.send)
	} else {
		exchange.send()
	}
	c.After(message.Timeout, exchange.timeOut)
}

// peerExchange is a message between controllers and the reply to it.
type peerExchange struct {
	channel  *peerChannel
	call     pendingCall
	to       *Node
	message  messages.PeerMessage
	finished bool // the reply has arrived or the caller has timed out
}

func (x *peerExchange) send() {
	request := func(id messages.RequestID) messages.Event {
		return messages.PeerRequest{Request: id, Message: x.message}
	}
	x.to.SendRequest(request, x.handleReply)
}

func (x *peerExchange) handleReply(response messages.Respond) {
	if x.finished {
		return
	}
	x.finished = true
	if response.Peer == nil {
		x.call.replyAfter(0, messages.PeerReply{Outcome: messages.UnknownOutcome})
		return
	}
	x.channel.network.repeat(x.channel.network.RepeatChance, x.sendAgain)
	x.call.replyAfter(x.channel.network.delay(), messages.PeerReply{Outcome: messages.OK, Message: *response.Peer})
}

// sendAgain delivers the message a second time, to the process that runs by then.
func (x *peerExchange) sendAgain() {
	x.channel.FaultCounts[FaultRepeatedPeerMessage]++
	x.send()
}

func (x *peerExchange) timeOut() {
	if x.finished {
		return
	}
	x.finished = true
	x.call.reply(messages.PeerReply{Outcome: messages.UnknownOutcome})
}
