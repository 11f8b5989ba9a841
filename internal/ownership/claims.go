package ownership

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

const (
	claimKeyPrefix = "parts/"
	// claimWatchPause is the time between two requests of the watch on the claim
	// records: a former owner should learn of its successor soon.
	claimWatchPause = second / 10
	// claimListRetryPause is the pause after the claim records could not be read.
	claimListRetryPause = second / 2
)

// ClaimRecord is the record under a shard's key.
type ClaimRecord struct {
	Owner   cluster.NodeID `json:"holder"`
	Term    cluster.Term   `json:"term"`
	WriteID string         `json:"w"`
	// Upgraded lists the controllers known to run a release that understands
	// jobs with dependencies. Absent in releases before these.
	Upgraded []cluster.NodeID `json:"up,omitempty"`
}

// errNoOwner says that a claim record does not name an owner.
var errNoOwner = errors.New("no owner")

// DecodeClaim reads a claim record.
func DecodeClaim(value []byte) (ClaimRecord, error) {
	var record ClaimRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return ClaimRecord{}, fmt.Errorf("claim record: %w", err)
	}
	if record.Owner == "" {
		return ClaimRecord{}, fmt.Errorf("claim record: %w", errNoOwner)
	}
	return record, nil
}

// Start reads all claim records, acquires what it may, and follows the changes from
// then on.
func (m *Manager) Start() {
	m.queue.ListPrefix(claimKeyPrefix, func(reply messages.ListReply) {
		if reply.Outcome != messages.OK {
			m.loop.After(claimListRetryPause, m.Start)
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
			Pause:       claimWatchPause,
			OnChange:    m.ApplyClaim,
			OnCompacted: m.Start,
		})
	})
}

// RereadOwnClaims reads the claim records of the shards that are owned, as far as is
// known: after the process was paused, other controllers may have acquired them.
func (m *Manager) RereadOwnClaims() {
	for _, shard := range m.shards {
		if shard.Owned {
			m.RereadClaim(shard)
		}
	}
}

// RereadClaim reads a shard's claim record.
func (m *Manager) RereadClaim(shard *state.Shard) {
	sentAt := m.loop.Now()
	m.queue.ReadKey(shard.Key(), func(reply messages.GetReply) {
		if reply.Outcome == messages.OK {
			m.applyRead(shard, reply.KV, sentAt)
		}
	})
}

// applyRead takes in a claim record as a read has shown it that was sent at a time.
func (m *Manager) applyRead(shard *state.Shard, kv messages.KV, sentAt cluster.Time) {
	m.ApplyClaim(kv)
	m.RecordConfirmation(shard, kv.ModRevision, sentAt)
}

// ApplyClaim takes in a claim record as the state service has shown it.
func (m *Manager) ApplyClaim(kv messages.KV) {
	number, err := strconv.Atoi(strings.TrimPrefix(kv.Key, claimKeyPrefix))
	if err != nil || !m.isNumber(cluster.ShardID(number)) || kv.Value == nil {
		return
	}
	shard := m.shards[number]
	isNew := kv.ModRevision > shard.ModRevision
	if isNew {
		m.peers.RecordWrite(writequeue.WriterOf(kv.Value))
	}
	record, err := DecodeClaim(kv.Value)
	if err != nil {
		m.loop.Log(messages.LogError, "unreadable record", "key", kv.Key, "error", err.Error())
		return
	}
	m.peers.RecordUpgraded(record.Upgraded...)
	if isNew {
		m.applyNewClaim(shard, record, kv.ModRevision)
	}
}

// applyNewClaim takes in a claim that is later than all that was known.
func (m *Manager) applyNewClaim(shard *state.Shard, record ClaimRecord, modRevision cluster.ModRevision) {
	isOwnWrite := writequeue.InstanceOf(record.WriteID) == m.config.InstanceID
	if shard.Owned && !isOwnWrite {
		m.HandleDeposed(shard.ID)
	}
	if shard.Acquiring && isOwnWrite {
		return // our own acquire, seen before its answer
	}
	shard.RecordOwner(record.Owner, record.Term, modRevision, m.loop.Now())
}
