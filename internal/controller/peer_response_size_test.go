package controller

import (
	"fmt"
	"strings"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/peers"
	"stairrelay/internal/state"
)

// TestPeerQueryResponseFits guards against a response that is too large to be sent: a
// controller of another release may query more jobs at once than this one does.
func TestPeerQueryResponseFits(t *testing.T) {
	const queried = 30_000
	h := newControllerHarness()
	var ids []cluster.JobID
	for i := range queried {
		id := cluster.JobID(fmt.Sprintf("j-%s%05d", strings.Repeat("9", 35), i))
		h.state.Jobs.Known[id] = &state.KnownJob{FinalStatus: cluster.JobCancelled, Tasks: 100_000}
		ids = append(ids, id)
	}
	var views []cluster.JobView
	h.jobs.Queries.HandlePeerQuery(ids, func(v []cluster.JobView) { views = v })
	response := h.members.WithSender(messages.PeerMessage{Views: views})
	if _, err := peers.Encode(response); err != nil || len(views) == 0 {
		t.Errorf("a response with %d views: %v", len(views), err)
	}
}
