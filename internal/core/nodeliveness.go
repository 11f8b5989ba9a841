package core

import "encoding/json"

// heartbeat is this node's own sign of life in the store, nodes/<id>.
//
// At most one write of it is under way.
type nodeLiveness struct {
	writing     bool
	modRevision ModRevision // of the record as last seen
}

// nodeKey is the key of a node's sign of life.
func nodeLivenessKey(id NodeID) string { return "nodes/" + string(id) }

// beat shows signs of life through the store while a peer seems to have
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
	if !anyFailed || c.livenessKey.writing || c.isStoreUnavailableFor(second) || !c.canReachWorkers() { // without workers it serves nobody
		return
	}
	c.writeNodeLiveness()
}

// readHeartbeat looks for a sign of life of a peer that seems to have failed.
func (c *Controller) readPeerLiveness(p *peer) {
	c.readKey(nodeLivenessKey(p.id), func(r GetReply) {
		if r.Outcome != OK && r.Outcome != NotFound {
			return
		}
		// The first reading only shows what was written before it failed.
		if p.livenessRead && r.KV.ModRevision != p.livenessModRevision {
			p.lastWriteSeenAt, p.recoverySeenAt = c.now, c.now
		}
		p.livenessRead, p.livenessModRevision = true, r.KV.ModRevision
	})
}

func (c *Controller) writeNodeLiveness() {
	h := &c.livenessKey
	key := nodeLivenessKey(c.config.Self)
	h.writing = true
	c.writeQueue.enqueue(priorityOutcome, &queuedWrite{
		shardID: NoShard,
		keys:    []string{key},
		build: func(nonce string) ([]TxnOp, []ModRevision) {
			v, _ := json.Marshal(struct {
				W string `json:"w"`
			}{nonce})
			return []TxnOp{{key, v}}, []ModRevision{h.modRevision}
		},
		onApplied: func(e Revision) { h.writing, h.modRevision = false, ModRevision(e) },
		onConflict: func() { // an earlier life's, or a late one
			c.readKey(key, func(r GetReply) {
				h.writing = false
				if r.Outcome == OK {
					h.modRevision = r.KV.ModRevision
				}
			})
		},
	})
}
