package ownership

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/exactjson"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

const (
	claimKeyPrefix = "parts/"
	// claimWatchDelay is the delay between two watch requests for the claim records.
	// It is short so that a former owner notices its successor early.
	claimWatchDelay = second / 10
	// claimListRetryDelay is the delay before a failed read of all claim records is
	// retried.
	claimListRetryDelay = second / 2
)

// ClaimRecord is the stored claim record of a shard.
type ClaimRecord struct {
	Owner   cluster.NodeID `json:"holder"`
	Term    cluster.Term   `json:"term"`
	WriteID string         `json:"w"`
	// Upgraded lists the controllers known to run a release that supports job
	// dependencies. Earlier releases do not write it.
	Upgraded []cluster.NodeID `json:"up,omitempty"`
}

var errNoOwner = errors.New("owner is missing")

// DecodeClaim decodes a claim record. A record without an owner is an error.
func DecodeClaim(value []byte) (ClaimRecord, error) {
	var record ClaimRecord
	if err := exactjson.Unmarshal(value, &record); err != nil {
		return ClaimRecord{}, fmt.Errorf("decode claim record: %w", err)
	}
	if record.Owner == "" {
		return ClaimRecord{}, fmt.Errorf("decode claim record: %w", errNoOwner)
	}
	return record, nil
}

// Start reads all claim records, starts to acquire the eligible shards, and watches the
// claim records from then on. A failed read is retried. If the revision to watch from has
// been compacted, all records are read again.
func (m *Manager) Start() {
	m.queue.ListPrefix(claimKeyPrefix, func(reply messages.ListReply) {
		if reply.Outcome != messages.OK {
			m.loop.After(claimListRetryDelay, m.Start)
			return
		}
		for _, shard := range m.shards {
			shard.RecordRead = true
		}
		for _, kv := range reply.Items {
			m.ApplyClaim(kv)
		}
		m.claimsRevision = reply.Revision
		m.AcquireEligibleShards()
		m.queue.Watch(writequeue.PrefixWatch{
			Prefix:      claimKeyPrefix,
			Position:    &m.claimsRevision,
			Delay:       claimWatchDelay,
			OnChange:    m.ApplyClaim,
			OnCompacted: m.Start,
		})
	})
}

// RereadOwnClaims reads the claim records of all shards that this controller believes it
// owns. It is called after a pause of the process, during which other controllers may
// have acquired these shards.
func (m *Manager) RereadOwnClaims() {
	for _, shard := range m.shards {
		if shard.Owned {
			m.RereadClaim(shard)
		}
	}
}

// RereadClaim reads a shard's claim record and applies it. If the record holds this
// controller's current claim, the read also confirms the ownership.
func (m *Manager) RereadClaim(shard *state.Shard) {
	sentAt := m.loop.Now()
	m.queue.ReadKey(shard.Key(), func(reply messages.GetReply) {
		if reply.Outcome == messages.OK {
			m.applyRead(shard, reply.KV, sentAt)
		}
	})
}

// applyRead applies a claim record returned by a read that was sent at sentAt. If the
// record holds this controller's current claim, applyRead records the confirmation.
func (m *Manager) applyRead(shard *state.Shard, kv messages.KV, sentAt cluster.Time) {
	m.ApplyClaim(kv)
	m.RecordConfirmation(shard, kv.ModRevision, sentAt)
}

// ApplyClaim updates a shard's ownership from its claim record in the store. It ignores
// missing records and keys that belong to no shard. A record that can't be decoded is
// logged and otherwise ignored. A newer record also shows that its writer is alive. A
// record that is not newer than the known one only adds to the upgraded controllers.
func (m *Manager) ApplyClaim(kv messages.KV) {
	id, err := strconv.Atoi(strings.TrimPrefix(kv.Key, claimKeyPrefix))
	if err != nil || !m.isShardID(cluster.ShardID(id)) || kv.Value == nil {
		return
	}
	shard := m.shards[id]
	isNew := kv.ModRevision > shard.ModRevision
	if isNew {
		m.peers.RecordWrite(writequeue.WriterOf(kv.Value))
	}
	record, err := DecodeClaim(kv.Value)
	if err != nil {
		m.loop.Log(messages.LogError, "cannot decode claim record; ignoring it", "key", kv.Key, "error", err.Error())
		return
	}
	m.peers.RecordUpgraded(record.Upgraded...)
	if isNew {
		m.applyNewClaim(shard, record, kv.ModRevision)
	}
}

// applyNewClaim applies a claim that is later than the known one. A claim by another
// process ends this controller's ownership of the shard.
func (m *Manager) applyNewClaim(shard *state.Shard, record ClaimRecord, modRevision cluster.ModRevision) {
	isOwnWrite := writequeue.InstanceOf(record.WriteID) == m.config.InstanceID
	if shard.Owned && !isOwnWrite {
		m.HandleDeposed(shard.ID)
	}
	if shard.Acquiring && isOwnWrite {
		return // the claim of the acquisition in flight; it is applied when the reply arrives
	}
	shard.RecordOwner(record.Owner, record.Term, modRevision, m.loop.Now())
}
