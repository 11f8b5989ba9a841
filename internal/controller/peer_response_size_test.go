package controller

import (
	"fmt"
	"strings"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"

	"github.com/fxamacker/cbor/v2"
)

// TestPeerQueryResponseFits guards against a response that is too large to be sent: a
// controller of another release may query more jobs at once than this one does.
func TestPeerQueryResponseFits(t *testing.T) {
	const queried, maxMessageSize = 30_000, 1 << 20
	h := newControllerHarness()
	var ids []cluster.JobID
	for i := range queried {
		id := cluster.JobID(fmt.Sprintf("j-%s%05d", strings.Repeat("9", 35), i))
		h.state.Jobs.Known[id] = &state.KnownJob{FinalStatus: cluster.JobCancelled, Tasks: 100_000}
		ids = append(ids, id)
	}
	var views []cluster.JobView
	h.jobs.Queries.HandlePeerQuery(ids, func(v []cluster.JobView) { views = v })
	response, err := cbor.Marshal(h.members.WithSender(messages.PeerMessage{Views: views}))
	if err != nil || len(response) > maxMessageSize || len(views) == 0 {
		t.Errorf("a response with %d views has %d bytes; error %v", len(views), len(response), err)
	}
}
