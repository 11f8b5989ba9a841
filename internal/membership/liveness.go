package membership

import (
	"encoding/json"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// nodeLiveness is this node's own liveness key in the state service, nodes/<id>.
//
// At most one write of it is under way.
type nodeLiveness struct {
	writing     bool
	modRevision cluster.ModRevision // of the record as last seen
}

// livenessRecord is the record under a node's liveness key. Every write changes it.
type livenessRecord struct {
	WriteID string `json:"w"`
}

// livenessKey is a node's liveness key.
func livenessKey(id cluster.NodeID) string { return "nodes/" + string(id) }

// RefreshLiveness writes this node's liveness key and reads those of the
// unreachable peers, while there are any: where only the links between controllers
// are cut, both sides see the other's and leave its shards alone. In ordinary times
// nothing is written.
func (m *Members) RefreshLiveness() {
	anyUnreachable := false
	for _, peer := range m.peers {
		if peer.unreachable {
			anyUnreachable = true
			m.readLiveness(peer)
		}
	}
	if !anyUnreachable || m.liveness.writing || m.store.IsUnavailableFor(second) {
		return
	}
	if m.workers.CanReachWorkers() { // without workers it serves nobody
		m.writeLiveness()
	}
}

// readLiveness looks for a sign of life of an unreachable peer.
func (m *Members) readLiveness(peer *Peer) {
	m.store.ReadKey(livenessKey(peer.id), func(reply messages.GetReply) {
		if reply.Outcome != messages.OK && reply.Outcome != messages.NotFound {
			return
		}
		// The first reading only shows what was written before it became unreachable.
		if peer.livenessRead && reply.KV.ModRevision != peer.livenessModRevision {
			peer.lastWriteSeenAt, peer.recoverySeenAt = m.loop.Now(), m.loop.Now()
		}
		peer.livenessRead, peer.livenessModRevision = true, reply.KV.ModRevision
	})
}

func (m *Members) writeLiveness() {
	key := livenessKey(m.config.Self)
	m.liveness.writing = true
	m.store.Enqueue(writequeue.PriorityOutcome, &writequeue.Write{
		ShardID: cluster.NoShard,
		Keys:    []string{key},
		Build: func(writeID string) ([]messages.TxnOp, []cluster.ModRevision) {
			value, _ := json.Marshal(livenessRecord{writeID})
			return []messages.TxnOp{{Key: key, Value: value}}, []cluster.ModRevision{m.liveness.modRevision}
		},
		OnApplied: func(revision cluster.Revision) {
			m.liveness = nodeLiveness{modRevision: cluster.ModRevision(revision)}
		},
		OnConflict: func() { // written by an earlier process, or by a late copy of a write
			m.store.ReadKey(key, func(reply messages.GetReply) {
				m.liveness.writing = false
				if reply.Outcome == messages.OK {
					m.liveness.modRevision = reply.KV.ModRevision
				}
			})
		},
	})
}
