package jobs

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// TestJobQueriesSplitAcrossMessages checks that queries beyond the limit of a message are
// sent in further messages, and that all queries are answered.
func TestJobQueriesSplitAcrossMessages(t *testing.T) {
	const queryCount = 2*maxQueriesPerMessage + 1
	nodes := []cluster.NodeID{"n0", "n1"}
	loop := eventloop.New()
	common := &shared{
		Collaborators: Collaborators{
			Members: membership.New(loop, membership.Config{Self: "n0", Nodes: nodes}, nil, nil, nil),
		},
		loop:  loop,
		state: state.New(nodes, nil),
	}
	queries := newOwnerQueries(&Queries{shared: common})
	answered := 0
	for range queryCount {
		queries.add("n1", "j-1", func(messages.ResponseStatus, cluster.JobView) { answered++ })
	}
	sentMessages := 0
	for now := cluster.Time(0); now < second; now += 10 * millisecond {
		loop.Begin(now, 0)
		loop.RunTimers()
		for _, effect := range loop.Effects() {
			call, ok := effect.(messages.PeerCall)
			if !ok || call.Message.Query == nil {
				continue
			}
			sentMessages++
			if len(call.Message.Query.IDs) > maxQueriesPerMessage {
				t.Errorf("message has %d queries, want at most maxQueriesPerMessage", len(call.Message.Query.IDs))
			}
			view := cluster.JobView{ID: "j-1", Status: cluster.JobRunning}
			reply := messages.PeerReply{Outcome: messages.OK, Message: messages.PeerMessage{Views: []cluster.JobView{view}}}
			loop.Deliver(messages.Reply{Call: call.Call, Body: reply})
		}
	}
	if sentMessages != 3 || answered != queryCount {
		t.Errorf("%d messages and %d answered queries, want 3 messages and all queries answered", sentMessages, answered)
	}
}
