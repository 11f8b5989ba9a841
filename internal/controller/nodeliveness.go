package controller

import (
	"encoding/json"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// nodeLiveness is this node's own sign of life in the store, nodes/<id>.
//
// At most one write of it is under way.
type nodeLiveness struct {
	writing     bool
	modRevision cluster.ModRevision // of the record as last seen
}

// nodeLivenessKey is the key of a node's sign of life.
func nodeLivenessKey(id cluster.NodeID) string { return "nodes/" + string(id) }

// refreshNodeLiveness shows signs of life through the store while a peer seems to have
// failed: where only the links between controllers are cut, both sides see the
// other's and leave its part alone. In ordinary times nothing is written.
func (c *Controller) refreshNodeLiveness() {
	anyFailed := false
	for _, id := range c.config.Nodes {
		if p := c.peers[id]; p != nil && p.failed {
			anyFailed = true
			c.readPeerLiveness(p)
		}
	}
	if !anyFailed || c.livenessKey.writing || c.writeQueue.IsUnavailableFor(second) || !c.canReachWorkers() { // without workers it serves nobody
		return
	}
	c.writeNodeLiveness()
}

// readPeerLiveness looks for a sign of life of a peer that seems to have failed.
func (c *Controller) readPeerLiveness(p *peer) {
	c.writeQueue.ReadKey(nodeLivenessKey(p.id), func(r messages.GetReply) {
		if r.Outcome != messages.OK && r.Outcome != messages.NotFound {
			return
		}
		// The first reading only shows what was written before it failed.
		if p.livenessRead && r.KV.ModRevision != p.livenessModRevision {
			p.lastWriteSeenAt, p.recoverySeenAt = c.loop.Now(), c.loop.Now()
		}
		p.livenessRead, p.livenessModRevision = true, r.KV.ModRevision
	})
}

func (c *Controller) writeNodeLiveness() {
	h := &c.livenessKey
	key := nodeLivenessKey(c.config.Self)
	h.writing = true
	c.writeQueue.Enqueue(writequeue.Outcome, &writequeue.Write{
		ShardID: cluster.NoShard,
		Keys:    []string{key},
		Build: func(nonce string) ([]messages.TxnOp, []cluster.ModRevision) {
			v, _ := json.Marshal(struct {
				W string `json:"w"`
			}{nonce})
			return []messages.TxnOp{{Key: key, Value: v}}, []cluster.ModRevision{h.modRevision}
		},
		OnApplied: func(e cluster.Revision) { h.writing, h.modRevision = false, cluster.ModRevision(e) },
		OnConflict: func() { // an earlier life's, or a late one
			c.writeQueue.ReadKey(key, func(r messages.GetReply) {
				h.writing = false
				if r.Outcome == messages.OK {
					h.modRevision = r.KV.ModRevision
				}
			})
		},
	})
}
