package core

import "encoding/json"

// heartbeat is this node's own sign of life in the store, nodes/<id>.
//
// At most one write of it is under way.
type heartbeat struct {
	writing  bool
	revision Mark // of the record as last seen
}

// nodeKey is the key of a node's sign of life.
func nodeKey(id NodeID) string { return "nodes/" + string(id) }

// beat shows signs of life through the store while a peer seems to have
// failed: where only the links between controllers are cut, both sides see the
// other's and leave its part alone. In ordinary times nothing is written.
func (c *Core) beat() {
	anyFailed := false
	for _, id := range c.cfg.Nodes {
		if p := c.peers[id]; p != nil && p.failed {
			anyFailed = true
			c.readHeartbeat(p)
		}
	}
	if !anyFailed || c.heartbeat.writing || c.storeLost(second) || !c.workersOK() { // without workers it serves nobody
		return
	}
	c.writeHeartbeat()
}

// readHeartbeat looks for a sign of life of a peer that seems to have failed.
func (c *Core) readHeartbeat(p *peer) {
	c.get(nodeKey(p.id), func(r GetReply) {
		if r.Out != OK && r.Out != Missing {
			return
		}
		// The first reading only shows what was written before it failed.
		if p.beatRead && r.KV.Mark != p.beat {
			p.wroteAt, p.aliveAt = c.now, c.now
		}
		p.beatRead, p.beat = true, r.KV.Mark
	})
}

func (c *Core) writeHeartbeat() {
	h := &c.heartbeat
	key := nodeKey(c.cfg.Self)
	h.writing = true
	c.writer.add(prioDone, &write{
		part: NoPart,
		keys: []string{key},
		build: func(nonce string) ([]TxnOp, []Mark) {
			v, _ := json.Marshal(struct {
				W string `json:"w"`
			}{nonce})
			return []TxnOp{{key, v}}, []Mark{h.revision}
		},
		ok: func(e Epoch) { h.writing, h.revision = false, Mark(e) },
		conflict: func() { // an earlier life's, or a late one
			c.get(key, func(r GetReply) {
				h.writing = false
				if r.Out == OK {
					h.revision = r.KV.Mark
				}
			})
		},
	})
}
