package membership

import (
	"encoding/json"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// nodeLiveness is the state of this node's liveness key in the store, nodes/<id>. At most
// one write of the key is queued or in flight.
type nodeLiveness struct {
	writing     bool
	modRevision cluster.ModRevision // last known mod revision of the record
}

// livenessRecord is the record under a node's liveness key. Each write has a new ID, so
// that every write changes the record.
type livenessRecord struct {
	WriteID string `json:"w"`
}

// livenessKey returns the key of a node's liveness record.
func livenessKey(id cluster.NodeID) string { return "nodes/" + string(id) }

// RefreshLiveness reads the liveness keys of the unreachable peers and, if this node can
// reach the store and its workers, writes its own. If only the network between two
// controllers is partitioned, each of them sees the other's key change and does not
// acquire the other's shards. While all peers are reachable, no key is read or written.
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
	if m.workers.CanReachWorkers() { // a node without workers can't serve its shards
		m.writeLiveness()
	}
}

// readLiveness reads the liveness key of an unreachable peer and records a change since
// the last read.
func (m *Members) readLiveness(peer *Peer) {
	m.store.ReadKey(livenessKey(peer.id), func(reply messages.GetReply) {
		if reply.Outcome != messages.OK && reply.Outcome != messages.NotFound {
			return
		}
		// The first read is the baseline: the peer may have written that record
		// before it became unreachable.
		if peer.livenessRead && reply.KV.ModRevision != peer.livenessModRevision {
			peer.lastWriteSeenAt, peer.livenessChangedAt = m.loop.Now(), m.loop.Now()
		}
		peer.livenessRead, peer.livenessModRevision = true, reply.KV.ModRevision
	})
}

// writeLiveness enqueues a compare-and-swap of this node's liveness key.
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
		OnConflict: func() { // written by an earlier process or by a duplicate of an earlier write
			m.store.ReadKey(key, func(reply messages.GetReply) {
				m.liveness.writing = false
				if reply.Outcome == messages.OK {
					m.liveness.modRevision = reply.KV.ModRevision
				}
			})
		},
	})
}
