package membership

import (
	"fmt"

	"stairrelay/internal/messages"
)

// PingError reports a field of a ping whose count is out of range. Field is the name of
// the field on the wire.
type PingError struct {
	Field string
	Count int
	Max   int
}

// Error implements the error interface.
func (e *PingError) Error() string {
	return fmt.Sprintf("%s: %d, at most %d make sense", e.Field, e.Count, e.Max)
}

// MaxTransferOffers is the maximum number of machine groups that a ping offers. Further
// groups are offered once these are taken or their offers have expired.
const MaxTransferOffers = 256

// validatePing returns a *PingError if a list or count in a ping exceeds its maximum.
// Handling a ping takes time proportional to these, so an excessive one would block the
// event loop.
func (m *Members) validatePing(ping *messages.Ping) error {
	nodes := len(m.config.Nodes)
	shards := nodes // one per node, its preferred owner
	for _, list := range []PingError{
		{"Parts", len(ping.Shards), shards},
		{"Offer", len(ping.FailbackOffers), shards},
		{"Loads", len(ping.ShardLoads), shards},
		{"Terms", len(ping.KnownTerms), shards},
		{"Heard", len(ping.MillisSinceContact), nodes},
		{"Groups", len(ping.TransferOffers), MaxTransferOffers},
	} {
		if list.Count > list.Max {
			return &list
		}
	}
	for _, offer := range ping.TransferOffers {
		if err := m.validateOffer(&offer); err != nil {
			return err
		}
	}
	return nil
}

// validateOffer returns a *PingError if an offer has negative or excessive machine counts.
// The limit is MaxValueBytes, because a group's record needs at least one byte for each
// machine.
func (m *Members) validateOffer(offer *messages.TransferOffer) error {
	machines, limit := 0, m.config.MaxValueBytes
	for _, kind := range offer.Kinds {
		if kind.Count < 0 || kind.Count > limit || machines > limit {
			return &PingError{"Groups.Kinds.N", kind.Count, limit}
		}
		machines += kind.Count
	}
	return nil
}

// checkPing validates a peer's ping. It logs a validation error unless the peer's
// previous invalid ping had the same one.
func (m *Members) checkPing(from *Peer, ping *messages.Ping) error {
	err := m.validatePing(ping)
	if err != nil && from.lastPingError != err.Error() {
		from.lastPingError = err.Error()
		m.loop.Log(messages.LogInfo, "ignoring invalid ping", "node", string(from.id), "error", err.Error())
	}
	return err
}
